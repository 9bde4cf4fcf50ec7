"""Records of jobs with many tasks, with long checkpoints or with many occurrences.

The load is a job of thousands of light tasks on one backend server.
"""

import unittest

import msgspec

from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    EndReason,
    JobPart,
    JobPhase,
    Resources,
    StepSpec,
)
from dandelionknot.jobs._records import (
    PART_TASKS,
    merged,
    part_numbers,
    part_of,
    record_of,
)
from dandelionknot.jobs._state import TaskPhase, tasks_of
from dandelionknot.manager._commit import MAX_RECORDS
from tests.job_test_bed import RESTART_MS, FakeBackend, JobTestBed

# Largest value that the platform's store takes.
VALUE_BYTES = 1_048_576
LIGHT = Resources(cpu_millicores=8, memory_mb=17)
SMALL = Resources(cpu_millicores=500, memory_mb=100)
TASKS = 3800
SOON_MS = 50
LONG_CHECKPOINT = 'x' * 200_000


class MeasuringTestBed(JobTestBed):
    """Stores batches of the size that the store takes, and measures them."""

    def __init__(self, *backends):
        super().__init__(*backends)
        self.records_per_batch = MAX_RECORDS
        self.largest_bytes = 0
        self.batches = []

    def store(self, batch):
        self.batches.append(batch)
        items = list(batch.records_by_job_id.values())
        for parts in batch.parts_by_job_id.values():
            items += parts.values()
        sizes = [len(msgspec.json.encode(item)) for item in items]
        self.largest_bytes = max([self.largest_bytes, *sizes])
        super().store(batch)

    def run_for(self, duration_ms):
        for _ in range(0, duration_ms, SOON_MS):
            self.step(SOON_MS)


