"""Starts without an answer that a later lifetime of a backend server carries out."""

import unittest

from msgspec.structs import replace

from dandelionknot.jobs._generated import (
    ClientAccount,
    EndReason,
    Host,
    HostsListed,
    OrderOutcome,
    RepeatStart,
    Resources,
    StartTask,
    StepSpec,
)
from dandelionknot.jobs._late_starts import LATE_CALL_MS
from dandelionknot.jobs._leases import max_later_lease_ms
from tests.job_test_bed import HOLD_MAX_MS, LEASE_MS, FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
TASK = 'j1.0.0.0'
TICK_MS = 50
# Time of a few calls and planning rounds.
SOON_MS = 500
# Time for which a task may wait for a silent backend server.
LONGEST_WAIT_MS = max_later_lease_ms(HOLD_MAX_MS)


class LateStartTest(unittest.TestCase):
    """A start to server b1 is carried out late; b2 has room too."""

    def setUp(self):
        self.backend = FakeBackend('b1', born_ms=5000, host_id='h1')
        self.other = FakeBackend('b2', host_id='h2')
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        self.token = self.test_bed.token

    def submit_again(self, accepted):
        """Submits another job like that of `submit`, whose task runs on b1 too."""
        self.other.draining = True
        self.register(self.other)
        self.submit(accepted, job_id='j2')

    def submit(self, accepted, tasks=1, rack='', job_id='j1'):
        """Submits a task whose first try on b1 has no answer.

        The second try is accepted, or has no answer either and is not carried out.
        """
        execute = self.test_bed.execute

        def leave_open(command):
            if not isinstance(command, StartTask):
                return
            order = command.order
            if accepted:
                self.backend.start(order.task_name, order.run)
            self.test_bed.scheduler.start_finished(
                self.state,
                order.task_name,
                order.run,
                OrderOutcome.ACCEPTED if accepted else OrderOutcome.NO_ANSWER,
                self.test_bed.now_ms,
                self.backend.clock_ms + LEASE_MS,
                unanswered_ms=self.test_bed.now_ms,
            )

        self.test_bed.execute = leave_open
        step = StepSpec(task_count=tasks, resources=SMALL, preferred_rack=rack)
        self.test_bed.submit(step, job_id=job_id)
        self.test_bed.step(TICK_MS)
        self.test_bed.execute = execute
        self.test_bed.backends['b2'] = self.other
        self.register(self.other)

    @property
    def state(self):
        return self.test_bed.scheduler.backends_by_id['b1']

    @property
    def task(self):
        steps = self.test_bed.scheduler.jobs_by_id['j1'].steps_by_occurrence[0]
        return steps[0].tasks[0]

    def register(self, backend):
        self.test_bed.scheduler.set_backend(backend.report(), self.test_bed.now_ms)

    def run_for(self, duration_ms):
        """Advances time; the task must not run twice meanwhile."""
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)
            self.assert_runs_at_most_once()

    def run_for_listed(self, duration_ms):
        """Advances time while the platform lists its hosts."""
        for _ in range(0, duration_ms, SOON_MS):
            self.run_for(SOON_MS)
            self.test_bed.list_hosts()

    def assert_runs_at_most_once(self):
        places = self.test_bed.running().get(TASK, [])
        self.assertLessEqual(len(places), 1, places)
        for backend in (self.backend, self.other):
            self.assertEqual(backend.overlaps, [])

    def crash(self):
        self.test_bed.lose(self.backend)
        # The host is listed as down.
        self.test_bed.now_ms += 1
        self.test_bed.list_hosts()

    def start_late(self):
        self.backend.start_late(TASK, 1, self.token)
        self.assert_runs_at_most_once()

    def test_a_later_lifetime_carries_out_a_start_that_had_no_answer(self):
        """Guards against a second run on another server while the first one is open."""
        for accepted in (True, False):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.submit(accepted)
                self.crash()
                self.run_for(SOON_MS)
                self.backend.restart()
                self.start_late()
                self.run_for(SOON_MS)
                self.register(self.backend)
                self.run_for(SOON_MS)
                self.assertEqual(self.test_bed.running(), {TASK: ['b1']})

    def test_a_later_lifetime_that_has_answered_rejects_the_start(self):
        """Guards against a late start after the task was placed again."""
        for accepted in (True, False):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.submit(accepted)
                self.crash()
                for _ in range(LONGEST_WAIT_MS // SOON_MS):
                    self.run_for(SOON_MS)
                    if self.test_bed.running():
                        self.start_late()
                self.assertEqual(len(self.test_bed.running()), 1)

    def test_a_task_waits_for_a_silent_server_no_longer_than_its_lease(self):
        """Guards against tasks that wait for a server which is lost for good."""
        for accepted in (True, False):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.submit(accepted)
                self.crash()
                self.backend.down_until_ms = 10**12
                self.run_for(LONGEST_WAIT_MS - SOON_MS)
                self.assertEqual(self.other.started, [])
                self.run_for(2 * SOON_MS)
                self.assertEqual(len(self.other.started), 1)

    def test_a_task_waits_while_a_server_is_cut_off(self):
        """Guards against a second run while a start reaches a server that is cut off.

        The server is back unseen; its host is listed as up.
        """
        for accepted in (True, False):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.submit(accepted)
                self.crash()
                self.backend.restart()
                self.backend.cut_off = True
                self.run_for_listed(LONGEST_WAIT_MS + SOON_MS)
                self.start_late()
                self.run_for_listed(SOON_MS)
                self.backend.cut_off = False
                self.register(self.backend)
                self.run_for_listed(SOON_MS)
                self.assertEqual(self.test_bed.running(), {TASK: ['b1']})

    def test_the_wait_for_a_server_that_is_cut_off_ends(self):
        """Guards against a task that waits for a server that stays cut off."""
        self.submit(accepted=False)
        self.crash()
        self.backend.restart()
        self.backend.cut_off = True
        self.run_for_listed(LATE_CALL_MS + LONGEST_WAIT_MS + SOON_MS)
        self.assertEqual(len(self.other.started), 1)

    def test_the_wait_outlasts_the_entry_of_a_lost_server(self):
        """Guards against a task that is placed when the entry of its server goes."""
        self.submit(accepted=False)
        self.state.full_until_ms = 10**12
        self.run_for(SOON_MS)
        self.test_bed.lose(self.backend)
        self.backend.down_until_ms = 10**12
        self.run_for(SOON_MS)
        self.test_bed.scheduler.remove_backend('b1')
        self.run_for(LONGEST_WAIT_MS - 2 * SOON_MS)
        self.assertEqual(self.other.started, [])
        self.run_for(SOON_MS)
        self.assertEqual(len(self.other.started), 1)

    def test_a_list_from_before_the_loss_ends_no_wait(self):
        """Guards against the former server of a host that an old list shows."""
        self.submit(accepted=False)
        rows = [Host(host_id='h1', pool='p', state='up', backend_id='b0')]
        listed = HostsListed(hosts=rows, sent_ms=self.test_bed.now_ms - LEASE_MS)
        self.test_bed.scheduler.hosts_listed(listed)
        self.state.full_until_ms = 10**12
        self.run_for(SOON_MS)
        self.test_bed.lose(self.backend)
        self.backend.restart()
        self.backend.cut_off = True
        self.run_for(LONGEST_WAIT_MS - SOON_MS)
        self.assertEqual(self.other.started, [])

    def test_a_server_whose_later_lifetime_is_registered_is_not_reached(self):
        """Guards against a start elsewhere before the later lifetime has answered."""
        self.submit(accepted=False)
        self.state.full_until_ms = 10**12
        self.run_for(SOON_MS)
        self.task.late_starts_by_backend_id['b1'].has_failed = True
        self.state.full_until_ms = 0
        self.backend.restart()
        self.backend.cut_off = True
        self.start_late()
        self.register(self.backend)
        self.run_for(SOON_MS)

    def test_a_host_in_maintenance_ends_the_long_wait(self):
        """Guards against a wait for a server that cannot be up."""
        self.submit(accepted=True)
        self.test_bed.lose(self.backend)
        self.backend.down_until_ms = 10**12
        rows = [Host(host_id='h1', pool='p', state='upkeep')]
        self.test_bed.now_ms += 1
        listed = HostsListed(hosts=rows, sent_ms=self.test_bed.now_ms)
        self.test_bed.scheduler.hosts_listed(listed)
        self.run_for(LONGEST_WAIT_MS + SOON_MS)
        self.assertEqual(len(self.other.started), 1)

    def test_a_start_is_open_once(self):
        """Guards against a wait that begins anew when the task is requeued."""
        self.submit(accepted=False)
        self.test_bed.scheduler.contact_lost(
            self.state, OrderOutcome.NO_ANSWER, self.test_bed.now_ms + LEASE_MS
        )
        self.backend.cut_off = True
        self.run_for(LATE_CALL_MS + LONGEST_WAIT_MS + SOON_MS)
        self.assertEqual(len(self.other.started), 1)

    def test_an_end_before_the_outcome_of_its_start_is_not_acknowledged(self):
        """Guards against a late start of a run that was shorter than its tries."""
        self.test_bed.execute = lambda command: None
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        self.test_bed.step(TICK_MS)
        self.backend.start(TASK, 1)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')
        self.assertEqual(len(self.backend.ends), 1)

    def test_a_done_task_does_not_count_towards_the_limit(self):
        """Guards against an account that waits for runs which have ended."""
        limit = Resources(cpu_millicores=SMALL.cpu_millicores)
        self.test_bed.accounts = [ClientAccount(name='sofia', keys=['k'], limit=limit)]
        self.test_bed.configure()
        self.submit(accepted=True)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(SOON_MS)
        self.crash()
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='j2')
        self.run_for(SOON_MS)
        self.assertEqual(len(self.other.started), 1)

    def test_a_new_leader_waits_for_the_server_of_an_open_start(self):
        """Guards against a leader that does not know which starts are open.

        Its predecessor has recorded that the task waits, or that it was placed.
        """
        for recorded in ('waiting', 'placed'):
            with self.subTest(recorded=recorded):
                self.setUp()
                self.submit(accepted=False)
                self.crash()
                if recorded == 'waiting':
                    self.run_for(SOON_MS)
                self.test_bed.new_leader()
                self.run_for(SOON_MS)
                self.assertEqual(self.other.started, [])
                self.backend.restart()
                self.start_late()
                self.register(self.backend)
                self.run_for(2 * SOON_MS)
                self.assertEqual(self.test_bed.running(), {TASK: ['b1']})

    def test_a_second_restart_finds_the_task_on_no_other_server(self):
        """Guards against a late start in the lifetime after the one that answered."""
        for accepted in (True, False):
            with self.subTest(accepted=accepted):
                self.setUp()
                self.submit(accepted)
                for _ in range(2):
                    self.crash()
                    self.backend.restart()
                    self.register(self.backend)
                    self.run_for(LONGEST_WAIT_MS // 2)
                self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
                self.crash()
                self.backend.restart()
                self.start_late()
                self.run_for(SOON_MS)

    def test_a_run_that_begins_anew_is_not_slow(self):
        """Guards against a run that is stopped for its time in a former lifetime.

        Its task would leave the server while its start is open.
        """
        self.submit(accepted=True)
        self.task.step.durations_ms = [SOON_MS, SOON_MS]
        self.run_for(SOON_MS)
        self.test_bed.lose(self.backend)
        self.run_for(2 * SOON_MS)
        self.backend.restart()
        self.start_late()
        self.register(self.backend)
        self.run_for(SOON_MS)
        self.assertEqual(self.state.avoid_until_ms, 0)
        self.assertEqual(self.backend.started, [(TASK, 1), (TASK, 1)])
        self.assertEqual(self.test_bed.running(), {TASK: ['b1']})

    def test_a_task_that_failed_elsewhere_stays_with_the_server(self):
        """Guards against a second run by an open start of a task with a failed run."""
        self.submit(accepted=False)
        self.task.failed_runs = [0]
        self.crash()
        self.backend.restart()
        self.register(self.backend)
        self.run_for(LONGEST_WAIT_MS // 2)
        self.assertEqual(self.test_bed.running(), {TASK: ['b1']})

    def test_a_task_leaves_a_server_where_it_has_failed(self):
        """Guards against attempts that are all made on one bad server."""
        self.submit(accepted=True)
        self.backend.end(TASK, EndReason.FAILED)
        self.state.full_until_ms = self.test_bed.now_ms + LONGEST_WAIT_MS
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running()[TASK], ['b2'])

    def test_a_task_that_fails_once_stays_with_a_sound_server(self):
        """Guards against a task that is done elsewhere while its start is open.

        The end on the other server stands when the first one restarts and carries the
        start out. A second failure may be the fault of the server.
        """
        self.submit(accepted=True, tasks=2)
        self.backend.end('j1.0.0.1', EndReason.DONE)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.FAILED)
        self.state.full_until_ms = self.test_bed.now_ms + SOON_MS // 2
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
        self.backend.end(TASK, EndReason.FAILED)
        self.state.full_until_ms = self.test_bed.now_ms + LONGEST_WAIT_MS
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b2']})

    def test_a_task_leaves_a_server_that_is_avoided(self):
        """Guards against a job that stands still while a bad server gets no starts."""
        self.submit(accepted=True)
        self.backend.end(TASK, EndReason.STOPPED)
        self.state.avoid_until_ms = self.test_bed.now_ms + LONGEST_WAIT_MS
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b2']})

    def test_a_task_leaves_a_server_that_crashes_under_it_alone(self):
        """Guards against a sound task that is given up because of one bad server."""
        self.submit(accepted=False)
        self.crash()
        self.backend.crashes_always = True
        execute = self.test_bed.execute

        def lose_answers(command):
            execute(command)
            state = self.test_bed.scheduler.backends_by_id.get('b1')
            if isinstance(command, StartTask) and command.backend_id == 'b1':
                self.test_bed.scheduler.start_finished(
                    state,
                    command.order.task_name,
                    command.order.run,
                    OrderOutcome.NO_ANSWER,
                    self.test_bed.now_ms,
                    unanswered_ms=self.test_bed.now_ms,
                )

        self.test_bed.execute = lose_answers
        for _ in range(60):
            self.run_for(SOON_MS)
            self.test_bed.list_hosts()
            if self.other.started:
                break
        self.assertEqual(self.test_bed.running(), {TASK: ['b2']})

    def test_the_best_server_is_found_for_the_next_task(self):
        """Guards against tasks that follow another one to the server of its start."""
        self.other.labels = ('std', 'r2-1')
        self.submit(accepted=False, tasks=2, rack='r2-1')
        for task in self.task.step.tasks:
            self.test_bed.scheduler.requeue(task, 'test')
        self.task.step.tasks[1].late_starts_by_backend_id.clear()
        self.test_bed.step(TICK_MS)
        places = self.test_bed.running()
        self.assertEqual(places, {TASK: ['b1'], 'j1.0.0.1': ['b2']})

    def test_a_task_leaves_a_server_that_is_to_go_away(self):
        """Guards against a task that waits for room on a server without starts."""
        self.submit(accepted=False)
        self.backend.draining = True
        self.register(self.backend)
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b2']})

    def test_a_run_that_may_be_under_way_counts_towards_the_limit(self):
        """Guards against an account that exceeds its limit by a run begun unseen."""
        limit = Resources(cpu_millicores=SMALL.cpu_millicores)
        self.test_bed.accounts = [ClientAccount(name='sofia', keys=['k'], limit=limit)]
        self.test_bed.configure()
        self.submit(accepted=False)
        self.crash()
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='j2')
        self.run_for(SOON_MS)
        self.start_late()
        self.assertEqual(self.other.started, [])

    def test_the_end_of_an_open_start_is_not_acknowledged_at_once(self):
        """Guards against a late start of a run whose end as done was acknowledged.

        An end that is lost with its server was not acknowledged, so the late start is
        no second one.
        """
        self.submit(accepted=True)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')
        self.run_for(LATE_CALL_MS - 3 * SOON_MS)
        self.assertEqual(len(self.backend.ends), 1)
        self.run_for(2 * SOON_MS)
        self.assertEqual(self.backend.ends, [])

    def test_no_end_is_acknowledged_beside_an_open_start(self):
        """Guards against a late acknowledgement that hides a run of a late start.

        The ends are those of other tasks. The next leader knows of the start too.
        """
        for changes_leader in (False, True):
            with self.subTest(changes_leader=changes_leader):
                self.setUp()
                self.submit(accepted=True)
                self.test_bed.submit(
                    StepSpec(task_count=1, resources=SMALL, preferred_rack='r1-1'),
                    job_id='j2',
                )
                self.other.draining = True
                self.register(self.other)
                self.run_for(SOON_MS)
                self.backend.end('j2.0.0.0', EndReason.DONE)
                self.run_for(SOON_MS)
                if changes_leader:
                    self.test_bed.new_leader()
                self.run_for(LATE_CALL_MS - 4 * SOON_MS)
                self.assertEqual(self.test_bed.phase('j2'), 'done')
                self.assertIn('j2.0.0.0', [e.task_name for e in self.backend.ends])
                self.run_for(LATE_CALL_MS // 2)
                self.assertEqual(self.backend.ends, [])

    def test_an_end_waits_also_if_most_ends_of_the_term_do(self):
        """Guards against a late start of a run whose end was acknowledged after 3 s.

        With few ends in a term, one that waits is a large share of them.
        """
        self.submit(accepted=True)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(LATE_CALL_MS // 2)
        self.submit_again(accepted=True)
        self.run_for(SOON_MS)
        self.backend.end('j2.0.0.0', EndReason.DONE)
        self.run_for(LATE_CALL_MS - 3 * SOON_MS)
        self.assertIn('j2.0.0.0', [end.task_name for end in self.backend.ends])
        self.run_for(2 * SOON_MS)
        self.assertEqual(self.backend.ends, [])

    def test_the_last_failure_of_a_task_with_an_open_start_waits(self):
        """Guards against a late start after all attempts of a task are used up."""
        self.test_bed.queue = replace(self.test_bed.queue, max_attempts=1)
        self.test_bed.configure()
        self.submit(accepted=True)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.FAILED)
        self.run_for(LATE_CALL_MS - 2 * SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'failed')
        self.assertEqual(len(self.backend.ends), 1)

    def test_a_start_of_a_cancelled_job_is_open_too(self):
        """Guards against a late start of a task whose job was cancelled meanwhile."""
        self.test_bed.execute = lambda command: None
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        self.test_bed.step(TICK_MS)
        self.test_bed.scheduler.cancel_job('j1', self.test_bed.now_ms)
        scheduler = self.test_bed.scheduler
        scheduler.start_unanswered(self.state, TASK, 1, self.test_bed.now_ms)
        self.backend.start(TASK, 1)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(LATE_CALL_MS - 2 * SOON_MS)
        self.assertEqual(len(self.backend.ends), 1)
        self.run_for(3 * SOON_MS)
        self.assertEqual(self.backend.ends, [])

    def test_a_start_that_was_repeated_is_open_for_the_next_leader(self):
        """Guards against a leader that dies before the outcome of a start is stored."""
        self.test_bed.execute = lambda command: None
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        self.test_bed.step(TICK_MS)
        scheduler = self.test_bed.scheduler
        scheduler.start_unanswered(self.state, TASK, 1, self.test_bed.now_ms)
        commands = self.test_bed.step(TICK_MS)
        self.assertEqual([type(command) for command in commands], [RepeatStart])
        self.backend.start(TASK, 1)
        self.test_bed.new_leader()
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(LATE_CALL_MS - 4 * SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')
        self.assertEqual(len(self.backend.ends), 1)

    def test_a_run_that_the_next_leader_finds_has_no_open_start(self):
        """Guards against ends that wait after each change of the leader."""
        for ends in (False, True):
            with self.subTest(ends=ends):
                self.setUp()
                self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
                self.test_bed.step(TICK_MS)
                self.test_bed.step(TICK_MS)
                if ends:
                    self.backend.end(TASK, EndReason.DONE)
                self.test_bed.new_leader()
                self.run_for(SOON_MS)
                if not ends:
                    self.backend.end(TASK, EndReason.DONE)
                    self.run_for(SOON_MS)
                self.assertEqual(self.backend.ends, [])
                self.assertEqual(self.task.late_starts_by_backend_id, {})

    def test_a_new_leader_counts_from_the_latest_placement(self):
        """Guards against a leader that knows only an earlier open start of a task."""
        self.submit(accepted=False)
        self.run_for(LATE_CALL_MS // 3)
        self.backend.end(TASK, EndReason.STOPPED)
        self.run_for(SOON_MS)
        placed_unix_ms = self.task.placed_unix_ms
        self.assertEqual(self.task.backend.backend_id, 'b1')
        self.test_bed.new_leader()
        [start] = self.task.late_starts_by_backend_id.values()
        self.assertGreater(start.until_ms, placed_unix_ms + LATE_CALL_MS)
        self.assertEqual(start.host_id, 'h1')

    def test_a_start_that_a_new_leader_does_not_find_is_open(self):
        """Guards against a late start of a former leader after the task is done."""
        self.test_bed.execute = lambda command: None
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        self.test_bed.step(TICK_MS)
        del self.test_bed.execute
        self.test_bed.new_leader()
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')
        self.assertEqual(len(self.backend.ends), 1)

    def test_a_new_leader_does_not_acknowledge_the_end_at_once(self):
        """Guards against a leader that acknowledges what its predecessor has not."""
        self.submit(accepted=True)
        self.run_for(SOON_MS)
        self.backend.end(TASK, EndReason.DONE)
        self.run_for(SOON_MS)
        self.test_bed.new_leader()
        self.run_for(SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')
        self.assertEqual(len(self.backend.ends), 1)
        self.run_for(LATE_CALL_MS)
        self.assertEqual(self.backend.ends, [])


class StrayRunTest(unittest.TestCase):
    """Server b1 lists a run of a task that waits."""

    def list_run(self, run, latest_run):
        self.backend = FakeBackend('b1')
        self.other = FakeBackend('b2')
        self.test_bed = JobTestBed(self.backend, self.other)
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL))
        steps = self.test_bed.scheduler.jobs_by_id['j1'].steps_by_occurrence[0]
        self.task = steps[0].tasks[0]
        self.task.run = latest_run
        self.backend.start(TASK, run)
        for backend in (self.backend, self.other):
            self.test_bed.hold(backend)

    def test_the_latest_run_of_a_waiting_task_goes_on(self):
        """Guards against a start elsewhere while the run is being stopped."""
        self.list_run(run=2, latest_run=2)
        for _ in range(10):
            self.test_bed.step(TICK_MS)
        self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
        self.assertEqual(self.task.backend.backend_id, 'b1')
        self.assertFalse(self.task.pace_known)
        self.assertEqual(self.other.started + self.backend.started, [(TASK, 2)])

    def test_a_task_waits_until_its_earlier_run_has_ended(self):
        """Guards against a start while an earlier run is being stopped."""
        self.list_run(run=1, latest_run=2)
        self.backend.ignores_orders = True
        for _ in range(10):
            self.test_bed.step(TICK_MS)
            self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
            self.assertEqual(self.backend.overlaps, [])
        self.backend.ignores_orders = False
        for _ in range(10):
            self.test_bed.step(TICK_MS)
        started = self.backend.started + self.other.started
        self.assertEqual(sorted(run for _, run in started), [1, 3])

    def test_a_run_that_is_being_stopped_counts_towards_the_limit(self):
        """Guards against an account that exceeds its limit by runs begun late."""
        self.list_run(run=1, latest_run=2)
        self.backend.ignores_orders = True
        limit = Resources(cpu_millicores=SMALL.cpu_millicores)
        self.test_bed.accounts = [ClientAccount(name='sofia', keys=['k'], limit=limit)]
        self.test_bed.configure()
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='j2')
        for _ in range(10):
            self.test_bed.step(TICK_MS)
            self.assertEqual(self.test_bed.running(), {TASK: ['b1']})
        self.backend.ignores_orders = False
        for _ in range(10):
            self.test_bed.step(TICK_MS)
        self.assertEqual(len(self.test_bed.running()), 1)

    def test_a_task_waits_for_a_run_on_a_server_that_is_lost(self):
        """Guards against a start before the lease of a listed run has expired."""
        self.list_run(run=1, latest_run=2)
        self.backend.ignores_orders = True
        self.test_bed.step(TICK_MS)
        self.test_bed.lose(self.backend)
        self.backend.down_until_ms = 10**12
        self.test_bed.scheduler.remove_backend('b1')
        for _ in range(0, LEASE_MS - 2 * TICK_MS, TICK_MS):
            self.test_bed.step(TICK_MS)
        self.assertEqual(self.other.started, [])
        self.test_bed.step(4 * TICK_MS)
        self.assertEqual(self.other.started, [(TASK, 3)])

    def test_a_malformed_report_ends_no_run(self):
        """Guards against a start beside a run whose row was left out."""
        self.list_run(run=1, latest_run=2)
        self.backend.ignores_orders = True
        report = replace(self.backend.hold_report(), running=[], complete=False)
        state = self.test_bed.scheduler.backends_by_id['b1']
        now_ms = self.test_bed.now_ms
        self.test_bed.scheduler.hold_answered(state, report, now_ms, now_ms, now_ms)
        self.assertIn('b1', self.task.stray_backends_by_id)


if __name__ == '__main__':
    unittest.main()
