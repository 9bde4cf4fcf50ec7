"""Entries of several lifetimes of one backend server, in any order."""

import unittest

from msgspec.structs import replace

from dandelionknot.jobs._generated import (
    EndReason,
    Host,
    HostsListed,
    OrderOutcome,
    Resources,
    StepSpec,
)
from tests.job_test_bed import (
    LEASE_MS,
    RESTART_MS,
    SERVICE,
    FakeBackend,
    JobTestBed,
)

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
TICK_MS = 50
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000


class LifetimeTestCase(unittest.TestCase):
    """A test with a test bed, whose registry and time it controls."""

    def set_entry(self, report):
        self.test_bed.scheduler.set_backend(report, self.test_bed.now_ms)

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)


class LifetimeTest(LifetimeTestCase):
    def setUp(self):
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.test_bed.submit(StepSpec(task_count=3, resources=SMALL, estimated_ms=500))
        self.run_for(200)
        self.assertEqual(len(self.test_bed.running()), 3)
        self.test_bed.backends['b2'] = FakeBackend('b2')
        self.set_entry(self.test_bed.backends['b2'].report())

    def late_entry(self):
        """Returns an entry of the lifetime before the current one."""
        current = self.backend.report()
        self.backend.born_ms -= 1000
        report = self.backend.report()
        self.backend.born_ms = current.born_ms
        return report

    def assert_each_ran_once(self):
        self.assertEqual(len(self.backend.started), 3)
        self.assertEqual(self.test_bed.backends['b2'].started, [])

    def test_a_late_entry_of_a_former_lifetime_restarts_nothing(self):
        """Guards against a second run of each task of the lifetime that runs."""
        for leader_before, leader_after in (
            (False, False),
            (True, False),
            (False, True),
        ):
            with self.subTest(leader_before=leader_before, leader_after=leader_after):
                self.setUp()
                if leader_before:
                    self.test_bed.new_leader()
                self.set_entry(self.late_entry())
                if leader_after:
                    self.test_bed.new_leader()
                    self.set_entry(self.late_entry())
                self.run_for(1500)
                self.set_entry(self.backend.report())
                self.run_for(500)
                self.assert_each_ran_once()

    def test_a_late_entry_of_the_same_lifetime_ends_no_drain(self):
        """Guards against starts on a backend server that has announced to leave."""
        for removed in (False, True):
            with self.subTest(removed=removed):
                self.setUp()
                ready = replace(self.backend.report(), entry_number=3)
                self.set_entry(replace(ready, entry_number=4, draining=True))
                if removed:
                    self.test_bed.scheduler.remove_backend('b1')
                self.set_entry(ready)
                state = self.test_bed.scheduler.backends_by_id['b1']
                self.assertTrue(state.leaving)
                self.test_bed.submit(
                    StepSpec(task_count=40, resources=SMALL), job_id='j2'
                )
                self.run_for(500)
                self.assertEqual(len(self.backend.started), 3)
                self.set_entry(replace(ready, entry_number=5))
                self.run_for(500)
                self.assertGreater(len(self.backend.started), 3)

    def test_entry_numbers_of_another_lifetime_do_not_count(self):
        """Guards against a restarted host that is ignored until it counts higher."""
        self.set_entry(replace(self.backend.report(), entry_number=40))
        self.backend.restart()
        self.set_entry(replace(self.backend.report(), entry_number=1))
        self.run_for(300)
        self.assertEqual(len(self.test_bed.running()), 3)

    def test_a_later_lifetime_is_used_at_once(self):
        """Guards against tasks that wait although their host has started again."""
        self.backend.restart()
        self.set_entry(self.backend.report())
        self.run_for(300)
        self.assertEqual(len(self.test_bed.running()), 3)

    def test_a_later_lifetime_with_an_earlier_start_time_is_used(self):
        """Guards against a host that is ignored since its clock was set back."""
        self.backend.restart()
        self.backend.born_ms = 100
        self.set_entry(self.backend.report())
        self.run_for(100)
        state = self.test_bed.scheduler.backends_by_id.get('b1')
        if state is not None and state.born_ms != 100:
            self.test_bed.scheduler.contact_lost(
                state,
                OrderOutcome.OTHER_LIFETIME,
                self.test_bed.now_ms,
                self.test_bed.now_ms,
            )
        self.run_for(100)
        self.set_entry(self.backend.report())
        self.run_for(300)
        self.assertEqual(self.test_bed.scheduler.backends_by_id['b1'].born_ms, 100)
        self.assertEqual(len(self.test_bed.running()), 3)

    def test_a_silent_lifetime_ends_with_its_lease(self):
        """Guards against a host that is ignored for good, as no call reaches it."""
        state = self.test_bed.scheduler.backends_by_id['b1']
        self.backend.unresponsive = True
        self.backend.runs_by_name.clear()
        self.test_bed.scheduler.contact_lost(
            state,
            OrderOutcome.NO_ANSWER,
            self.test_bed.now_ms + LEASE_MS,
            self.test_bed.now_ms,
        )
        self.backend.born_ms = 100
        self.run_for(RESTART_MS)
        self.set_entry(self.backend.report())
        self.assertEqual(self.test_bed.running(), {})
        self.run_for(LEASE_MS)
        self.set_entry(self.backend.report())
        self.assertEqual(self.test_bed.scheduler.backends_by_id['b1'].born_ms, 100)


