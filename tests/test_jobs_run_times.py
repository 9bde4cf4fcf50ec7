"""Tests of learned run times under a queue whose callers guess how long tasks run."""

import math
import random
import unittest

from dandelionknot.jobs._batches import WAITING_INTERVAL_MS
from dandelionknot.jobs._generated import Resources, StepSpec
from dandelionknot.jobs._records import task_measured
from dandelionknot.jobs._run_times import RunTimes
from tests.job_test_bed import FakeBackend, JobTestBed

# Spread of the logarithms of the measured times, and of the errors of declared times.
TIME_SPREAD = 0.45
GUESS_SPREAD = 0.9
MEDIAN_MS = 600


def observe_steps(
    run_times: RunTimes, count: int, guess_spread: float, factor: float = 1.0
) -> list[tuple[int, int]]:
    """Observes steps with random times; returns declared and measured times."""
    draw = random.Random(7)
    steps = []
    for _ in range(count):
        measured = MEDIAN_MS * math.exp(draw.gauss(0, TIME_SPREAD))
        declared = measured * math.exp(draw.gauss(0, guess_spread))
        steps.append((round(declared), round(factor * measured)))
        run_times.observe('desk', *steps[-1], 1.0)
    return steps


def mean_error(run_times: RunTimes, steps: list[tuple[int, int]]) -> float:
    """Returns the mean error of the expected times, as a logarithm."""
    errors = [
        abs(math.log(run_times.expected_ms('desk', declared) / measured))
        for declared, measured in steps
    ]
    return sum(errors) / len(errors)


class RunTimesTest(unittest.TestCase):
    def test_declared_time_holds_until_a_task_has_ended(self):
        """Guards against a due time that is computed from no knowledge."""
        self.assertEqual(RunTimes().expected_ms('desk', 700), 700)
        self.assertEqual(RunTimes().expected_ms('desk', 0), 0)

    def test_guesses_count_little(self):
        """Guards against due times that follow declared times that say nothing."""
        run_times = RunTimes()
        steps = observe_steps(run_times, 100, GUESS_SPREAD)
        declared_error = sum(
            abs(math.log(declared / measured)) for declared, measured in steps
        ) / len(steps)
        self.assertLess(mean_error(run_times, steps), 0.6 * declared_error)

    def test_true_declared_times_count_fully(self):
        """Guards against a learned mean that hides what careful callers declare."""
        run_times = RunTimes()
        observe_steps(run_times, 100, 0.05)
        for declared_ms in (200, 600, 1800):
            expected_ms = run_times.expected_ms('desk', declared_ms)
            self.assertAlmostEqual(expected_ms / declared_ms, 1.0, delta=0.15)

    def test_slow_hosts_are_learned_and_forgotten(self):
        """Guards against run times of a former load that count for ever."""
        run_times = RunTimes()
        observe_steps(run_times, 300, 0.05, factor=3.0)
        slow_ms = run_times.expected_ms('desk', MEDIAN_MS)
        observe_steps(run_times, 300, 0.05)
        usual_ms = run_times.expected_ms('desk', MEDIAN_MS)
        self.assertGreater(slow_ms, 2.5 * MEDIAN_MS)
        self.assertLess(usual_ms, 1.3 * MEDIAN_MS)

    def test_one_odd_step_decides_nothing(self):
        """Guards against an expected time that follows the first end."""
        run_times = RunTimes()
        run_times.observe('desk', 600, 60_000, 1.0)
        self.assertLess(run_times.expected_ms('desk', 600), 1200)


class DueTimeTest(unittest.TestCase):
    def setUp(self):
        self.bed = JobTestBed(FakeBackend('i-1'))
        self.step = StepSpec(
            task_count=2,
            resources=Resources(cpu_millicores=1000, memory_mb=100),
            estimated_ms=300,
        )

    def test_due_time_follows_the_first_task_that_is_done(self):
        """Guards against jobs that count as late by a wrong declared time."""
        self.bed.submit(self.step)
        state = self.bed.scheduler.jobs_by_id['j1']
        task_measured(state.steps_by_occurrence[0][0], 900)
        queue = state.queue
        span_ms = int(queue.stretch * 900 + queue.objective_ms)
        self.assertEqual(state.due_ms - state.accepted_ms, span_ms)

    def test_ends_are_learned_and_stored_with_the_counts(self):
        """Guards against a new leader that trusts declared times again."""
        self.bed.submit(self.step)
        for _ in range(200):
            self.bed.step()
            self.bed.finish_after(900)
        scheduler = self.bed.scheduler
        learned = scheduler.run_times.by_queue
        self.assertEqual(list(learned), [self.bed.queue.name])
        self.bed.submit(self.step, job_id='j2')
        scheduler.take_batch(10, self.bed.now_ms + WAITING_INTERVAL_MS)
        self.assertEqual(scheduler.waiting.run_times_by_queue, learned)

    def test_what_is_known_of_a_removed_queue_is_not_stored(self):
        """Guards against an item that grows with each queue that ever existed."""
        scheduler = self.bed.scheduler
        for name in ('removed', self.bed.queue.name):
            scheduler.run_times.observe(name, 300, 900, 1.0)
        self.bed.submit(self.step)
        scheduler.take_batch(10, self.bed.now_ms + WAITING_INTERVAL_MS)
        stored = scheduler.waiting.run_times_by_queue
        self.assertEqual(list(stored), [self.bed.queue.name])


if __name__ == '__main__':
    unittest.main()
