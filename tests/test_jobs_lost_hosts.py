"""Backend servers that the list of hosts shows as lost."""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs._generated import Resources, StepSpec
from tests.job_test_bed import RESTART_MS, FakeBackend, JobTestBed

TICK_MS = 50
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000
TASKS = StepSpec(task_count=8, resources=Resources(cpu_millicores=8000))

SMALL = Resources(cpu_millicores=1000)
# Two of them leave room for small tasks only.
HALF = Resources(cpu_millicores=12_000)
# Two of them fill a host.
LARGE_TASKS = StepSpec(task_count=4, resources=Resources(cpu_millicores=16_000))


class LostHostsTest(unittest.TestCase):
    """Each test crashes two of six backend servers, which stay down."""

    def setUp(self):
        self.test_bed = JobTestBed(
            *(FakeBackend(f'b{n}', host_id=f'h{n}') for n in range(6))
        )
        self.test_bed.submit(TASKS)
        self.run_for(1000)

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)
            self.test_bed.list_hosts()

    def crash(self):
        self.lost = [b for b in self.test_bed.backends.values() if b.runs_by_name]
        self.assertEqual(len(self.lost), 2)
        for backend in self.lost:
            self.test_bed.lose(backend)
            backend.down_until_ms += 10 * RESTART_MS

    def assert_requeued(self):
        """Asserts that each task of the lost servers was requeued in time."""
        self.run_for(MAX_STANDSTILL_MS - 200)
        requeued = [
            entry.fields['task']
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.TASK_REQUEUED
        ]
        self.assertEqual(len(set(requeued)), TASKS.task_count)

    def test_leader_that_has_read_no_list_before_the_loss(self):
        """Guards against tasks that wait for a lease though the list shows the end."""
        self.crash()
        self.assert_requeued()

    def test_new_leader_that_never_reached_the_lost_servers(self):
        """Guards against tasks that wait for the longest lease of a former leader."""
        for unregistered in (False, True):
            with self.subTest(unregistered=unregistered):
                self.setUp()
                self.crash()
                ids = tuple(backend.backend_id for backend in self.lost)
                self.test_bed.new_leader(ids if unregistered else ())
                self.assert_requeued()

    def test_former_lifetime_of_a_server_that_is_up_elsewhere(self):
        """Guards against tasks that wait for the lease of a replaced lifetime."""
        self.crash()
        for backend in self.lost:
            backend.restart()
        self.test_bed.new_leader()
        self.assert_requeued()

    def remove(self, rows=True, entries=True):
        """Removes the rows and the entries of the lost servers."""
        for backend in self.lost:
            if rows:
                del self.test_bed.backends[backend.backend_id]
            if entries:
                self.test_bed.scheduler.remove_backend(backend.backend_id)

    def test_hosts_that_are_gone_for_good_are_not_listed(self):
        """Guards against tasks that wait for a lease though their host is gone."""
        for leader in (False, True):
            with self.subTest(new_leader=leader):
                self.setUp()
                self.crash()
                self.remove()
                if leader:
                    self.test_bed.new_leader()
                self.assert_requeued()

    def test_a_missing_row_alone_ends_nothing(self):
        """Guards against a task that runs twice since a list lacks a row."""
        for case in ('entry', 'incomplete', 'listed'):
            with self.subTest(case):
                self.setUp()
                self.crash()
                for backend in self.lost:
                    backend.down_until_ms, backend.cut_off = 0, True
                self.remove(case != 'listed', case != 'entry')
                self.test_bed.lists_complete = case != 'incomplete'
                self.run_for(MAX_STANDSTILL_MS)
                events = [e.event for e in self.test_bed.scheduler.take_log_entries()]
                self.assertNotIn(Event.TASK_REQUEUED, events)

    def test_server_that_is_only_cut_off_keeps_its_tasks(self):
        """Guards against a task that runs twice since its host does not answer."""
        for backend in self.test_bed.backends.values():
            backend.cut_off = bool(backend.runs_by_name)
        before = self.test_bed.running()
        self.test_bed.new_leader()
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(self.test_bed.running(), before)