class ClockSetBackTest(LifetimeTestCase):
    """The clock of the host was set back, so the later lifetime began earlier."""

    def setUp(self):
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.test_bed.submit(StepSpec(task_count=3, resources=SMALL, long_running=True))
        self.run_for(1000)
        self.former_entry = self.backend.report()
        self.backend.restart()
        self.backend.born_ms = 100

    def run_in_the_later_lifetime(self):
        for _ in range(2):
            self.set_entry(self.backend.report())
            self.run_for(250)
        self.assertEqual(len(self.backend.runs_by_name), 3)
        self.test_bed.backends['b2'] = FakeBackend('b2')
        self.set_entry(self.test_bed.backends['b2'].report())
        self.run_for(100)

    def assert_nothing_starts_again(self):
        started = list(self.backend.started)
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(self.backend.started, started)
        self.assertEqual(self.test_bed.backends['b2'].started, [])
        self.assertEqual(len(self.backend.runs_by_name), 3)

    def test_a_late_entry_of_the_former_lifetime(self):
        """Guards against a second run of each task, as its start time is later."""
        self.run_in_the_later_lifetime()
        self.set_entry(self.former_entry)
        self.assert_nothing_starts_again()

    def test_a_late_entry_of_the_former_lifetime_before_a_new_leader(self):
        """Guards against a new leader that trusts the entry more than the answer."""
        self.run_in_the_later_lifetime()
        self.test_bed.entries_by_id['b1'] = self.former_entry
        self.test_bed.new_leader()
        self.assert_nothing_starts_again()

    def test_a_new_leader_learns_of_the_restart_from_the_backend_server(self):
        """Guards against tasks that wait for a lease that no lifetime holds."""
        self.test_bed.new_leader()
        self.run_for(MAX_STANDSTILL_MS)
        self.set_entry(self.backend.report())
        self.run_for(100)
        self.assertEqual(len(self.backend.runs_by_name), 3)

    def test_a_removed_entry_asks_for_nothing(self):
        """Guards against calls to an address whose entry is gone."""
        self.run_in_the_later_lifetime()
        self.backend.unresponsive = True
        self.set_entry(self.former_entry)
        self.test_bed.scheduler.remove_backend('b1')
        state = self.test_bed.scheduler.backends_by_id['b1']
        self.assertIsNone(state.contested_by)


