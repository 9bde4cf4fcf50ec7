"""The link to one backend server: orders and leases when answers are lost."""

import asyncio
import unittest

from result import Err, Ok

from dandelionknot.jobs._generated import (
    ContactLost,
    HoldAnswered,
    HoldReport,
    OrderOutcome,
    PaceTask,
    RepeatStart,
    StartAnswer,
    StartFinished,
    StartOrder,
    StartTask,
    StartUnanswered,
    StopFinished,
    StopTask,
    TasksExpected,
)
from dandelionknot.manager._link import BackendLink
from emulator import virtual_time

NO_ANSWER = OrderOutcome.NO_ANSWER
ACCEPTED = OrderOutcome.ACCEPTED
# Outcomes of a stop which show that the run has ended or cannot start any more.
DONE_OUTCOMES = (ACCEPTED, OrderOutcome.SUPERSEDED)
# Outcomes after which a stop would be rejected each time.
POINTLESS_OUTCOMES = (OrderOutcome.FENCED, OrderOutcome.OTHER_LIFETIME)


class FakeBackendClient:
    """Answers each kind of order with outcomes, of which the last is repeated."""

    def __init__(
        self,
        start=(OrderOutcome.ACCEPTED,),
        unresponsive=False,
        stop=(OrderOutcome.ACCEPTED,),
        pace=(OrderOutcome.ACCEPTED,),
        holds=(),
    ):
        # Outcomes of failed hold calls from the third second on; then all succeed.
        self.failed_holds = list(holds)
        self.hold_calls = 0
        self.starts = list(start)
        self.stop_outcomes = list(stop)
        self.pace_outcomes = list(pace)
        self.paces = []
        self.unresponsive = unresponsive
        self.deadlines = []
        self.waits_ms = []
        self.start_deadlines = []
        # Clock in the answers to starts; -1 if they do not state it.
        self.start_clock_ms = -1
        self.stops = 0
        self.token = 0

    def use_token(self, fencing_token):
        self.token = fencing_token

    async def hold(self, deadline_ms, acknowledged_end, wait_ms, timeout_ms):
        self.deadlines.append(deadline_ms)
        self.waits_ms.append(wait_ms)
        if self.unresponsive:
            await asyncio.sleep((wait_ms + timeout_ms) / 1000)
            return Err(NO_ANSWER)
        self.hold_calls += 1
        if self.failed_holds and self.hold_calls > 3:
            outcome = self.failed_holds.pop(0)
            is_silent = outcome is NO_ANSWER
            await asyncio.sleep((wait_ms + timeout_ms) / 1000 if is_silent else 0.001)
            return Err(outcome)
        await asyncio.sleep(max(wait_ms, 1) / 1000)
        return Ok(HoldReport(clock_ms=1000, born_ms=1, running=[], ended=[]))

    async def start(self, order, deadline_ms, timeout_ms):
        self.start_deadlines.append(deadline_ms)
        outcome = await self._answer(self.starts, timeout_ms)
        return StartAnswer(outcome=outcome, clock_ms=self.start_clock_ms)

    async def stop(self, task_name, run, timeout_ms):
        self.stops += 1
        return await self._answer(self.stop_outcomes, timeout_ms)

    async def pace(self, task_name, run, percent, timeout_ms):
        self.paces.append(percent)
        return await self._answer(self.pace_outcomes, timeout_ms)

    async def _answer(self, outcomes, timeout_ms):
        outcome = outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]
        await asyncio.sleep(timeout_ms / 1000 if outcome is NO_ANSWER else 0.001)
        return outcome

    def close(self):
        pass


def new_link(client, report):
    """Returns a link that may send orders and extend leases all the time."""
    return BackendLink(
        client=client,
        backend_id='b',
        born_ms=1,
        hold_max_ms=6000,
        report=report,
        may_order=lambda: True,
        may_hold=lambda: True,
    )


def repeat_of(unanswered):
    """Returns the command to repeat a start, since its report is stored."""
    return RepeatStart(
        backend_id=unanswered.backend_id,
        born_ms=unanswered.born_ms,
        task_name=unanswered.task_name,
        run=unanswered.run,
    )


async def run_link(client, messages, seconds, then=None, pause_s=0, stores=True):
    """Runs a link, sends messages after a second and returns the reports of the link.

    `pause_s` is the time between messages. With `stores`, tries without an answer are
    stored at once. `then` is called halfway through the
    remaining time.
    """
    reports = []

    def report(message):
        reports.append(message)
        if isinstance(message, StartUnanswered) and stores:
            link.inbox.send(repeat_of(message))

    link = new_link(client, report)
    task = asyncio.create_task(link.run())
    await asyncio.sleep(1)
    for message in messages:
        link.inbox.send(message)
        await asyncio.sleep(pause_s)
    await asyncio.sleep(seconds / 2)
    if then is not None:
        then()
    await asyncio.sleep(seconds / 2)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return reports


