"""Moves of hosts between pools as the demand of their queues changes."""

import unittest

from dandelionknot.jobs._generated import (
    EndReason,
    OrderOutcome,
    Queue,
    Resources,
    StepSpec,
)
from tests.capacity_test_bed import OTHER, SPARE, CapacityTestCase
from tests.job_test_bed import SERVICE, FakeBackend


class CapacityTest(CapacityTestCase):
    def test_a_pool_that_is_too_small_borrows_standby_hosts(self):
        """Guards against a burst of jobs that waits while standby hosts are off."""
        self.run_rounds(2)
        self.burst(7)
        moved = self.run_rounds(20)
        self.assertEqual({target for _, target in moved}, {SERVICE})
        self.assertEqual(len(self.test_bed.running()), 7)

    def test_a_host_that_cannot_be_moved_is_passed_over(self):
        """Guards against repeated orders to move a host whose move was refused."""
        self.busy = {'s0'}
        self.run_rounds(2)
        self.burst(5)
        moved = self.run_rounds(20)
        self.assertIn(('m-s1', SERVICE), moved)
        self.assertLess(moved.count(('m-s0', SERVICE)), 3)
        self.assertEqual(len(self.test_bed.running()), 5)

    def test_a_leaving_host_is_not_moved(self):
        """Guards against a move of a draining host, which the platform takes away."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        leaving = self.test_bed.backends['s0']
        leaving.draining = True
        self.test_bed.scheduler.set_backend(leaving.report(), self.test_bed.now_ms)
        moved = self.run_rounds(100)
        self.assertEqual({host_id for host_id, _ in moved}, {'m-s1'})

    def test_borrowed_hosts_go_back_when_they_are_idle(self):
        """Guards against standby hosts that stay on, and cost money, after a burst."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        self.run_rounds(100)
        self.assertEqual(sorted(self.pools.values()), sorted([SERVICE, SPARE] * 2))

    def test_a_server_that_appears_on_a_borrowed_host_counts_as_borrowed_at_once(self):
        """Guards against a long-running task that takes a borrowed host for good."""
        test_bed = self.test_bed
        test_bed.scheduler.capacity.homes_by_host_id['m-s0'] = SPARE
        borrowed = test_bed.backends['s0'] = FakeBackend('s0', host_id='m-s0')
        test_bed.scheduler.set_backend(borrowed.report(), test_bed.now_ms)
        small = Resources(cpu_millicores=100, memory_mb=1)
        step = StepSpec(task_count=3, resources=small, long_running=True)
        test_bed.submit(step, job_id='long')
        test_bed.step(100)
        self.assertEqual(borrowed.started, [])
        self.assertEqual(len(test_bed.running()), 3)

    def test_a_borrowed_host_is_drained_of_long_running_tasks(self):
        """Guards against a host that is never returned because of one such task."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        self.test_bed.submit(
            StepSpec(
                task_count=1,
                resources=Resources(cpu_millicores=100, memory_mb=1),
                long_running=True,
            ),
            job_id='long',
        )
        scheduler = self.test_bed.scheduler
        for name in ('b0', 'b1'):
            scheduler.backends_by_id[name].avoid_until_ms = self.test_bed.now_ms + 500
        self.run_rounds(4)
        [place] = self.test_bed.running()['long.0.0.0']
        self.assertIn(place, ('s0', 's1'))
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                if name.startswith('j'):
                    backend.end(name, EndReason.DONE)
            for run in backend.runs_by_name.values():
                run.percent = 100
        self.run_rounds(100)
        self.assertEqual(sorted(self.pools.values()), sorted([SERVICE, SPARE] * 2))
        self.assertEqual(len(self.test_bed.running()['long.0.0.0']), 1)

    def occupy_with_long_running_tasks(self):
        """Puts a small long-running task on each host of the pool."""
        self.run_rounds(2)
        small = Resources(cpu_millicores=100, memory_mb=1)
        self.test_bed.submit(
            StepSpec(task_count=2, resources=small, long_running=True), job_id='long'
        )
        self.run_rounds(3)

    def test_a_task_that_fits_beside_no_long_running_one_gets_a_host(self):
        """Guards against a task that waits for ever, although hosts are idle.

        The pool has room for it in total, but each of its hosts runs a small task that
        never ends. Found by the fuzz test, seed 314.
        """
        self.occupy_with_long_running_tasks()
        whole = Resources(cpu_millicores=32_000, memory_mb=1000)
        self.test_bed.submit(
            StepSpec(task_count=1, resources=whole, estimated_ms=60_000), job_id='large'
        )
        self.run_rounds(20)
        self.assertIn('large.0.0.0', self.test_bed.running())

    def test_a_large_task_of_a_job_that_is_late_gets_a_host(self):
        """Guards against an accepted job that is never run since it is late."""
        self.occupy_with_long_running_tasks()
        whole = Resources(cpu_millicores=32_000, memory_mb=1000)
        self.test_bed.submit(
            StepSpec(task_count=1, resources=whole, estimated_ms=100), job_id='large'
        )
        self.test_bed.now_ms += 60_000
        self.run_rounds(20)
        self.assertIn('large.0.0.0', self.test_bed.running())

    def test_the_homes_of_borrowed_hosts_are_stored(self):
        """Guards against hosts that stay borrowed after a change of leader."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        capacity = self.test_bed.scheduler.capacity
        self.assertEqual(set(capacity.homes_by_host_id.values()), {SPARE})
        capacity.dirty = True
        batch = self.test_bed.scheduler.take_batch(10, 0)
        self.assertEqual(batch.borrowed.homes_by_host_id, capacity.homes_by_host_id)

    def test_a_host_with_tasks_is_not_moved(self):
        """Guards against a move that kills the tasks on the host."""
        self.run_rounds(2)
        self.burst(7)
        self.run_rounds(20)
        busy = {name for name, b in self.test_bed.backends.items() if b.runs_by_name}
        for _, target in self.run_rounds(100):
            self.assertNotEqual(target, SPARE)
        self.assertTrue(busy <= set(self.test_bed.backends))

    def test_a_pool_with_a_burst_borrows_idle_hosts_of_other_pools(self):
        """Guards against tasks that wait while hosts of other pools are idle.

        Queues have their bursts one after the other. In its burst, a queue needs five
        times its mean, which is more than its pool and the standby hosts hold.
        """
        self.add_other_pool(8)
        self.run_rounds(5)
        self.burst(14)
        moved = self.run_rounds(30)
        self.assertEqual({target for _, target in moved}, {SERVICE})
        self.assertEqual(len(self.test_bed.running()), 14)
        # The other pool keeps its reserve.
        kept = [pool for pool in self.pools.values() if pool == OTHER]
        self.assertGreaterEqual(len(kept), 4)

    def test_lent_hosts_are_returned_after_the_burst(self):
        """Guards against pools that never get their lent hosts back."""
        self.add_other_pool(8)
        self.run_rounds(5)
        self.burst(14)
        self.run_rounds(30)
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        self.run_rounds(200)
        # Returned hosts are in their home pool or, beyond its reserve, in the standby
        # pool.
        self.assertEqual(set(self.pools.values()), {SERVICE, OTHER, SPARE})
        self.assertEqual(list(self.pools.values()).count(SERVICE), 2)
        homes = self.test_bed.scheduler.capacity.homes_by_host_id
        in_standby = [host_id for host_id, home in homes.items() if home == OTHER]
        kept = [pool for pool in self.pools.values() if pool == OTHER]
        self.assertEqual(len(kept) + len(in_standby), 8)

    def test_a_lent_host_goes_to_standby_without_a_detour(self):
        """Guards against two moves of a host that neither pool needs."""
        self.add_other_pool(8)
        self.run_rounds(5)
        self.burst(14)
        self.run_rounds(30)
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                backend.end(name, EndReason.DONE)
        moved = self.run_rounds(200)
        self.assertNotIn(OTHER, [target for _, target in moved])

    def test_idle_hosts_move_to_the_standby_pool_and_come_back(self):
        """Guards against idle hosts that stay on, and cost money, between bursts."""
        self.add_other_pool(8)
        self.run_rounds(2)
        self.burst(1)
        self.run_rounds(100)
        kept = [pool for pool in self.pools.values() if pool == OTHER]
        self.assertEqual(len(kept), 4)
        self.test_bed.queue = Queue(
            name='calm', host='h', path_prefix='/c/', service=OTHER, max_attempts=3
        )
        self.configure()
        self.burst(16)
        self.run_rounds(30)
        self.assertEqual(len(self.test_bed.running()), 16)

    def test_unresponsive_hosts_are_replaced(self):
        """Guards against counting hosts of an unresponsive rack as room for a burst."""
        self.run_rounds(2)
        self.test_bed.backends['b0'].unresponsive = True
        state = self.test_bed.scheduler.backends_by_id['b0']
        self.test_bed.scheduler.contact_lost(
            state, OrderOutcome.NO_ANSWER, self.test_bed.now_ms + 60_000
        )
        self.burst(3)
        self.run_rounds(20)
        self.assertEqual(len(self.test_bed.running()), 3)

    def test_a_small_pool_without_jobs_keeps_its_hosts(self):
        """Guards against moves of hosts that a pool keeps even without demand."""
        self.assertEqual(self.run_rounds(150), [])

    def test_an_account_at_its_limit_asks_for_no_hosts(self):
        """Guards against borrowing hosts for tasks that the limit does not allow."""
        account = self.test_bed.scheduler.account('sofia')
        account.limit = Resources(cpu_millicores=48000)
        self.burst(9)
        self.assertEqual(self.run_rounds(20), [])


if __name__ == '__main__':
    unittest.main()