class UnnoticedRestartTest(LifetimeTestCase):
    """A backend server restarts while its link is idle, and accepts starts."""

    def setUp(self):
        self.backend = FakeBackend('b1', born_ms=5000, host_id='h1')
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.backend.restart()
        self.test_bed.submit(StepSpec(task_count=3, resources=SMALL, estimated_ms=500))
        self.test_bed.hold = lambda backend: None
        self.test_bed.step(TICK_MS)
        del self.test_bed.hold
        self.assertEqual(len(self.backend.runs_by_name), 3)
        self.test_bed.backends['b2'] = FakeBackend('b2')
        self.set_entry(self.test_bed.backends['b2'].report())

    def assert_each_ran_once(self):
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(len(self.backend.started), 3)
        self.assertEqual(self.test_bed.backends['b2'].started, [])

    def test_runs_of_the_later_lifetime_go_on(self):
        """Guards against a second run of each task that the later lifetime started."""
        for registered in (False, True):
            with self.subTest(registered=registered):
                self.setUp()
                if registered:
                    self.set_entry(self.backend.report())
                self.assert_each_ran_once()
                self.assertEqual(len(self.backend.runs_by_name), 3)

    def test_runs_that_have_ended_in_the_later_lifetime_count(self):
        """Guards against a second run of a task that the later lifetime has done."""
        for name in list(self.backend.runs_by_name):
            self.backend.end(name, EndReason.DONE)
        self.assert_each_ran_once()
        self.assertEqual(self.test_bed.phase(), 'done')

    def test_runs_of_the_later_lifetime_go_on_under_a_new_leader(self):
        """Guards against a new leader that trusts the lifetime in the records."""
        self.test_bed.new_leader()
        self.assert_each_ran_once()
        self.assertEqual(len(self.backend.runs_by_name), 3)

    def test_a_list_of_hosts_from_before_the_restart_ends_nothing(self):
        """Guards against runs that a late list requeues, since their link is new."""
        listed = HostsListed(
            hosts=[Host(host_id='h1', pool=SERVICE, state='down')],
            sent_ms=self.test_bed.now_ms - 1,
        )
        self.test_bed.hold(self.backend)
        state = self.test_bed.scheduler.backends_by_id['b1']
        self.assertEqual((state.host_id, len(state.tasks_by_name)), ('h1', 3))
        self.test_bed.scheduler.hosts_listed(listed)
        self.assert_each_ran_once()

    def test_unanswered_starts_are_withdrawn_from_the_later_lifetime(self):
        """Guards against a start that is carried out after its task has run elsewhere.

        The leader has sent three more starts when it learns of the later lifetime.
        """
        self.test_bed.submit(
            StepSpec(task_count=3, resources=SMALL, estimated_ms=500), job_id='j2'
        )
        hold, execute = self.test_bed.hold, self.test_bed.execute
        self.test_bed.hold = self.test_bed.execute = lambda *_: None
        self.test_bed.step(TICK_MS)
        self.test_bed.hold, self.test_bed.execute = hold, execute
        state = self.test_bed.scheduler.backends_by_id['b1']
        sent = [(t.name, t.run) for t in state.tasks_by_name.values() if t.start_sent]
        self.run_for(MAX_STANDSTILL_MS)
        for name, run in sent:
            if name not in self.backend.runs_by_name:
                self.assertGreaterEqual(self.backend.barred_by_name.get(name, 0), run)
        self.assertEqual(len(self.test_bed.running()), 6)


class LateEntryBeforeNewLeaderTest(LifetimeTestCase):
    def test_a_new_leader_reaches_the_lifetime_that_the_records_name(self):
        """Guards against leases that nobody renews until the next entry."""
        backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = test_bed = JobTestBed(backend)
        test_bed.step()
        test_bed.submit(StepSpec(task_count=3, resources=SMALL, long_running=True))
        self.run_for(500)
        test_bed.entries_by_id['b1'] = replace(backend.report(), born_ms=4000)
        test_bed.new_leader()
        self.run_for(500)
        state = test_bed.scheduler.backends_by_id['b1']
        self.assertEqual((state.born_ms, state.fenced), (5000, True))
        self.assertEqual(len(backend.started), 3)


if __name__ == '__main__':
    unittest.main()