START = StartTask(
    backend_id='b',
    born_ms=1,
    order=StartOrder(task_name='j.0.0.0', run=1, payload='p'),
)
STOP = StopTask(backend_id='b', born_ms=1, task_name='j.0.0.0', run=1)
EXPECTED = TasksExpected(expected=True)


class LinkTest(unittest.TestCase):
    def test_reports_continue_after_a_stop_while_a_task_is_expected(self):
        """Guards against a task that waits forever for the end of a lost start.

        The link made no hold calls after the stop, so that no report freed the task.
        The users' test bench, which plays emulated days with varied faults, reported
        this as LOST, and so did seed 13 of the emulator.
        """
        reports = virtual_time.run(run_link(FakeBackendClient(), [EXPECTED, STOP], 4))
        at = [type(report) for report in reports].index(StopFinished)
        held = [report for report in reports[at:] if isinstance(report, HoldAnswered)]
        self.assertGreaterEqual(len(held), 2)

    def test_a_report_that_is_wanted_soon_is_not_delayed(self):
        """Guards against suspected tasks that wait a second until they are cleared."""
        counts = []
        for soon in (False, True):
            client = FakeBackendClient()
            expected = TasksExpected(expected=True, report_soon=soon)
            virtual_time.run(run_link(client, [expected, START], 4))
            counts.append(max(client.waits_ms[2:]))
        self.assertGreaterEqual(counts[0], 150)
        self.assertLessEqual(counts[1], 100)

    def test_an_idle_link_makes_no_calls(self):
        """Guards against calls to backend servers that run nothing."""
        client = FakeBackendClient()
        virtual_time.run(run_link(client, [], 60))
        self.assertLessEqual(len(client.deadlines), 3)

    def test_a_start_that_may_have_arrived_is_reported_as_unanswered(self):
        """Guards against a second run beside a start whose first try arrives late."""
        for last in (
            OrderOutcome.NOT_SENT,
            OrderOutcome.NO_ROOM,
            OrderOutcome.UNHEALTHY,
            OrderOutcome.TICKET_INVALID,
            OrderOutcome.REFUSED,
        ):
            with self.subTest(last=last):
                client = FakeBackendClient(start=(NO_ANSWER, last))
                reports = virtual_time.run(run_link(client, [START], 10))
                [finished] = [r for r in reports if isinstance(r, StartFinished)]
                self.assertIs(finished.outcome, NO_ANSWER)

    def test_a_lease_out_of_contact_is_not_extended(self):
        """Guards against a lease that is extended after its reported expiry."""
        client = FakeBackendClient()

        def stop_answering():
            client.unresponsive = True
            client.deadlines.clear()

        reports = virtual_time.run(run_link(client, [EXPECTED], 30, stop_answering))
        lost = [report for report in reports if isinstance(report, ContactLost)]
        self.assertTrue(lost)
        self.assertLessEqual(sum(1 for d in client.deadlines if d), 1)
        self.assertLess(lost[0].lapses_at_ms, lost[-1].lapses_at_ms + 1)

    def test_a_refused_stop_is_repeated(self):
        """Guards against a task that waits for good for the end of an unanswered start.

        A refusal of the stop says that nothing was done, so the start may still be
        carried out.
        """
        for refusal in OrderOutcome:
            if refusal in (*DONE_OUTCOMES, *POINTLESS_OUTCOMES):
                continue
            for count in (1, 4):
                with self.subTest(refusal=refusal, count=count):
                    client = FakeBackendClient(stop=(*[refusal] * count, ACCEPTED))
                    reports = virtual_time.run(run_link(client, [EXPECTED, STOP], 30))
                    stopped = [r for r in reports if isinstance(r, StopFinished)]
                    self.assertEqual(len(stopped), 1)
                    self.assertEqual(client.stops, count + 1)

    def lost_contacts(self, *outcomes):
        """Returns the reports of lost contact after some failed hold calls."""
        client = FakeBackendClient(holds=outcomes)
        reports = virtual_time.run(run_link(client, [EXPECTED], 20))
        self.assertEqual(client.failed_holds, [])
        return [report for report in reports if isinstance(report, ContactLost)]

    def test_one_lost_answer_is_no_lost_contact(self):
        """Guards against hosts that get no starts, and copies of all their tasks."""
        for outcomes in ((NO_ANSWER,), (NO_ANSWER, NO_ANSWER)):
            self.assertEqual(self.lost_contacts(*outcomes), [])
        for outcomes in ((NO_ANSWER,) * 3, (NO_ANSWER, OrderOutcome.NOT_SENT)):
            self.assertEqual(len(self.lost_contacts(*outcomes)), 1)

    def test_a_refused_hold_call_is_no_lost_contact(self):
        """Guards against silence being assumed of a host that has just answered."""
        for refusal in (OrderOutcome.UNHEALTHY, OrderOutcome.REFUSED):
            self.assertEqual(self.lost_contacts(*[refusal] * 4), [])
            self.assertEqual(len(self.lost_contacts(*[refusal] * 5)), 1)
        for outcome in POINTLESS_OUTCOMES:
            self.assertEqual(len(self.lost_contacts(outcome)), 1)

    def test_contact_is_lost_at_the_first_failure(self):
        """Guards against a crash whose time is that of the last check after it."""
        [lost] = self.lost_contacts(NO_ANSWER, NO_ANSWER, NO_ANSWER)
        client = FakeBackendClient(holds=(NO_ANSWER, OrderOutcome.NOT_SENT))
        reports = virtual_time.run(run_link(client, [EXPECTED], 20))
        [earlier] = [r for r in reports if isinstance(r, ContactLost)]
        self.assertEqual(
            lost.lost_at_ms - lost.lapses_at_ms,
            earlier.lost_at_ms - earlier.lapses_at_ms,
        )

    def test_no_start_is_sent_while_contact_is_checked(self):
        """Guards against starts on a dead host, which hide the one that crashed it."""
        client = FakeBackendClient(holds=(NO_ANSWER, NO_ANSWER, NO_ANSWER))
        calls = []
        hold, start = client.hold, client.start

        async def spy_hold(deadline_ms, acknowledged_end, wait_ms, timeout_ms):
            calls.append('check' if timeout_ms < 700 else 'hold')
            result = await hold(deadline_ms, acknowledged_end, wait_ms, timeout_ms)
            calls.append('end')
            return result

        async def spy_start(order, deadline_ms, timeout_ms):
            calls.append('start')
            return await start(order, deadline_ms, timeout_ms)

        client.hold, client.start = spy_hold, spy_start
        starts = [
            StartTask(
                backend_id='b',
                born_ms=1,
                order=StartOrder(task_name=f'j.0.0.{i}', run=1, payload='p'),
            )
            for i in range(400)
        ]

        messages = [EXPECTED, *starts]
        virtual_time.run(run_link(client, messages, 1, pause_s=0.02))
        self.assertIn('check', calls)
        for number, call in enumerate(calls):
            if call == 'check':
                self.assertEqual(calls[number + 1], 'end')

    def test_a_stop_that_would_always_be_rejected_is_not_repeated(self):
        """Guards against calls that can have no effect any more."""
        for outcome in POINTLESS_OUTCOMES:
            client = FakeBackendClient(stop=(outcome,))
            reports = virtual_time.run(run_link(client, [EXPECTED, STOP], 10))
            self.assertEqual(client.stops, 1)
            self.assertFalse([r for r in reports if isinstance(r, StopFinished)])

    def test_repeated_commands_to_stop_a_run_share_their_calls(self):
        """Guards against a load that grows with each report while stops are refused."""
        client = FakeBackendClient(stop=(OrderOutcome.UNHEALTHY,))
        virtual_time.run(run_link(client, [EXPECTED, *[STOP] * 50], 3))
        self.assertLessEqual(client.stops, 15)

    def test_a_start_is_not_repeated_after_its_stop(self):
        """Guards against a start of a task that has meanwhile been done elsewhere."""
        for messages in ([EXPECTED, START, STOP], [EXPECTED, START, STOP, STOP]):
            client = FakeBackendClient(start=(NO_ANSWER,))
            reports = virtual_time.run(run_link(client, messages, 10))
            [finished] = [r for r in reports if isinstance(r, StartFinished)]
            self.assertIs(finished.outcome, NO_ANSWER)
            self.assertLessEqual(len(client.start_deadlines), 1)

    def test_an_unanswered_start_is_reported_with_its_last_deadline(self):
        """Guards against a run that begins after its task was placed again."""
        client = FakeBackendClient(start=(NO_ANSWER,))
        reports = virtual_time.run(run_link(client, [EXPECTED, START], 10))
        [finished] = [r for r in reports if isinstance(r, StartFinished)]
        self.assertEqual(finished.deadline_ms, max(client.start_deadlines))

    def test_the_latest_pace_is_sent_until_it_is_carried_out(self):
        """Guards against a task that stays paced down after a refused order."""
        paces = [
            PaceTask(
                backend_id='b', born_ms=1, task_name='j.0.0.0', run=1, percent=percent
            )
            for percent in (20, 100)
        ]
        for refusal in (OrderOutcome.UNHEALTHY, NO_ANSWER, OrderOutcome.NOT_SENT):
            client = FakeBackendClient(pace=(refusal, refusal, ACCEPTED))
            virtual_time.run(run_link(client, [EXPECTED, *paces], 10))
            self.assertEqual(client.paces, [20, 100, 100])

    def test_lasting_refusals_cost_few_calls(self):
        """Guards against calls several times a second about a run that has ended."""
        pace = PaceTask(
            backend_id='b', born_ms=1, task_name='j.0.0.0', run=1, percent=20
        )
        client = FakeBackendClient(
            pace=(OrderOutcome.REFUSED,), stop=(OrderOutcome.REFUSED,)
        )
        virtual_time.run(run_link(client, [EXPECTED, pace, STOP], 60))
        self.assertEqual(client.paces, [20])
        self.assertLessEqual(client.stops, 20)


if __name__ == '__main__':
    unittest.main()
