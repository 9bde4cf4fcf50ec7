"""Hosts that are kept empty for maintenance or a move that cannot begin."""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    EndReason,
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    OrderOutcome,
    Resources,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.jobs._maintenance import DOWN, UP
from tests.capacity_test_bed import CapacityTestCase
from tests.job_test_bed import LEASE_MS, SERVICE, FakeBackend, JobTestBed

TICK_MS = 50
LIST_EVERY_MS = 500
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000
RARE = 'rare'
LASTING = StepSpec(
    task_count=2,
    resources=Resources(cpu_millicores=2600),
    required_label=RARE,
    long_running=True,
    max_per_host=1,
    max_unavailable=1,
)
WORK = StepSpec(
    task_count=1, resources=Resources(cpu_millicores=800), required_label=RARE
)


class BlockedMaintenanceTest(unittest.TestCase):
    """Two of eight hosts have the label that jobs require."""

    def setUp(self):
        self.test_bed = JobTestBed(
            *(
                FakeBackend(f'b{n}', labels=(RARE if n < 2 else 'std', 'r1-1'))
                for n in range(8)
            )
        )
        self.states_by_id = dict.fromkeys(self.test_bed.backends, UP)
        self.test_bed.step()
        self.test_bed.submit(LASTING, job_id='lasting')
        self.run_for(500)
        self.assertEqual(len(self.test_bed.running()), 2)
        self.set_full_speed()

    def set_full_speed(self):
        for backend in self.test_bed.backends.values():
            backend.makes_progress = False
            for run in backend.runs_by_name.values():
                run.percent = 100

    def run_for(self, duration_ms):
        """Returns the orders about hosts that are sent meanwhile."""
        orders = []
        for at_ms in range(0, duration_ms, TICK_MS):
            if at_ms % LIST_EVERY_MS == 0:
                self.list_hosts()
            commands = self.test_bed.step(TICK_MS)
            orders += [c for c in commands if isinstance(c, HostOrder)]
        return orders

    def list_hosts(self):
        rows = [
            Host(
                host_id=f'm-{name}',
                pool=SERVICE,
                state=state,
                backend_id=name if state == UP else '',
            )
            for name, state in self.states_by_id.items()
        ]
        listed = HostsListed(hosts=rows, sent_ms=self.test_bed.now_ms)
        self.test_bed.scheduler.hosts_listed(listed)

    def order_wave(self, *host_ids, max_down=1, within_s=20):
        wave = UpkeepWave(
            number=1, host_ids=list(host_ids), within_s=within_s, max_down=max_down
        )
        maintenance = self.test_bed.scheduler.maintenance
        maintenance.set_wave('1', wave, None, self.test_bed.now_ms)
        return maintenance.waves_by_name['1']

    def lose(self, name):
        self.states_by_id[name] = DOWN
        backend = self.test_bed.backends.pop(name)
        backend.runs_by_name.clear()
        scheduler = self.test_bed.scheduler
        now_ms = self.test_bed.now_ms
        scheduler.contact_lost(
            scheduler.backends_by_id[name],
            OrderOutcome.NO_ANSWER,
            now_ms + LEASE_MS,
            now_ms,
        )

    def finish(self, order, outcome):
        self.test_bed.scheduler.host_order_finished(
            order, outcome, self.test_bed.now_ms
        )

    def assert_work_runs(self, name):
        """Submits a job and checks that it begins within the longest standstill."""
        started = len(self.test_bed.backends[name].started)
        self.test_bed.submit(WORK, job_id=f'work{started}')
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(len(self.test_bed.backends[name].started), started + 1)

    def test_the_last_host_of_a_kind_works_while_its_maintenance_cannot_begin(self):
        """Guards against jobs that wait for a wave that waits for a lost host."""
        self.lose('b1')
        self.run_for(500)
        self.order_wave('m-b0', 'm-b1')
        self.assertEqual(self.run_for(LIST_EVERY_MS), [])
        self.assert_work_runs('b0')
        self.assertEqual(self.run_for(20_000), [])

    def test_a_cordon_ends_if_its_host_cannot_go_down_any_more(self):
        """Guards against a cordon without an end, if another host does not come back.

        Both hosts are cordoned; the first goes down and is lost.
        """
        self.order_wave('m-b0', 'm-b1', max_down=2, within_s=10)
        [order] = self.run_for(1000)
        self.finish(order, HostOrderOutcome.ACCEPTED)
        lost = order.host_id.removeprefix('m-')
        self.lose(lost)
        self.assert_work_runs('b1' if lost == 'b0' else 'b0')
        events = [e.event for e in self.test_bed.scheduler.take_log_entries()]
        self.assertIn(Event.CORDON_ENDED, events)

    def test_maintenance_begins_once_it_is_possible(self):
        """Guards against a wave that gives up hosts whose tasks may not be stopped."""
        self.lose('b1')
        self.run_for(500)
        self.order_wave('m-b0')
        self.run_for(10_000)
        spare = FakeBackend('b9', labels=(RARE, 'r1-1'))
        self.test_bed.backends['b9'] = spare
        self.states_by_id['b9'] = UP
        self.test_bed.scheduler.set_backend(spare.report(), self.test_bed.now_ms)
        self.run_for(500)
        self.set_full_speed()
        [order] = self.run_for(2000)
        self.assertEqual(order.host_id, 'm-b0')

    def test_a_host_that_the_wave_skips_works_on(self):
        """Guards against a host that stays cordoned after the platform refused it."""
        for outcome in (HostOrderOutcome.OTHER_WAVE, HostOrderOutcome.UNKNOWN_HOST):
            with self.subTest(outcome=outcome):
                self.setUp()
                wave = self.order_wave('m-b0')
                [order] = self.run_for(1000)
                self.finish(order, outcome)
                self.run_for(500)
                self.assertTrue(wave.done)
                self.assert_work_runs('b0')

    def test_a_host_that_is_not_listed_any_more_works_on(self):
        """Guards against a backend server that stays cordoned without a row."""
        self.assert_work_runs('b0')
        self.order_wave('m-b0')
        self.run_for(500)
        state = self.test_bed.scheduler.backends_by_id['b0']
        self.assertTrue(state.cordoned)
        del self.states_by_id['b0']
        self.run_for(LIST_EVERY_MS)
        self.assertFalse(state.cordoned)

    def test_an_order_that_is_refused_for_long_ends_the_cordon(self):
        """Guards against a host that is kept empty while the platform refuses."""
        self.order_wave('m-b0')
        refused = 0
        for _ in range(300):
            for order in self.run_for(TICK_MS):
                refused += 1
                self.finish(order, HostOrderOutcome.BUSY)
        self.assertGreater(refused, 3)
        events = [e.event for e in self.test_bed.scheduler.take_log_entries()]
        self.assertIn(Event.CORDON_ENDED, events)


