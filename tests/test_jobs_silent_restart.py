"""A backend server restarts unnoticed, accepts starts and is then cut off."""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs._generated import OrderOutcome, Resources, StartTask, StepSpec
from dandelionknot.jobs._late_starts import LATE_CALL_MS, SENDING_MS
from dandelionknot.jobs._leases import max_former_lease_ms, max_later_lease_ms
from tests.job_test_bed import HOLD_MAX_MS, LEASE_MS, FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
TICK_MS = 50
TASKS = 3
# Time for which a cut-off backend server may run tasks under its longest lease.
LATER_LEASE_MS = max_later_lease_ms(HOLD_MAX_MS)
# Time of a few calls and planning rounds.
SOON_MS = 500
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000


class SilentRestartTest(unittest.TestCase):
    def restart(self, accepts=True, answers=True):
        """Restarts a server without tasks and sends starts to its later lifetime.

        With `accepts`, it carries them out; with `answers`, its answers arrive.
        """
        self.backend = FakeBackend('b1', born_ms=5000, host_id='h1')
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.state = self.test_bed.scheduler.backends_by_id['b1']
        self.backend.restart()
        step = StepSpec(task_count=TASKS, resources=SMALL, long_running=True)
        self.test_bed.submit(step)
        execute = self.test_bed.execute
        self.test_bed.hold = lambda backend: None
        if not (accepts and answers):
            self.test_bed.execute = lambda command: self.leave_open(command, accepts)
        self.test_bed.step(TICK_MS)
        del self.test_bed.hold
        self.test_bed.execute = execute
        self.assertEqual(len(self.backend.runs_by_name), TASKS if accepts else 0)
        self.other = self.test_bed.backends['b2'] = FakeBackend('b2')
        self.register(self.other)

    def leave_open(self, command, accepts):
        """Reports that a start has no answer, whether it is carried out or not."""
        if not isinstance(command, StartTask):
            return
        order = command.order
        if accepts:
            self.backend.start(order.task_name, order.run)
        self.test_bed.scheduler.start_finished(
            self.state,
            order.task_name,
            order.run,
            OrderOutcome.NO_ANSWER,
            self.test_bed.now_ms,
            self.backend.clock_ms + LEASE_MS,
        )

    def register(self, backend):
        self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)

    def cut_off(self, lease_ms=LEASE_MS):
        """Cuts the server off; the known lifetime was given a lease."""
        self.backend.cut_off = True
        now_ms = self.test_bed.now_ms
        self.test_bed.scheduler.contact_lost(
            self.state, OrderOutcome.NO_ANSWER, now_ms + lease_ms, now_ms
        )

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)

    def assert_runs_once_until_the_cut_ends(self):
        self.run_for(LATER_LEASE_MS - 2 * SOON_MS)
        self.assertEqual(self.other.started, [])
        self.backend.cut_off = False
        self.run_for(SOON_MS)
        self.assertEqual(len(self.backend.started), TASKS)
        self.assertEqual(self.other.started, [])
        self.assertEqual(len(self.backend.runs_by_name), TASKS)
        self.assertFalse(self.test_bed.scheduler.suspects_by_name)

    def assert_starts_elsewhere_within(self, duration_ms):
        self.run_for(duration_ms + SOON_MS)
        self.assertEqual(len({name for name, _ in self.other.started}), TASKS)

    def test_accepted_runs_go_on_while_the_later_lifetime_is_cut_off(self):
        """Guards against a second run of tasks that a cut-off server has accepted.

        The entry of the later lifetime is read before the cut, during it, or not at
        all.
        """
        for entry in ('before', 'during', 'never'):
            with self.subTest(entry=entry):
                self.restart()
                if entry == 'before':
                    self.register(self.backend)
                self.cut_off()
                if entry == 'during':
                    self.run_for(SOON_MS)
                    self.register(self.backend)
                self.assert_runs_once_until_the_cut_ends()

    def test_starts_without_an_answer_run_nowhere_else_meanwhile(self):
        """Guards against a second run of a task whose first start was carried out."""
        for entry in ('before', 'during', 'never'):
            with self.subTest(entry=entry):
                self.restart(answers=False)
                if entry == 'before':
                    self.register(self.backend)
                self.cut_off()
                if entry == 'during':
                    self.run_for(SOON_MS)
                    self.register(self.backend)
                self.run_for(LATER_LEASE_MS - 2 * SOON_MS)
                self.assertEqual(self.other.started, [])
                self.backend.cut_off = False
                self.run_for(SOON_MS)
                # Their stop, which was ordered without an answer, comes first.
                running = self.test_bed.running()
                self.assertEqual(len(running), TASKS)
                self.assertEqual({len(ids) for ids in running.values()}, {1})

    def test_a_new_leader_waits_for_the_later_lifetime(self):
        """Guards against a new leader that trusts the lifetime in the records."""
        self.restart()
        self.backend.cut_off = True
        self.test_bed.entries_by_id['b1'] = self.backend.report()
        scheduler = self.test_bed.new_leader()
        self.state = scheduler.backends_by_id['b1']
        self.cut_off(max_former_lease_ms(HOLD_MAX_MS))
        self.assert_runs_once_until_the_cut_ends()

    def test_the_wait_ends_with_the_longest_lease(self):
        """Guards against tasks that wait for a server which is lost for good."""
        for entry in (True, False):
            for answers in (True, False):
                with self.subTest(entry=entry, answers=answers):
                    self.restart(answers=answers)
                    if entry:
                        self.register(self.backend)
                    self.cut_off()
                    # The platform removes the entry of a server that is lost.
                    self.test_bed.scheduler.remove_backend('b1')
                    self.assert_starts_elsewhere_within(LATER_LEASE_MS)

    def test_the_wait_of_a_new_leader_ends_with_the_longest_lease(self):
        """Guards against a wait that begins anew with each report of a lost contact."""
        self.restart()
        self.backend.cut_off = True
        self.test_bed.entries_by_id['b1'] = self.backend.report()
        scheduler = self.test_bed.new_leader()
        longest_ms = max_former_lease_ms(HOLD_MAX_MS)
        # The starts were sent right before the term.
        waits_ms = SENDING_MS + LATE_CALL_MS + LATER_LEASE_MS
        began_ms = self.test_bed.now_ms
        while self.test_bed.now_ms < began_ms + waits_ms:
            state = scheduler.backends_by_id['b1']
            now_ms = self.test_bed.now_ms
            # The lease clock of a link counts from when the link was opened.
            lapses_at_ms = now_ms + longest_ms
            scheduler.contact_lost(state, OrderOutcome.NO_ANSWER, lapses_at_ms, now_ms)
            self.run_for(SOON_MS)
        self.assert_starts_elsewhere_within(0)

    def test_a_lease_on_the_former_clock_outlasts_the_answer(self):
        """Guards against a second run of tasks whose lease is longer than computed.

        The later lifetime has answered, and is cut off after that. The starts that it
        had accepted before gave it the longest lease.
        """
        for entry in (True, False):
            with self.subTest(entry=entry):
                self.restart()
                if entry:
                    self.register(self.backend)
                self.run_for(2 * TICK_MS)
                self.state = self.test_bed.scheduler.backends_by_id['b1']
                self.assertEqual(self.state.born_ms, self.backend.born_ms)
                self.assertTrue(self.state.reachable)
                self.cut_off()
                self.run_for(LATER_LEASE_MS - SOON_MS)
                self.assertEqual(self.other.started, [])
                self.assert_starts_elsewhere_within(SOON_MS)

    def test_late_calls_extend_the_lease_until_the_later_lifetime_is_reached(self):
        """Guards against a second run of tasks whose lease late calls extend.

        The server is registered while it is cut off, and the leader has not called the
        later lifetime yet.
        """
        for entry in ('before', 'during'):
            with self.subTest(entry=entry):
                self.restart()
                if entry == 'before':
                    self.register(self.backend)
                self.cut_off()
                if entry == 'during':
                    self.run_for(SOON_MS)
                    self.register(self.backend)
                self.run_for(LATER_LEASE_MS + LATE_CALL_MS - 3 * SOON_MS)
                self.assertEqual(self.other.started, [])
                self.run_for(3 * SOON_MS)
                self.assertTrue(self.other.started)

    def test_a_new_leader_counts_the_longest_lease_of_a_young_lifetime(self):
        """Guards against a second run of tasks whose lease a former leader's call set.

        The lifetime began shortly before the term, and is cut off soon after its first
        answer.
        """
        self.backend = FakeBackend('b1', host_id='h1')
        self.test_bed = JobTestBed(self.backend)
        self.backend.born_ms = self.test_bed.now_ms
        self.test_bed.new_leader()
        self.test_bed.submit(StepSpec(task_count=TASKS, resources=SMALL))
        self.run_for(SOON_MS)
        self.assertEqual(len(self.backend.runs_by_name), TASKS)
        self.other = self.test_bed.backends['b2'] = FakeBackend('b2')
        self.register(self.other)
        self.state = self.test_bed.scheduler.backends_by_id['b1']
        self.cut_off()
        self.run_for(LATER_LEASE_MS - 2 * SOON_MS)
        self.assertEqual(self.other.started, [])
        self.assert_starts_elsewhere_within(SOON_MS)

    def test_the_log_says_when_a_lease_lapses(self):
        """Guards against a lease that was computed wrongly and leaves no line."""
        self.restart()
        self.cut_off()
        fields = [
            entry.fields
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.HOST_UNREACHABLE
        ]
        self.assertEqual([field['lapses_in_ms'] for field in fields], [LEASE_MS])

    def test_a_late_call_before_the_first_answer_gives_the_longest_lease(self):
        """Guards against a second run of tasks whose lease is longer than computed.

        A call to the former lifetime is carried out by the later one long after the
        loss, right before that one answers, and it is cut off soon after.
        """
        self.backend = FakeBackend('b1', born_ms=5000, host_id='h1')
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.test_bed.lose(self.backend)
        self.backend.down_until_ms = 0
        self.backend.cut_off = True
        self.backend.born_ms += 1000
        self.run_for(2 * SOON_MS)
        self.test_bed.submit(StepSpec(task_count=TASKS, resources=SMALL))
        self.backend.cut_off = False
        self.register(self.backend)
        self.run_for(SOON_MS)
        self.assertEqual(len(self.backend.runs_by_name), TASKS)
        self.other = self.test_bed.backends['b2'] = FakeBackend('b2')
        self.register(self.other)
        self.state = self.test_bed.scheduler.backends_by_id['b1']
        self.cut_off()
        self.run_for(LATER_LEASE_MS - 2 * SOON_MS)
        self.assertEqual(self.other.started, [])
        self.assert_starts_elsewhere_within(SOON_MS)

    def test_runs_that_the_later_lifetime_does_not_have_start_soon(self):
        """Guards against starts without an answer that nobody withdraws."""
        self.restart(accepts=False)
        self.register(self.backend)
        self.cut_off()
        self.run_for(SOON_MS)
        self.assertEqual(self.other.started, [])
        self.backend.cut_off = False
        self.run_for(MAX_STANDSTILL_MS)
        running = self.test_bed.running()
        self.assertEqual(len(running), TASKS)
        for task in self.test_bed.scheduler.suspects_by_name.values():
            self.assertEqual(task.crashed_runs, [1])

    def test_runs_that_the_former_lifetime_had_reported_start_at_once(self):
        """Guards against tasks that wait although they were lost with a crash."""
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        step = StepSpec(task_count=TASKS, resources=SMALL, long_running=True)
        self.test_bed.submit(step)
        self.run_for(SOON_MS)
        self.state = self.test_bed.scheduler.backends_by_id['b1']
        self.backend.restart()
        self.cut_off()
        self.other = self.test_bed.backends['b2'] = FakeBackend('b2')
        self.register(self.other)
        self.register(self.backend)
        self.assert_starts_elsewhere_within(0)

    def test_a_start_that_the_former_lifetime_had_accepted_is_lost_with_it(self):
        """Guards against tasks that wait for reports of a lifetime without them.

        The call that the later lifetime answers was made before the start.
        """
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        sent_ms = self.test_bed.now_ms
        step = StepSpec(task_count=TASKS, resources=SMALL, long_running=True)
        self.test_bed.submit(step)
        self.test_bed.step(TICK_MS)
        self.assertEqual(len(self.backend.runs_by_name), TASKS)
        state = self.test_bed.scheduler.backends_by_id['b1']
        self.backend.restart()
        now_ms = self.test_bed.now_ms
        report = self.backend.hold_report()
        self.test_bed.scheduler.hold_answered(state, report, sent_ms, now_ms, now_ms)
        steps = self.test_bed.scheduler.jobs_by_id['j1'].steps_by_occurrence[0]
        self.assertEqual([task.backend for task in steps[0].tasks], [None] * TASKS)

    def test_a_crash_under_an_open_start_counts_once(self):
        """Guards against a deadly task whose crash is forgotten or counted twice."""
        self.restart(accepts=False)
        self.cut_off()
        self.run_for(LEASE_MS + SOON_MS)
        self.register(self.backend)
        self.test_bed.scheduler.remove_backend('b1')
        self.assert_starts_elsewhere_within(LATER_LEASE_MS)
        steps = self.test_bed.scheduler.jobs_by_id['j1'].steps_by_occurrence[0]
        for task in steps[0].tasks:
            self.assertEqual(task.crashed_runs, [1])
        lost = [
            entry
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.TASK_SUSPECTED
        ]
        self.assertEqual(len(lost), TASKS)


if __name__ == '__main__':
    unittest.main()
