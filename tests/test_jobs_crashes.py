"""Tasks that crash the backend servers on which they start, and what runs beside them.

The load is that of the users' day: jobs of six short tasks fill the hosts of a pool,
and the first task of some jobs crashes each host that starts it.
"""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    EndReason,
    Host,
    HostsListed,
    OrderOutcome,
    Queue,
    Resources,
    StepSpec,
)
from tests.job_test_bed import LEASE_MS, SERVICE, FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1600, memory_mb=100)
TASK_MS = 640
TICK_MS = 20
# The rule: after three crashes under a task, at most two further starts of it.
MAX_STARTS = 5


def step(count=6, **fields):
    """Returns a step of small tasks."""
    fields.setdefault('estimated_ms', TASK_MS)
    return StepSpec(task_count=count, resources=SMALL, **fields)


def pool(count=8, racks=2):
    """Returns the backend servers of a pool."""
    return [
        FakeBackend(f'b{i}', labels=('std', f'r1-{i % racks}')) for i in range(count)
    ]


class CrashTestCase(unittest.TestCase):
    def setUp(self):
        self.test_bed = JobTestBed(*pool())
        self.names = []

    def deadly(self, name, after_ms=0):
        """Makes a task crash its host."""
        self.test_bed.crash_after_ms_by_name[name] = after_ms

    def run_for(self, duration_ms, spared=(), each_tick=lambda: None):
        """Plays rounds; runs that last `TASK_MS` end as done, except spared ones."""
        for _ in range(duration_ms // TICK_MS):
            self.test_bed.step(TICK_MS)
            self.test_bed.finish_after(TASK_MS, spared)
            each_tick()

    def starts_of(self, name):
        """Returns how many times a task was started."""
        return sum(
            started == name
            for backend in self.test_bed.backends.values()
            for started, _ in backend.started
        )

    def submit_jobs(self, count, prefix='job', **fields):
        """Submits jobs of one step and returns their ids."""
        ids = [f'{prefix}{i}' for i in range(count)]
        for job_id in ids:
            self.test_bed.submit(step(**fields), job_id=job_id)
        return ids

    def assert_done(self, job_ids):
        """Checks that no job is lost to the crashes of another one."""
        phases = {job_id: self.test_bed.phase(job_id) for job_id in job_ids}
        self.assertEqual(set(phases.values()), {'done'}, phases)

    def assert_given_up(self, job_id, name):
        """Checks that a job has failed, and that its task was started rarely."""
        self.assertEqual(self.test_bed.phase(job_id), 'failed')
        self.assertLessEqual(self.starts_of(name), MAX_STARTS)


class DeadlyTaskTest(CrashTestCase):
    def test_a_task_that_crashes_its_hosts_is_given_up(self):
        """Guards against a task that crashes one host after the other (BUDGET)."""
        innocent = self.submit_jobs(8)
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        self.run_for(40_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assert_done(innocent)

    def test_only_the_first_crash_costs_other_tasks(self):
        """Guards against suspected tasks that start again beside others."""
        self.submit_jobs(8)
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        for number in range(100):
            self.submit_jobs(1, f'later{number}-')
            self.run_for(100)
        self.run_for(30_000)
        lost_beside = [others for _, _, others in self.test_bed.crashes]
        self.assertGreaterEqual(len(lost_beside), 2)
        self.assertEqual(lost_beside[1:], [[] for _ in lost_beside[1:]])

    def test_copies_of_a_speculative_task_crash_no_further_hosts(self):
        """Guards against copies that start at once beside the tasks of other hosts."""
        innocent = self.submit_jobs(6, speculative=True)
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad', speculative=True)
        self.run_for(30_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assertEqual([o for _, _, o in self.test_bed.crashes[1:] if o], [])
        self.assert_done(innocent)

    def test_many_deadly_tasks_in_a_surge(self):
        """Guards against suspects that take the whole pool out of service.

        A tenth of the jobs of a surge have a task that crashes its host.
        """
        ids = []
        for second in range(10):
            ids += self.submit_jobs(6, f'job{second}-')
            if second % 2:
                self.deadly(f'bad{second}-0.0.0.0')
                self.submit_jobs(1, f'bad{second}-')
            self.run_for(1000)
        self.run_for(40_000)
        for second in range(1, 10, 2):
            self.assert_given_up(f'bad{second}-0', f'bad{second}-0.0.0.0')
        self.assert_done(ids)
        beside = [name for _, name, others in self.test_bed.crashes if others]
        self.assertLessEqual(len(beside), 5)
        # Tests of several tasks at the same time are no outage that proves nothing.
        self.assertLessEqual(len(self.test_bed.crashes), 15)

    def test_nothing_else_of_a_job_starts_before_the_verdict(self):
        """Guards against work for a job that is about to be given up."""
        self.deadly('bad0.0.0.0')
        self.test_bed.submit(step(2), job_id='bad0')
        while len(self.test_bed.crashes) < 2:
            self.run_for(TICK_MS, ('bad0.0.0.1',))
        self.run_for(LEASE_MS + 40, ('bad0.0.0.1',))
        before = self.starts_of('bad0.0.0.1')
        [host] = self.test_bed.running()['bad0.0.0.1']
        self.test_bed.backends[host].end('bad0.0.0.1', EndReason.FAILED)
        self.run_for(3000, ('bad0.0.0.1',))
        self.assertEqual(self.starts_of('bad0.0.0.1'), before)

    def test_tests_of_several_tasks_at_once_are_no_outage(self):
        """Guards against crashes of isolated tasks that prove nothing together."""
        self.test_bed = JobTestBed(*pool(16))
        for number in range(6):
            self.deadly(f'bad{number}.0.0.0')
        self.submit_jobs(6, 'bad')
        self.run_for(60_000)
        for number in range(6):
            self.assert_given_up(f'bad{number}', f'bad{number}.0.0.0')
            self.assertLessEqual(self.starts_of(f'bad{number}.0.0.0'), 4)

    def test_a_crash_after_the_first_one_leaves_few_suspects(self):
        """Guards against innocent tasks that wait because they started just before.

        The tasks of a surge start together, so that without a space between the starts
        on one host all of them are suspected.
        """
        for number in range(3):
            self.deadly(f'bad{number}-0.0.0.0')
            self.submit_jobs(1, f'bad{number}-')
            self.submit_jobs(10, f'job{number}-')
            self.run_for(2000)
        suspects = [
            entry.fields['task']
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.TASK_SUSPECTED and 'bad' not in entry.fields['task']
        ]
        first = [name for name in suspects if name.startswith('job0-')]
        self.assertLessEqual(len(set(suspects) - set(first)), 8)

    def test_starts_sent_after_a_crash_do_not_hide_the_deadly_one(self):
        """Guards against a deadly task that is never suspected.

        Until contact counts as lost, further starts go to the dead host. They are not
        answered, and were taken for a later sign of life.
        """
        self.submit_jobs(1, 'bad')
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        [host] = self.test_bed.running()['bad0.0.0.0']
        state = self.test_bed.scheduler.backends_by_id[host]
        backend = self.test_bed.backends[host]
        backend.ignores_orders = backend.unresponsive = True
        for number in range(4):
            self.submit_jobs(1, f'later{number}-')
            for _ in range(3):
                self.test_bed.step(TICK_MS)
        self.assertGreater(len(state.tasks_by_name), 6)
        self.test_bed.scheduler.contact_lost(
            state,
            OrderOutcome.NO_ANSWER,
            self.test_bed.now_ms + LEASE_MS,
            self.test_bed.now_ms,
        )
        self.assertIn('bad0.0.0.0', state.recent_runs_by_name)

    def test_a_whole_step_of_deadly_tasks(self):
        """Guards against tasks of one job that each crash several hosts."""
        innocent = self.submit_jobs(4)
        for i in range(6):
            self.deadly(f'bad0.0.0.{i}')
        self.test_bed.submit(step(max_per_host=1), job_id='bad0')
        self.run_for(40_000)
        for i in range(6):
            self.assert_given_up('bad0', f'bad0.0.0.{i}')
        self.assert_done(innocent)

    def test_a_pool_of_one_host(self):
        """Guards against suspects that wait for a second host that does not exist."""
        self.test_bed = JobTestBed(*pool(1))
        innocent = self.submit_jobs(3)
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        self.run_for(60_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assert_done(innocent)

    def test_the_host_that_has_not_crashed_yet_is_reserved(self):
        """Guards against waiting for ever for a second host in a busy pool of two.

        The host that crashed under the task is empty after its restart, and the other
        one never is by itself.
        """
        self.test_bed = JobTestBed(*pool(2))
        self.test_bed.submit(step(1), job_id='job0')
        self.run_for(2 * TICK_MS, ('job0.0.0.0',))
        [busy] = self.test_bed.running()['job0.0.0.0']
        [crashed] = self.test_bed.backends.keys() - {busy}
        self.test_bed.submit(step(1), job_id='bad0')
        scheduler = self.test_bed.scheduler
        [task] = scheduler.jobs_by_id['bad0'].steps_by_occurrence[0][0].tasks
        task.run, task.suspected = 2, True
        task.crashed_runs, task.crash_ages_ms = [1, 2], [0, 0]
        task.crashed_host_ids, task.crashed_alone_runs = [busy, crashed], [2]
        scheduler.suspects_by_name[task.name] = task
        self.run_for(2 * TICK_MS, ('job0.0.0.0',))
        reserved = [
            backend.backend_id
            for backend in scheduler.backends_by_id.values()
            if backend.reserved_at_ms
        ]
        self.assertEqual(reserved, [busy])

    def test_a_deadly_gang(self):
        """Guards against gangs whose members crash a host at each start."""
        innocent = self.submit_jobs(4)
        self.deadly('bad0.0.0.1')
        self.test_bed.submit(step(4, gang=True), job_id='bad0')
        self.run_for(60_000)
        self.assert_given_up('bad0', 'bad0.0.0.1')
        self.assert_done(innocent)

    def test_a_deadly_long_running_task(self):
        """Guards against long-running tasks, which may fail at any time, in a loop."""
        self.test_bed.submit(step(4, long_running=True), job_id='service')
        spared = [f'service.0.0.{i}' for i in range(4)]
        self.deadly('bad0.0.0.0')
        self.test_bed.submit(step(2, long_running=True), job_id='bad0')
        spared += ['bad0.0.0.0', 'bad0.0.0.1']
        self.run_for(60_000, spared)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        running = [name for name in self.test_bed.running() if 'service' in name]
        self.assertEqual(len(running), 4)

    def test_a_task_that_crashes_its_host_some_time_after_its_start(self):
        """Guards against a fault that the age of the runs at the crash does not show.

        All tasks of the hosts were started long before, so none is the latest.
        """
        innocent = self.submit_jobs(4)
        self.deadly('bad0.0.0.0', after_ms=400)
        self.submit_jobs(1, 'bad')
        self.run_for(60_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assert_done(innocent)


class InnocentTaskTest(CrashTestCase):
    def test_a_rack_without_power_makes_no_task_wait(self):
        """Guards against treating all recent starts of lost hosts as suspects."""
        ids = self.submit_jobs(12)
        self.test_bed.step(TICK_MS)
        for backend in list(self.test_bed.backends.values())[::2]:
            self.test_bed.lose(backend)
        self.run_for(LEASE_MS + 3 * TASK_MS)
        self.assert_done(ids)

    def test_copies_after_an_outage_wait_for_the_end_of_the_host(self):
        """Guards against copies of a deadly task during an outage.

        So many hosts are lost at once that no task is suspected. A copy of the task
        whose start preceded the loss would crash the next host at once.
        """
        self.submit_jobs(12, speculative=True)
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        lost = list(self.test_bed.backends.values())[:4]
        recent = {name for backend in lost for name in backend.runs_by_name}
        for backend in lost:
            self.test_bed.lose(backend)
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        self.assertEqual(recent & self.test_bed.running().keys(), set())

    def test_tasks_of_hosts_that_crash_again_and_again_are_not_given_up(self):
        """Guards against `failed` for tasks whose hosts crash for another reason."""
        ids = self.submit_jobs(12)
        hosts = list(self.test_bed.backends.values())
        for round_number in range(6):
            self.run_for(200)
            for backend in (hosts[round_number], hosts[(round_number + 3) % 8]):
                if not backend.down_until_ms:
                    self.test_bed.lose(backend)
            self.run_for(1500)
        self.run_for(30_000)
        self.assert_done(ids)

    def test_a_host_that_crashes_whatever_it_starts_makes_no_task_guilty(self):
        """Guards against taking the fault of a host for that of the tasks on it.

        A task that is tested on the same host twice would be given up.
        """
        for count in (2, 3, 8):
            with self.subTest(count=count):
                self.test_bed = JobTestBed(*pool(count))
                self.test_bed.backends['b0'].crashes_always = True
                ids = self.submit_jobs(4)
                self.run_for(60_000)
                self.assert_done(ids)

    def test_a_suspect_beyond_the_limit_of_its_account_holds_no_host(self):
        """Guards against hosts that are kept empty for a task that may not start."""
        self.test_bed = JobTestBed(*pool(2))
        self.submit_jobs(1)
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        for backend in self.test_bed.backends.values():
            if backend.runs_by_name:
                self.test_bed.lose(backend)
        self.run_for(2 * TICK_MS)
        account = self.test_bed.scheduler.account('sofia')
        account.limit = Resources(cpu_millicores=1)
        self.run_for(LEASE_MS + 1000)
        reserved = [
            backend.backend_id
            for backend in self.test_bed.scheduler.backends_by_id.values()
            if backend.reserved_at_ms
        ]
        self.assertTrue(self.test_bed.scheduler.suspects_by_name)
        self.assertEqual(reserved, [])

    def test_a_long_running_bystander_of_many_crashes_is_not_suspected(self):
        """Guards against isolating what runs for long and so sees many crashes.

        Its runs lived for different times until the crashes.
        """
        self.test_bed.submit(step(1, long_running=True), job_id='service')
        spared = ('service.0.0.0',)
        for lived_ms in (3000, 500, 7000, 1200):
            self.run_for(lived_ms, spared)
            [host] = self.test_bed.running()['service.0.0.0']
            self.test_bed.lose(self.test_bed.backends[host])
            self.run_for(LEASE_MS + 100, spared)
        [task] = (
            self.test_bed.scheduler.jobs_by_id['service']
            .steps_by_occurrence[0][0]
            .tasks
        )
        self.assertEqual(len(task.crashed_runs), 4)
        self.assertFalse(task.suspected)

    def test_the_latest_start_before_a_crash_is_tested_last(self):
        """Guards against innocent suspects that wait until hosts are back.

        The guilty task is most likely the one that started last. Its test takes a host
        out of service, while the others need one only for a moment.
        """
        self.test_bed = JobTestBed(*pool(4))
        self.deadly('bad.0.0.0')
        self.submit_jobs(1)
        self.run_for(40)
        self.test_bed.submit(step(1), job_id='bad')
        self.run_for(LEASE_MS + 2000)
        isolated = [
            entry.fields['task']
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.TASK_ISOLATED
        ]
        first = isolated.index('bad.0.0.0')
        self.assertGreaterEqual(first, 6)

    def test_lost_contact_is_no_crash(self):
        """Guards against suspecting a task because its host did not answer for a while.

        The host ends its runs when their lease expires and reports these ends later.
        """
        self.submit_jobs(1)
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        [host] = self.test_bed.running()['job0.0.0.0']
        backend = self.test_bed.backends[host]
        state = self.test_bed.scheduler.backends_by_id[host]
        backend.unresponsive = True
        self.test_bed.scheduler.contact_lost(
            state,
            OrderOutcome.NO_ANSWER,
            self.test_bed.now_ms + LEASE_MS,
            self.test_bed.now_ms,
        )
        for name in list(backend.runs_by_name):
            backend.end(name, EndReason.LAPSED)
        spared = tuple(f'job0.0.0.{i}' for i in range(6))
        self.run_for(LEASE_MS + 200, spared)
        backend.unresponsive = False
        self.run_for(200, spared)
        for task in (
            self.test_bed.scheduler.jobs_by_id['job0'].steps_by_occurrence[0][0].tasks
        ):
            self.assertEqual(task.crashed_runs, [])
            self.assertFalse(task.suspected)

    def test_an_innocent_task_beside_a_deadly_one_is_soon_cleared(self):
        """Guards against innocent suspects that wait until the deadly one is found."""
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        innocent = self.submit_jobs(2)
        self.run_for(LEASE_MS + 3000)
        self.assert_done(innocent)


class HostListTest(CrashTestCase):
    def setUp(self):
        super().setUp()
        self.ids = self.submit_jobs(1)
        self.list_hosts()
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        [self.lost_id] = self.test_bed.running()['job0.0.0.0']
        self.test_bed.lose(self.test_bed.backends[self.lost_id])

    def list_hosts(self, sent_ms=None, **changed_by_backend_id):
        """Passes a list of hosts, with some changed rows, to the scheduler."""
        now_ms = self.test_bed.now_ms
        rows = {
            backend_id: {'state': 'up', 'backend_id': backend_id}
            for backend_id in self.test_bed.backends
        }
        rows.update(changed_by_backend_id)
        hosts = [
            Host(host_id=f'h-{name}', pool=SERVICE, **row) for name, row in rows.items()
        ]
        listed = HostsListed(
            hosts=hosts, sent_ms=now_ms if sent_ms is None else sent_ms
        )
        self.test_bed.scheduler.hosts_listed(listed)

    def waiting(self):
        """Returns how many tasks are not running or placed any more."""
        backend = self.test_bed.scheduler.backends_by_id.get(self.lost_id)
        return 6 - (len(backend.tasks_by_name) if backend else 0)

    def test_tasks_of_a_host_that_is_down_start_again_at_once(self):
        """Guards against waiting for the lease of a host that is known to be down.

        The list shows the host as down, or with a later lifetime.
        """
        row = {'state': 'down', 'backend_id': ''}
        for changed in (row, {'state': 'up', 'backend_id': 'other'}):
            with self.subTest(**changed):
                self.setUp()
                self.test_bed.now_ms += 20
                self.list_hosts(**{self.lost_id: changed})
                self.assertEqual(self.waiting(), 6)
                self.run_for(1500)
                self.assert_done(self.ids)

    def test_tasks_of_a_host_that_is_only_cut_off_stay(self):
        """Guards against running a task twice: a host that is cut off runs on."""
        self.test_bed.now_ms += 20
        self.list_hosts()
        moving = {'state': 'moving', 'backend_id': ''}
        self.list_hosts(**{self.lost_id: moving})
        self.assertEqual(self.waiting(), 0)

    def test_a_list_from_before_the_loss_shows_nothing(self):
        """Guards against a slow answer with a state from before the host was up."""
        row = {'state': 'down', 'backend_id': ''}
        self.list_hosts(self.test_bed.now_ms - 20, **{self.lost_id: row})
        self.assertEqual(self.waiting(), 0)


class NewLeaderTest(CrashTestCase):
    def test_a_new_leader_knows_of_earlier_crashes(self):
        """Guards against a change of leader after which the count begins anew."""
        seen = []

        def replace_leader():
            if len(self.test_bed.crashes) > len(seen):
                seen.append(1)
                self.run_quietly()
                self.test_bed.new_leader()

        innocent = self.submit_jobs(6)
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        self.run_for(60_000, each_tick=replace_leader)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assert_done(innocent)
        self.assertEqual([o for _, _, o in self.test_bed.crashes[1:] if o], [])
        self.assertLessEqual(len(self.test_bed.crashes), 3)

    def run_quietly(self):
        """Plays rounds until the leader has stored the end of the crashed host."""
        self.run_for(LEASE_MS + 100)

    def test_a_leader_that_is_lost_with_the_host(self):
        """Guards against a crash of which only the stored placement is left."""
        self.deadly('bad0.0.0.0')
        innocent = self.submit_jobs(6)
        self.submit_jobs(1, 'bad')
        self.test_bed.step(TICK_MS)
        self.test_bed.step(TICK_MS)
        self.assertEqual(len(self.test_bed.crashes), 1)
        self.test_bed.new_leader()
        self.run_for(60_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assertEqual([o for _, _, o in self.test_bed.crashes[1:] if o], [])
        self.assert_done(innocent)

    def test_a_record_of_an_earlier_version_is_restored(self):
        """Guards against a leader that fails on records without the new fields."""
        ids = self.submit_jobs(2)
        self.test_bed.step(TICK_MS)
        for record in self.test_bed.records.values():
            for stored in record.tasks_by_name.values():
                self.assertGreater(stored.placed_unix_ms, 0)
        self.test_bed.records = {
            job_id: type(record)(
                phase=record.phase,
                tasks_by_name={
                    name: type(stored)(
                        run=stored.run,
                        phase=stored.phase,
                        backend_id=stored.backend_id,
                        born_ms=stored.born_ms,
                    )
                    for name, stored in record.tasks_by_name.items()
                },
            )
            for job_id, record in self.test_bed.records.items()
        }
        self.test_bed.new_leader()
        self.run_for(5000)
        self.assert_done(ids)


class ExplanationTest(CrashTestCase):
    def test_caller_and_operator_are_told_the_reason(self):
        """Guards against a failed job for which nothing names the cause."""
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad')
        entries = []
        self.run_for(
            40_000,
            each_tick=lambda: entries.extend(
                self.test_bed.scheduler.take_log_entries()
            ),
        )
        events = {entry.event for entry in entries}
        self.assertLessEqual(
            {Event.BACKEND_LOST, Event.TASK_SUSPECTED, Event.TASK_ISOLATED}, events
        )
        [ended] = [e.fields for e in entries if e.event is Event.JOB_ENDED]
        self.assertIn('bad0.0.0.0', ended['reason'])
        self.assertIn('crashed', self.test_bed.records['bad0'].reason)


class RoomTest(CrashTestCase):
    def test_room_that_shrinks_and_grows_again(self):
        """Guards against starts on a host beyond the room that it reports (LIMIT).

        The host does not reject starts itself, and a task that is being stopped still
        occupies its room.
        """
        self.test_bed = JobTestBed(FakeBackend('b0'))
        backend = self.test_bed.backends['b0']
        spared = tuple(f'job{j}.0.0.{i}' for j in range(4) for i in range(6))
        self.submit_jobs(1)
        self.run_for(200, spared)
        self.assertEqual(len(backend.runs_by_name), 6)
        backend.room = Resources(cpu_millicores=8 * 1600, memory_mb=65536)
        self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)
        self.submit_jobs(3)
        self.run_for(200, spared)
        self.assertEqual(len(backend.runs_by_name), 8)
        backend.room = Resources(cpu_millicores=2 * 1600, memory_mb=65536)
        self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)
        before = len(backend.started)
        for name in list(backend.runs_by_name)[:6]:
            backend.end(name, EndReason.DONE)
        self.run_for(200, spared)
        self.assertEqual(len(backend.started), before)
        backend.room = Resources(cpu_millicores=4 * 1600, memory_mb=65536)
        self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)
        self.run_for(200, spared)
        self.assertEqual(len(backend.runs_by_name), 4)


class AdviceAndLabelTest(CrashTestCase):
    def test_a_suspect_runs_only_where_its_step_may_run(self):
        """Guards against isolation on a host without the label of the step."""
        self.test_bed = JobTestBed(
            FakeBackend('b0', labels=('gpu', 'r1-0')),
            FakeBackend('b1', labels=('gpu', 'r1-1')),
            FakeBackend('b2', labels=('std', 'r1-0')),
            queue=Queue(
                name='desk',
                host='h',
                path_prefix='/q/',
                service=SERVICE,
                max_attempts=3,
            ),
        )
        self.deadly('bad0.0.0.0')
        self.submit_jobs(1, 'bad', required_label='gpu')
        self.run_for(40_000)
        self.assert_given_up('bad0', 'bad0.0.0.0')
        self.assertFalse(
            [s for s in self.test_bed.backends['b2'].started if 'bad' in s[0]]
        )


if __name__ == '__main__':
    unittest.main()