class MovedHostTest(CapacityTestCase):
    """Hosts that get no starts, since they are to move to another pool."""

    def borrow_with_lasting_tasks(self):
        """Returns a borrowed backend server with one of two long-running tasks."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        step = StepSpec(
            task_count=2,
            resources=Resources(cpu_millicores=100, memory_mb=1),
            long_running=True,
            max_per_host=1,
            max_unavailable=1,
        )
        self.test_bed.submit(step, job_id='long')
        states_by_id = self.test_bed.scheduler.backends_by_id
        states_by_id['b0'].avoid_until_ms = self.test_bed.now_ms + 500
        self.run_rounds(4)
        borrowed = [
            b for b in self.test_bed.backends.values() if b.backend_id[0] == 's'
        ]
        [found, *_] = [
            b for b in borrowed if any('long' in name for name in b.runs_by_name)
        ]
        return found

    def test_a_borrowed_host_works_while_its_task_may_not_be_stopped(self):
        """Guards against a host that is kept empty for a return that cannot begin."""
        borrowed = self.borrow_with_lasting_tasks()
        for backend in self.test_bed.backends.values():
            backend.makes_progress = False
            for name, run in list(backend.runs_by_name.items()):
                run.percent = 100 if backend is borrowed else 50
                if name.startswith('j'):
                    backend.end(name, EndReason.DONE)
        state = self.test_bed.scheduler.backends_by_id[borrowed.backend_id]
        for _ in range(60):
            self.run_rounds(1)
            self.assertFalse(state.moving)

    def test_hosts_work_again_once_no_pool_is_on_standby(self):
        """Guards against a host that stays closed after a change of configuration."""
        self.run_rounds(2)
        self.burst(1)
        self.run_rounds(2)
        scheduler = self.test_bed.scheduler
        scheduler.capacity.emptying_host_ids = {'m-b0'}
        state = scheduler.backends_by_id['b0']
        state.moving = True
        self.test_bed.configure()
        self.run_rounds(5)
        self.assertFalse(state.moving)


if __name__ == '__main__':
    unittest.main()
