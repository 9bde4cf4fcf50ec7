"""Acknowledgements and starts of one backend server that may be carried out late."""

import asyncio
import unittest
from unittest import mock

from msgspec.structs import replace
from result import Err, Ok

from dandelionknot.clock import now_ms
from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    ContactLost,
    EndedTask,
    EndReason,
    EndsStored,
    HoldReport,
    OrderOutcome,
    Resources,
    StartFinished,
    StartUnanswered,
    StepSpec,
)
from dandelionknot.jobs._late_starts import LATE_CALL_MS
from dandelionknot.manager._commit import BatchStored
from dandelionknot.manager._leader import Leader
from emulator import virtual_time
from tests.job_test_bed import RESTART_MS, FakeBackend, JobTestBed
from tests.test_manager_link import (
    ACCEPTED,
    EXPECTED,
    NO_ANSWER,
    START,
    STOP,
    FakeBackendClient,
    new_link,
    repeat_of,
)

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
FENCED = OrderOutcome.FENCED
# Fencing tokens of the link and of a start that was stored later.
TOKEN, LATER_TOKEN = 7, 9


class RecordingClient(FakeBackendClient):
    """Lists one end until it is acknowledged, and records the calls."""

    def __init__(self, **outcomes):
        super().__init__(**outcomes)
        self.token = TOKEN
        self.ends = [
            EndedTask(number=1, task_name='j.0.0.9', run=1, reason=EndReason.DONE)
        ]
        self.began_ms = 0
        # Time since the begin and number of each acknowledgement, and tokens of orders.
        self.acknowledged = []
        self.start_tokens = []
        self.stop_tokens = []
        # Whether hold calls are rejected if a start comes first, and how many were.
        self.rejects_overtaken_holds = False
        self.overtaken_holds = 0

    async def hold(self, deadline_ms, acknowledged_end, wait_ms, timeout_ms):
        if acknowledged_end:
            since_begin_ms = now_ms() - self.began_ms
            self.acknowledged.append((since_begin_ms, acknowledged_end))
            self.ends = []
        token = self.token
        await asyncio.sleep(0.001 if self.ends else max(wait_ms, 1) / 1000)
        if self.token > token and self.rejects_overtaken_holds:
            self.overtaken_holds += 1
            return Err(FENCED)
        report = HoldReport(clock_ms=1000, born_ms=1, running=[], ended=self.ends)
        return Ok(report)

    async def start(self, order, deadline_ms, timeout_ms):
        self.start_tokens.append(self.token)
        return await super().start(order, deadline_ms, timeout_ms)

    async def stop(self, task_name, run, timeout_ms):
        self.stop_tokens.append(self.token)
        return await super().stop(task_name, run, timeout_ms)


async def run_link(client, steps, duration_s=1):
    """Runs a link, sends it messages at their times in seconds; returns its reports."""
    reports = []

    def report(message):
        reports.append(message)
        if isinstance(message, StartUnanswered):
            link.inbox.send(repeat_of(message))

    link = new_link(client, report)
    link.fencing_token = TOKEN
    client.began_ms = now_ms()
    task = asyncio.create_task(link.run())
    for at_s, message in steps:
        await asyncio.sleep(at_s - (now_ms() - client.began_ms) / 1000)
        link.inbox.send(message)
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return reports


