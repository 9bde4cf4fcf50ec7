"""Tests what a backend link reports when usage calls fail."""

import asyncio
import unittest
from types import SimpleNamespace

from result import Err, Ok

from dandelionknot._mailbox import Mailbox
from dandelionknot.entry._backend_link import run_backend_link
from dandelionknot.messages import HostSilent, HostUsage, StopService, UsageReport
from dandelionknot.ports import PortError, PortErrorKind

UNANSWERED = Err(PortError(kind=PortErrorKind.NO_ANSWER, message='timed out'))
ANSWERED = Ok(UsageReport(running=0, slots=8, draining=False))


class BackendLinkTest(unittest.IsolatedAsyncioTestCase):
    async def first_report(self, answers):
        """Returns the first report of a link to a server that gives these answers."""
        left = iter(answers)

        async def usage():
            return next(left)

        mailbox, dispatcher = Mailbox(8), Mailbox(8)
        port = SimpleNamespace(usage=usage)
        times = (1000, 1000)
        link = run_backend_link(
            'h1', port, mailbox, dispatcher, *times, True, lambda: 0.0
        )
        task = asyncio.create_task(link)
        report = await dispatcher.receive()
        mailbox.send(StopService(reason='the test is over'))
        await task
        self.assertEqual((list(left), len(dispatcher)), ([], 0))
        return report

    async def test_one_silent_connection(self):
        """Guards against reporting a host as silent for a single dead connection."""
        cases = [([ANSWERED], HostUsage), ([UNANSWERED, ANSWERED], HostUsage)]
        cases += [([UNANSWERED, UNANSWERED], HostSilent)]
        for answers, expected in cases:
            with self.subTest(answers=answers):
                self.assertIsInstance(await self.first_report(answers), expected)