class LargeJobTest(unittest.TestCase):
    def setUp(self):
        self.backend = FakeBackend('b1', host_id='h1', labels=('rare', 'r1-1'))
        self.other = FakeBackend('b2', host_id='h2')
        self.test_bed = MeasuringTestBed(self.backend, self.other)
        self.test_bed.step()

    def submit_large(self, tasks=TASKS, **spec):
        step = StepSpec(task_count=tasks, resources=LIGHT, required_label='rare')
        self.test_bed.submit(step, **spec)

    def run_large(self, tasks=TASKS):
        self.submit_large(tasks)
        self.test_bed.run_for(20 * SOON_MS)
        self.assertEqual(len(self.backend.runs_by_name), tasks)

    def test_a_crash_under_many_tasks_stops_no_other_job(self):
        """Guards against a record that outgrows the store, and then all other jobs."""
        self.run_large()
        for _ in range(3):
            self.test_bed.lose(self.backend)
            self.test_bed.run_for(RESTART_MS + 30 * SOON_MS)
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='j2')
        self.test_bed.run_for(2 * SOON_MS)
        self.assertIn(('j2.0.0.0', 1), self.other.started + self.backend.started)
        self.assertLess(self.test_bed.largest_bytes, VALUE_BYTES)

    def test_a_small_job_is_stored_beside_a_large_one(self):
        """Guards against jobs that wait while the parts of a large one are stored."""
        self.submit_large()
        self.test_bed.submit(StepSpec(task_count=1, resources=SMALL), job_id='j2')
        self.test_bed.step(SOON_MS)
        self.assertIn('j2', self.test_bed.batches[-1].records_by_job_id)
        self.assertIn(('j2.0.0.0', 1), self.other.started + self.backend.started)

    def test_a_run_is_started_after_its_part_is_stored(self):
        """Guards against a run that the next leader does not know of."""
        self.submit_large()
        for _ in range(30):
            self.test_bed.step(SOON_MS)
            stored = merged(
                self.test_bed.records.get('j1'), self.test_bed.parts['j1'].values()
            )
            started = {name.split('.', 1)[1] for name, _ in self.backend.started}
            self.assertLessEqual(started, set(stored.tasks_by_name))
        self.assertEqual(len(self.backend.started), TASKS)

    def test_one_task_that_ends_writes_one_part(self):
        """Guards against megabytes that are written for one task of thousands."""
        self.run_large()
        self.backend.end('j1.0.0.7', EndReason.DONE)
        self.test_bed.batches.clear()
        self.test_bed.run_for(2 * SOON_MS)
        written = [
            number
            for batch in self.test_bed.batches
            for number in batch.parts_by_job_id.get('j1', {})
        ]
        self.assertEqual(written, [0])

    def test_a_new_leader_knows_the_tasks_of_a_large_job(self):
        """Guards against tasks that are started again after a change of the leader."""
        self.run_large(TASKS // 10)
        done = [f'j1.0.0.{index}' for index in range(0, TASKS // 10, 3)]
        for name in done:
            self.backend.end(name, EndReason.DONE)
        self.test_bed.run_for(2 * SOON_MS)
        started = len(self.backend.started)
        self.test_bed.new_leader()
        self.test_bed.run_for(4 * SOON_MS)
        self.assertEqual(len(self.backend.started), started)
        for name in list(self.backend.runs_by_name):
            self.backend.end(name, EndReason.DONE)
        self.test_bed.run_for(4 * SOON_MS)
        self.assertEqual(self.test_bed.phase(), 'done')

    def test_a_record_of_an_earlier_version_is_moved_to_parts(self):
        """Guards against tasks that are lost when the version changes."""
        self.run_large(2 * PART_TASKS)
        self.backend.end('j1.0.0.0', EndReason.DONE)
        self.test_bed.run_for(SOON_MS)
        self.test_bed.records['j1'] = merged(
            self.test_bed.records['j1'], self.test_bed.parts.pop('j1').values()
        )
        self.test_bed.new_leader()
        self.backend.end('j1.0.0.1', EndReason.DONE)
        self.test_bed.run_for(SOON_MS)
        self.assertEqual(self.test_bed.records['j1'].tasks_by_name, {})
        self.assertEqual(len(self.test_bed.parts['j1']), 2)
        self.test_bed.new_leader()
        step = self.test_bed.scheduler.jobs_by_id['j1'].steps_by_occurrence[0][0]
        self.assertEqual(step.done, 2)

    def test_the_parts_of_an_ended_job_are_deleted(self):
        """Guards against items that fill the store, also if the leader changes."""
        for changes_leader in (False, True):
            with self.subTest(changes_leader=changes_leader):
                self.setUp()
                self.run_large(30 * PART_TASKS)
                scheduler = self.test_bed.scheduler
                scheduler.cancel_job('j1', self.test_bed.now_ms)
                self.test_bed.step(SOON_MS)
                if changes_leader:
                    self.test_bed.new_leader()
                self.test_bed.run_for(3 * SOON_MS)
                self.assertEqual(self.test_bed.parts['j1'], {})
                self.assertIs(self.test_bed.records['j1'].phase, JobPhase.CANCELLED)

    def test_a_job_whose_record_is_rejected_ends(self):
        """Guards against a job that waits for ever for a start that is never stored."""
        self.run_large(1)
        scheduler = self.test_bed.scheduler
        scheduler.records_rejected(['j1', 'j9'], self.test_bed.now_ms)
        self.test_bed.run_for(SOON_MS)
        record = self.test_bed.records['j1']
        self.assertIs(record.phase, JobPhase.FAILED)
        self.assertEqual(record.reason, 'its progress cannot be stored')

    def test_long_checkpoints_are_left_out(self):
        """Guards against a record that outgrows the store by its checkpoints."""
        self.run_large(20)
        for index in range(20):
            task = self.task(f'j1.0.0.{index}')
            task.checkpoint = LONG_CHECKPOINT if index else 'short'
        self.test_bed.scheduler.mark_dirty(self.task('j1.0.0.0').step.job)
        self.test_bed.run_for(SOON_MS)
        self.assertLess(self.test_bed.largest_bytes, VALUE_BYTES)
        self.test_bed.run_for(SOON_MS)
        tasks_by_name = self.test_bed.records['j1'].tasks_by_name
        self.assertEqual(tasks_by_name['0.0.0'].checkpoint, 'short')
        left_out = [
            entry.fields['tasks']
            for entry in self.test_bed.scheduler.take_log_entries()
            if entry.event is Event.CHECKPOINTS_LEFT_OUT
        ]
        self.assertEqual(left_out, [19])
        # The leader resumes from it all the same.
        self.assertEqual(self.task('j1.0.0.1').checkpoint, LONG_CHECKPOINT)

    def task(self, name):
        state = self.test_bed.scheduler.jobs_by_id['j1']
        return next(task for task in tasks_of(state) if task.name == name)


class PartsTest(unittest.TestCase):
    def test_each_task_is_in_one_part(self):
        """Guards against tasks of some step or occurrence that no part holds."""
        for counts, repeats in (((120,), 0), ((7, 60, 1), 0), ((30, 4), 9), ((1,), 77)):
            with self.subTest(counts=counts, repeats=repeats):
                test_bed = JobTestBed(FakeBackend('b1'))
                steps = [StepSpec(task_count=n, resources=LIGHT) for n in counts]
                test_bed.submit(*steps, repeats=repeats, interval_ms=1)
                test_bed.now_ms += 1000
                state = test_bed.scheduler.jobs_by_id['j1']
                test_bed.scheduler.open_due_occurrences(
                    state, test_bed.now_ms, test_bed.now_ms
                )
                for number, task in enumerate(tasks_of(state)):
                    task.run = 1
                    task.phase = TaskPhase.DONE if number % 3 else TaskPhase.WAITING
                parts = [part_of(state, n, VALUE_BYTES) for n in part_numbers(state)]
                names = [
                    name for part in parts for name in [*part.done, *part.tasks_by_name]
                ]
                expected = [task.name.split('.', 1)[1] for task in tasks_of(state)]
                self.assertEqual(sorted(names), sorted(expected))
                self.assertLessEqual(
                    max(len(part.done) + len(part.tasks_by_name) for part in parts),
                    PART_TASKS,
                )

    def test_parts_without_a_record_count(self):
        """Guards against a leader that ends between two writes of a large job."""
        part = JobPart(done=['0.0.0'])
        record = merged(None, [part])
        self.assertIs(record.phase, JobPhase.RUNNING)
        self.assertEqual(record.done, ['0.0.0'])

    def test_the_record_of_a_small_job_holds_its_tasks(self):
        """Guards against writes of several items for each small job."""
        test_bed = JobTestBed(FakeBackend('b1'))
        test_bed.submit(StepSpec(task_count=PART_TASKS, resources=LIGHT))
        test_bed.step()
        state = test_bed.scheduler.jobs_by_id['j1']
        record = record_of(state, VALUE_BYTES)
        self.assertEqual(len(record.tasks_by_name), PART_TASKS)
        self.assertEqual(test_bed.parts, {})


if __name__ == '__main__':
    unittest.main()