class LateAcknowledgementTest(unittest.TestCase):
    """A link to a backend server that lists one end."""

    def test_nothing_is_acknowledged_while_a_start_may_be_carried_out_late(self):
        """Guards against a late acknowledgement of a run that a late start has begun.

        The next lifetime would forget its end, and the task would be started again.
        """
        client = RecordingClient(start=(NO_ANSWER, ACCEPTED))
        steps = [(1, START), (2, EndsStored(number=1))]
        virtual_time.run(run_link(client, steps, duration_s=14))
        [(acknowledged_ms, number)] = client.acknowledged
        self.assertEqual(number, 1)
        self.assertGreaterEqual(acknowledged_ms, 1000 + LATE_CALL_MS)

    def test_nothing_is_acknowledged_while_a_start_is_in_progress(self):
        """Guards against an acknowledgement beside a start that gets no answer."""
        client = RecordingClient(start=(NO_ANSWER,))
        steps = [(1, START), (1, EndsStored(number=1))]
        virtual_time.run(run_link(client, steps, duration_s=5))
        self.assertEqual(client.acknowledged, [])

    def test_an_end_is_acknowledged_at_once_after_an_answered_start(self):
        """Guards against ends that the platform counts as unacknowledged."""
        client = RecordingClient()
        steps = [(1, START), (1, EndsStored(number=1))]
        virtual_time.run(run_link(client, steps))
        [(acknowledged_ms, _)] = client.acknowledged
        self.assertLess(acknowledged_ms, 1500)

    def test_a_call_that_a_later_one_has_overtaken_is_repeated(self):
        """Guards against a leader that takes its own newer token for another's."""
        client = RecordingClient(start=(FENCED, ACCEPTED), stop=(FENCED, ACCEPTED))
        start = replace(START, fencing_token=LATER_TOKEN)
        later = replace(
            start,
            order=replace(START.order, task_name='j.0.0.1'),
            fencing_token=LATER_TOKEN + 1,
        )
        client.rejects_overtaken_holds = True
        client.ends = []
        steps = [(1, EXPECTED), (1.5, STOP), (1.5, start), (1.5, later)]
        reports = virtual_time.run(run_link(client, steps))
        self.assertGreater(client.overtaken_holds, 0)
        outcomes = {
            report.outcome for report in reports if isinstance(report, StartFinished)
        }
        self.assertEqual(outcomes, {ACCEPTED})
        self.assertEqual([r for r in reports if isinstance(r, ContactLost)], [])
        self.assertEqual(client.stop_tokens[-1], LATER_TOKEN + 1)

    def test_another_leaders_token_ends_the_term(self):
        """Guards against a former leader that repeats its calls for ever."""
        client = RecordingClient(start=(FENCED,))
        start = replace(START, fencing_token=LATER_TOKEN)
        reports = virtual_time.run(run_link(client, [(1, start)]))
        [finished] = [r for r in reports if isinstance(r, StartFinished)]
        self.assertIs(finished.outcome, FENCED)


class MissingEndsTest(unittest.TestCase):
    def test_ends_that_were_never_listed_are_logged(self):
        """Guards against a run that ended unseen, of which no log line tells."""
        for follows in (True, False):
            with self.subTest(follows=follows):
                backend = FakeBackend('b1')
                test_bed = JobTestBed(backend)
                if follows:
                    test_bed.step()
                    test_bed.lose(backend)
                    test_bed.step(RESTART_MS)
                    test_bed.step()
                backend.start('j.0.0.9', 1)
                backend.next_end = 3
                backend.end('j.0.0.9', EndReason.DONE)
                test_bed.step()
                missing = [
                    entry.fields['missing']
                    for entry in test_bed.scheduler.take_log_entries()
                    if entry.event is Event.ENDS_MISSING
                ]
                # The former leader may have acknowledged ends of the first lifetime.
                self.assertEqual(missing, [2] if follows else [])


class StartTokenTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_start_has_a_higher_token_than_earlier_acknowledgements(self):
        """Guards against an acknowledgement that is carried out after a late start.

        With the same token, the next lifetime would accept both.
        """
        test_bed = JobTestBed(FakeBackend('b1'))
        client = RecordingClient()
        ports = mock.Mock()
        ports.settings.timing.hold_max_ms = 6000
        ports.new_backend_client = lambda *_: client
        leader = Leader.from_ports(ports, mock.Mock(number=TOKEN))
        leader.scheduler = test_bed.scheduler
        leader._reconcile_links()
        self.addCleanup(lambda: [task.cancel() for task in leader.tasks.values()])
        test_bed.hold(test_bed.backends['b1'])
        test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        test_bed.scheduler.plan(test_bed.now_ms, test_bed.now_ms)
        batch = test_bed.scheduler.take_batch(10, test_bed.now_ms)
        await asyncio.sleep(0.05)
        leader._handle(BatchStored(batch, 10, revision=LATER_TOKEN))
        await asyncio.sleep(0.05)
        self.assertEqual(client.start_tokens, [LATER_TOKEN])
        # So has the link to the next lifetime.
        leader.committer = mock.Mock()
        self.assertFalse(leader._has_new_token(('b1', 2)))


if __name__ == '__main__':
    unittest.main()
