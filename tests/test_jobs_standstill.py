"""Jobs that have nothing running although a task is ready."""

import unittest

from dandelionknot.events import Event
from dandelionknot.jobs._generated import ClientAccount, Resources, StepSpec
from dandelionknot.jobs._standstill import Cause
from tests.job_test_bed import FakeBackend, JobTestBed

TICK_MS = 50
SMALL = StepSpec(task_count=1, resources=Resources(cpu_millicores=2000))


class CauseTest(unittest.TestCase):
    """Guards against logs that do not show why an accepted job stands still."""

    def run_for(self, test_bed, duration_ms):
        for _ in range(0, duration_ms, TICK_MS):
            test_bed.step(TICK_MS)

    def noted(self, test_bed, event):
        entries = test_bed.scheduler.take_log_entries()
        return [entry.fields for entry in entries if entry.event is event]

    def test_lost_backend_server_is_named(self):
        test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
        test_bed.submit(SMALL)
        self.run_for(test_bed, 200)
        lost = next(b for b in test_bed.backends.values() if b.runs_by_name)
        test_bed.lose(lost)
        self.run_for(test_bed, 2500)
        [line] = self.noted(test_bed, Event.JOB_STANDS_STILL)
        self.assertEqual(line['cause'], Cause.BACKEND_LOST)
        self.assertEqual(line['backend_id'], lost.backend_id)
        self.assertGreater(line['lapses_in_ms'], 0)

    def test_limit_of_the_account_is_named(self):
        test_bed = JobTestBed(FakeBackend('b1'))
        limit = Resources(cpu_millicores=1000)
        test_bed.accounts = [ClientAccount(name='sofia', keys=['k'], limit=limit)]
        test_bed.configure()
        test_bed.submit(SMALL)
        self.run_for(test_bed, 3000)
        [line] = self.noted(test_bed, Event.JOB_STANDS_STILL)
        self.assertEqual(line['cause'], Cause.ACCOUNT_LIMIT)

    def test_unusable_backend_servers_are_counted(self):
        test_bed = JobTestBed(FakeBackend('b1'), FakeBackend('b2'))
        self.run_for(test_bed, 200)
        states = test_bed.scheduler.backends_by_id
        states['b1'].moving = states['b2'].ending = True
        states['b2'].ending_since_ms = test_bed.now_ms + 10_000
        test_bed.submit(SMALL)
        self.run_for(test_bed, 2500)
        [line] = self.noted(test_bed, Event.JOB_STANDS_STILL)
        self.assertEqual(line['unusable'], {'host is moved': 1, 'ends by an order': 1})

    def test_room_is_named_and_the_end_is_logged(self):
        test_bed = JobTestBed(
            FakeBackend('b1', room=Resources(cpu_millicores=2000, memory_mb=1000))
        )
        test_bed.submit(SMALL, job_id='j1')
        self.run_for(test_bed, 200)
        test_bed.submit(SMALL, job_id='j2')
        self.run_for(test_bed, 2500)
        [line] = self.noted(test_bed, Event.JOB_STANDS_STILL)
        self.assertEqual((line['job_id'], line['cause']), ('j2', Cause.ROOM))
        test_bed.finish_after(0)
        self.run_for(test_bed, 1000)
        [again] = self.noted(test_bed, Event.JOB_RUNS_AGAIN)
        self.assertEqual((again['job_id'], again['cause']), ('j2', Cause.ROOM))

    def test_job_with_short_runs_is_not_logged(self):
        """Guards against a job that runs between the checks but seems to stand still.

        A single host runs its tasks in turn, and each ends within a check's interval.
        """
        test_bed = JobTestBed(
            FakeBackend('b1', room=Resources(cpu_millicores=2000, memory_mb=1000))
        )
        test_bed.submit(StepSpec(task_count=40, resources=SMALL.resources))
        for _ in range(80):
            test_bed.step(TICK_MS)
            test_bed.finish_after(0)
        self.assertEqual(self.noted(test_bed, Event.JOB_STANDS_STILL), [])

    def test_running_job_is_not_logged(self):
        test_bed = JobTestBed(FakeBackend('b1'))
        test_bed.submit(SMALL)
        self.run_for(test_bed, 5000)
        self.assertEqual(self.noted(test_bed, Event.JOB_STANDS_STILL), [])


if __name__ == '__main__':
    unittest.main()
