"""Tasks that are taken for slow although they are not, also by a new leader."""

import unittest

from dandelionknot.jobs._generated import EndReason, Resources, StepSpec, StopTask
from tests.job_test_bed import FakeBackend, JobTestBed

SMALL = Resources(cpu_millicores=1000, memory_mb=100)
ROUND_MS = 100


def step(count=1, **fields):
    """Returns a step of small tasks."""
    return StepSpec(task_count=count, resources=SMALL, **fields)


def new_test_bed(hosts=2):
    """Returns a test bed whose backend servers make progress only by `play`."""
    test_bed = JobTestBed(*(FakeBackend(f'b{n}') for n in range(hosts)))
    for backend in test_bed.backends.values():
        backend.makes_progress = False
    return test_bed


def play(test_bed, for_ms, work_ms, percent_step=1, leaders_at_ms=(), resumed=()):
    """Plays a time in which each task needs `work_ms`; returns the stops.

    Progress is reported in steps of `percent_step`. A new leader takes over at each of
    the given times. Tasks in `resumed` begin with nine tenths of their work done.
    """
    stops = []
    for elapsed_ms in range(0, for_ms, ROUND_MS):
        if elapsed_ms in leaders_at_ms:
            test_bed.new_leader()
        commands = test_bed.step(ROUND_MS)
        stops += [command for command in commands if isinstance(command, StopTask)]
        for backend in test_bed.backends.values():
            for name, run in list(backend.runs_by_name.items()):
                ran_ms = test_bed.now_ms - run.started_ms
                ran_ms += work_ms * 9 // 10 if name in resumed else 0
                percent = 100 * ran_ms // work_ms
                run.percent = min(99, percent - percent % percent_step)
                if ran_ms >= work_ms:
                    backend.end(name, EndReason.DONE)
    return stops


class RunTimeTest(unittest.TestCase):
    def test_a_new_leader_stops_no_task_as_slow(self):
        """Guards against tasks that are stopped again and again after a new leader.

        It took the time since it had heard of a run for the run time of its task.
        """
        for leaders_at_ms in ((7700,), (9500,), (3000, 8000), (9000, 9500), (12_000,)):
            for hosts, tasks in ((2, 4), (3, 9)):
                with self.subTest(leaders_at_ms=leaders_at_ms, hosts=hosts):
                    test_bed = new_test_bed(hosts)
                    test_bed.submit(step(tasks, estimated_ms=10_000, max_per_host=1))
                    stops = play(test_bed, 36_000, 10_000, leaders_at_ms=leaders_at_ms)
                    self.assertEqual(stops, [])
                    self.assertEqual(test_bed.phase(), 'done')

    def test_a_run_from_a_checkpoint_does_not_make_others_slow(self):
        """Guards against a step whose resumed tasks end early and set the limit."""
        test_bed = new_test_bed()
        test_bed.submit(step(4, estimated_ms=10_000, max_per_host=1, checkpoints=True))
        state = test_bed.scheduler.jobs_by_id['j1']
        resumed = ('j1.0.0.0', 'j1.0.0.1')
        for task in state.steps_by_occurrence[0][0].tasks[:2]:
            task.checkpoint = 'saved'
        stops = play(test_bed, 20_000, 10_000, resumed=resumed)
        self.assertEqual(stops, [])
        self.assertEqual(test_bed.phase(), 'done')

    def test_a_wrong_guess_is_not_repeated_for_good(self):
        """Guards against a long task with a low estimate that is never let end."""
        for leaders_at_ms in ((), (20_000,), (20_000, 20_100)):
            with self.subTest(leaders_at_ms=leaders_at_ms):
                test_bed = new_test_bed()
                test_bed.submit(step(estimated_ms=500))
                stops = play(test_bed, 90_000, 40_000, 25, leaders_at_ms=leaders_at_ms)
                self.assertEqual(test_bed.phase(), 'done')
                self.assertLessEqual(len(stops), 3)

    def test_a_slow_task_does_not_close_the_last_host(self):
        """Guards against a service that starts nothing because of one job."""
        test_bed = new_test_bed()
        test_bed.submit(step(2, estimated_ms=500, max_per_host=1))
        play(test_bed, 2800, 100_000, 100)
        test_bed.submit(step(), job_id='j2')
        play(test_bed, 400, 100_000, 100)
        self.assertIn('j2.0.0.0', test_bed.running())


if __name__ == '__main__':
    unittest.main()