class SuspicionTest(unittest.TestCase):
    """Each test loses backend servers of a large fleet right before a new leader."""

    def lose(self, servers, lost, end):
        """Starts a new leader after a loss; returns the number of suspected tasks.

        `end` is what the new leader sees: the servers are down, their entries have been
        removed as well, or they have started again.
        """
        test_bed = JobTestBed(
            *(
                FakeBackend(f'b{n}', host_id=f'h{n}', labels=(f'r-{n // 8}',))
                for n in range(servers)
            )
        )
        for number in range(lost):
            test_bed.submit(LARGE_TASKS, job_id=f'j{number}')
        for _ in range(20):
            test_bed.step(TICK_MS)
        used = [b for b in test_bed.backends.values() if b.runs_by_name]
        self.assertGreaterEqual(len(used), lost)
        for backend in used[:: max(1, len(used) // lost)][:lost]:
            test_bed.lose(backend)
            backend.down_until_ms += 10 * RESTART_MS
            if end == 'restarted':
                backend.restart()
        gone = tuple(i for i, b in test_bed.backends.items() if b.down_until_ms)
        test_bed.new_leader(gone if end == 'unregistered' else ())
        for _ in range(0, MAX_STANDSTILL_MS, TICK_MS):
            test_bed.step(TICK_MS)
            test_bed.list_hosts()
        return sum(
            entry.event is Event.TASK_SUSPECTED
            for entry in test_bed.scheduler.take_log_entries()
        )

    def test_no_task_is_suspected_after_a_large_loss(self):
        """Guards against jobs that wait for empty hosts, as many tasks are suspected.

        What is a large loss does not grow with the fleet, and does not depend on the
        order in which a new leader learns of the lost servers.
        """
        for servers, lost in ((60, 9), (160, 20)):
            for end in ('down', 'unregistered', 'restarted'):
                with self.subTest(servers=servers, lost=lost, end=end):
                    self.assertEqual(self.lose(servers, lost, end), 0)

    def test_tasks_are_suspected_after_a_small_loss(self):
        """Guards against crashing tasks that a change of leader hides."""
        self.assertGreater(self.lose(60, 2, 'down'), 0)


class WaitTest(unittest.TestCase):
    """No host is empty, since a task that lasts runs on each."""

    SERVERS = 12

    def setUp(self):
        self.test_bed = JobTestBed(
            *(FakeBackend(f'b{n}', host_id=f'h{n}') for n in range(self.SERVERS))
        )
        lasting = StepSpec(
            task_count=self.SERVERS,
            resources=SMALL,
            long_running=True,
            max_per_host=1,
            max_unavailable=1,
        )
        self.test_bed.submit(lasting, job_id='lasting')
        self.run_for(500)

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)
            self.test_bed.list_hosts()

    def names_running(self, job_id):
        return {n for n in self.test_bed.running() if n.startswith(f'{job_id}.')}

    def test_job_of_suspected_tasks_does_not_stand_still(self):
        """Guards against suspected tasks that wait for empty hosts in turn."""
        self.test_bed.submit(StepSpec(task_count=8, resources=SMALL), job_id='j1')
        self.run_for(200)
        [lost] = [
            backend
            for backend in self.test_bed.backends.values()
            if any(name.startswith('j1.') for name in backend.runs_by_name)
        ]
        self.test_bed.lose(lost)
        lost.down_until_ms += 10 * RESTART_MS
        self.test_bed.new_leader()
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(len(self.names_running('j1')), 8)

    def test_task_that_crashed_a_server_alone_starts_beside_no_other(self):
        """Guards against a crashing task that costs other tasks their work again.

        The short tasks do not end, and the servers that have crashed stay down.
        """
        short = StepSpec(task_count=2 * self.SERVERS, resources=HALF)
        self.test_bed.submit(short, job_id='short')
        self.run_for(500)
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='deadly')
        self.test_bed.crash_after_ms_by_name['deadly.0.0.0'] = 0
        for _ in range(20):
            self.run_for(1000)
            for backend in self.test_bed.backends.values():
                backend.down_until_ms *= 10
        lost = [names for _, _, names in self.test_bed.crashes]
        self.assertGreaterEqual(len(lost), 2)
        for names in lost[2:]:
            self.assertEqual([n for n in names if n.startswith('short')], [])


if __name__ == '__main__':
    unittest.main()
