"""A link whose backend server starts again under the same id and address."""

import asyncio
import unittest

from result import Ok

from dandelionknot.jobs._generated import (
    EndedTask,
    EndReason,
    EndsStored,
    HoldAnswered,
    HoldReport,
    OrderOutcome,
    StartFinished,
    TasksExpected,
)
from dandelionknot.jobs._leases import LeaseClock
from emulator import virtual_time
from tests.test_manager_link import START, FakeBackendClient, new_link, run_link


class RestartingClient(FakeBackendClient):
    """Answers as one lifetime, which forgets acknowledged ends, and then as another."""

    def __init__(self):
        super().__init__()
        self.born_ms = 1
        self.ends = [ended(number) for number in range(1, 6)]

    async def hold(self, deadline_ms, acknowledged_end, wait_ms, timeout_ms):
        self.ends = [end for end in self.ends if end.number > acknowledged_end]
        await asyncio.sleep(max(wait_ms, 1) / 1000)
        report = HoldReport(
            clock_ms=1000, born_ms=self.born_ms, running=[], ended=list(self.ends)
        )
        return Ok(report)

    def restart(self):
        """Begins a lifetime in which one run has ended already."""
        self.born_ms = 2
        self.ends = [ended(1)]


def ended(number):
    return EndedTask(
        number=number, task_name=f'j.0.0.{number}', run=1, reason=EndReason.DONE
    )


async def run_over_a_restart(client):
    """Restarts a backend server while its link is idle; returns the link's reports."""
    reports = []
    link = new_link(client, reports.append)
    task = asyncio.create_task(link.run())
    await asyncio.sleep(1)
    link.inbox.send(EndsStored(number=5))
    await asyncio.sleep(3)
    assert client.ends == [], 'the ends of the first lifetime are acknowledged'
    client.restart()
    link.inbox.send(TasksExpected(expected=True))
    await asyncio.sleep(1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return reports


class LifetimeLinkTest(unittest.TestCase):
    def test_no_end_of_a_later_lifetime_is_acknowledged(self):
        """Guards against a run that is started again although it has done its task.

        Ends are numbered from 1 in each lifetime, so the number of an end of the former
        lifetime made the later one forget its own ends.
        """
        client = RestartingClient()
        reports = virtual_time.run(run_over_a_restart(client))
        self.assertEqual(client.ends, [ended(1)])
        last = [report for report in reports if isinstance(report, HoldAnswered)][-1]
        self.assertEqual((last.report.born_ms, last.report.ended), (2, [ended(1)]))

    def test_an_answer_to_a_start_shows_which_lifetime_accepted_it(self):
        """Guards against a run that is counted for a lifetime that has ended."""
        for clock_ms, expected in ((-1, False), (50, True), (2000, False)):
            with self.subTest(clock_ms=clock_ms):
                client = FakeBackendClient()
                client.start_clock_ms = clock_ms
                reports = virtual_time.run(run_link(client, [START], 2))
                [finished] = [r for r in reports if isinstance(r, StartFinished)]
                self.assertIs(finished.outcome, OrderOutcome.ACCEPTED)
                self.assertIs(finished.is_later_lifetime, expected)

    def test_a_try_without_an_answer_is_reported(self):
        """Guards against a start that counts as settled while a try of it is open.

        The try may be carried out late, by a later lifetime too.
        """
        silent, accepted = OrderOutcome.NO_ANSWER, OrderOutcome.ACCEPTED
        for outcomes, is_open in (((silent, accepted), True), ((accepted,), False)):
            with self.subTest(outcomes=outcomes):
                client = FakeBackendClient(start=outcomes)
                reports = virtual_time.run(run_link(client, [START], 2))
                [finished] = [r for r in reports if isinstance(r, StartFinished)]
                self.assertIs(finished.outcome, accepted)
                self.assertIs(finished.unanswered_ms > 0, is_open)

    def test_a_start_is_repeated_once_its_open_try_is_stored(self):
        """Guards against an open try that the next leader does not know of.

        That one would acknowledge the end of the other try at once.
        """
        for stores, tries in ((True, 2), (False, 1)):
            with self.subTest(stores=stores):
                client = FakeBackendClient(
                    start=(OrderOutcome.NO_ANSWER, OrderOutcome.ACCEPTED)
                )
                reports = virtual_time.run(run_link(client, [START], 4, stores=stores))
                self.assertEqual(len(client.start_deadlines), tries)
                [finished] = [r for r in reports if isinstance(r, StartFinished)]
                is_open = finished.outcome is OrderOutcome.NO_ANSWER
                self.assertIs(is_open, not stores)


class LeaseClockTest(unittest.TestCase):
    def test_a_slow_clock_shows_no_restart(self):
        """Guards against a lifetime that counts as ended because its clock is slow."""
        for elapsed_ms in (0, 1, 49, 50, 1000, 60_000):
            clock = LeaseClock(0, 6000)
            clock.read(20_000, 100)
            slow_ms = 20_000 + int(elapsed_ms * 0.98)
            self.assertFalse(clock.shows_restart(slow_ms, 100 + elapsed_ms))

    def test_an_answer_to_an_earlier_call_shows_no_restart(self):
        """Guards against answers on two connections that overtake each other."""
        clock = LeaseClock(0, 6000)
        clock.read(20_000, 100)
        self.assertFalse(clock.shows_restart(19_950, 50))

    def test_a_clock_that_starts_anew_shows_a_restart(self):
        """Guards against starts of a later lifetime that count for the known one."""
        for idle_ms in (1000, 10_000, 60_000):
            clock = LeaseClock(0, 6000)
            clock.read(5000, 100)
            self.assertTrue(clock.shows_restart(idle_ms - 500, 100 + idle_ms))


if __name__ == '__main__':
    unittest.main()
