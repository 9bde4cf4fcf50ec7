"""Records that name two lifetimes of one backend server, and a new leader.

The leader writes the records of requeued tasks in several batches. If it ends between
them, some records name the former lifetime and some the later one.
"""

import unittest

from msgspec.structs import replace

from dandelionknot.events import Event
from dandelionknot.jobs._generated import Resources, StepSpec
from tests.job_test_bed import FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
TICK_MS = 50
# Longest standstill of a job with room, from the platform's rules.
MAX_STANDSTILL_MS = 3000
TASKS_PER_JOB = 4


class TwoLifetimesTest(unittest.TestCase):
    def crash_between_two_batches(self, reverse: bool, late_job: bool = False):
        """Ends a leader after it has stored the first of two jobs as restarted.

        With `late_job`, the second job has begun right before the crash.
        """
        self.backend = FakeBackend('b1', born_ms=5000)
        self.test_bed = JobTestBed(self.backend)
        self.test_bed.step()
        step = StepSpec(task_count=TASKS_PER_JOB, resources=SMALL, long_running=True)
        self.test_bed.submit(step, job_id='j1')
        self.run_for(2000)
        self.test_bed.submit(step, job_id='j2')
        self.run_for(TICK_MS if late_job else 2000)
        self.assertEqual(len(self.backend.runs_by_name), 2 * TASKS_PER_JOB)
        self.test_bed.lose(self.backend)
        self.test_bed.records_per_batch = 1
        while self.backend.down_until_ms:
            self.test_bed.step(TICK_MS)
        # The former leader tests the tasks of a late job alone, before others start.
        self.assertEqual(len(self.runs()), 0 if late_job else TASKS_PER_JOB)
        self.test_bed.records_per_batch = 1000
        if reverse:
            self.test_bed.jobs = dict(reversed(self.test_bed.jobs.items()))
        self.runs_before = self.runs()
        self.test_bed.new_leader()

    def runs(self):
        return {name: run.run for name, run in self.backend.runs_by_name.items()}

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            self.test_bed.step(TICK_MS)

    def test_new_leader_keeps_the_runs_of_the_later_lifetime(self):
        """Guards against running tasks that are stopped as orphans."""
        for reverse in (False, True):
            with self.subTest(reverse=reverse):
                self.crash_between_two_batches(reverse)
                self.run_for(MAX_STANDSTILL_MS)
                runs = self.runs()
                for name, run in self.runs_before.items():
                    self.assertEqual(runs.get(name), run)

    def test_new_leader_restarts_the_tasks_of_the_former_lifetime(self):
        """Guards against tasks that wait for a lease that no lifetime holds."""
        for reverse in (False, True):
            with self.subTest(reverse=reverse):
                self.crash_between_two_batches(reverse)
                self.run_for(MAX_STANDSTILL_MS)
                self.assertEqual(len(self.runs()), 2 * TASKS_PER_JOB)

    def test_new_leader_suspects_no_task_that_had_run_for_long(self):
        """Guards against tasks that run alone for a crash they did not cause."""
        for reverse in (False, True):
            with self.subTest(reverse=reverse):
                self.crash_between_two_batches(reverse)
                self.run_for(MAX_STANDSTILL_MS)
                events = [e.event for e in self.test_bed.scheduler.take_log_entries()]
                self.assertIn(Event.TASK_REQUEUED, events)
                self.assertNotIn(Event.TASK_SUSPECTED, events)

    def test_records_of_an_earlier_version_name_no_sign_of_life(self):
        """Guards against jobs that cannot be restored after an update."""
        self.crash_between_two_batches(reverse=False)
        self.test_bed.records = {
            job_id: replace(
                record,
                tasks_by_name={
                    suffix: replace(task, crash_signs_unix_ms=[])
                    for suffix, task in record.tasks_by_name.items()
                },
            )
            for job_id, record in self.test_bed.records.items()
        }
        scheduler = self.test_bed.new_leader()
        self.assertEqual(scheduler.restored_signs_ms, {})
        self.run_for(MAX_STANDSTILL_MS)
        self.assertEqual(len(self.runs()), 2 * TASKS_PER_JOB)

    def test_new_leader_suspects_a_task_that_began_right_before_the_crash(self):
        """Guards against a crashing task that starts beside others again."""
        for reverse in (False, True):
            with self.subTest(reverse=reverse):
                self.crash_between_two_batches(reverse, late_job=True)
                self.run_for(MAX_STANDSTILL_MS)
                suspected = [
                    entry.fields['job_id']
                    for entry in self.test_bed.scheduler.take_log_entries()
                    if entry.event is Event.TASK_SUSPECTED
                ]
                self.assertEqual(set(suspected), {'j2'})


if __name__ == '__main__':
    unittest.main()
