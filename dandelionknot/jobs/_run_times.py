"""Learns how long tasks run, since the times that callers declare may be far off.

The load that it answers is a queue whose callers guess: the declared times of its tasks
differ by a factor of two or more from the measured ones, and say little about them. For
each queue, the logarithm of the measured time is a linear function of the logarithm of
the declared time. A slope near 1 means that the declared times are true up to a common
factor, one near 0 that all tasks of the queue run for about as long.

    >>> run_times = RunTimes()
    >>> for _ in range(40):
    ...     run_times.observe('desk', 300, 600, 1.0)
    >>> run_times.expected_ms('desk', 300)
    600
"""

import math
from dataclasses import dataclass, field

from dandelionknot.jobs._generated import RunTimeStatistics

# Weight that declared times keep, as a number of steps whose tasks run exactly as long
# as declared. With fewer ends known, a single odd step would decide.
PRIOR_STEPS = 8.0
# Spread of the logarithms of the declared times of those steps.
PRIOR_VARIANCE = 0.25
# Share of the former weight that is left after one more step. About the last hundred
# steps count, so that a change of the work shows within some hundred jobs.
KEPT_SHARE = 0.99
# Range of an expected time, as multiples of the declared one.
MIN_MULTIPLE = 0.05
MAX_MULTIPLE = 20.0


@dataclass(slots=True)
class RunTimes:
    """Statistics of the run times of each queue."""

    by_queue: dict[str, RunTimeStatistics] = field(default_factory=dict)

    def observe(
        self, queue: str, declared_ms: int, measured_ms: int, weight: float
    ) -> None:
        """Adds the run time of a task that is done.

        `weight` is the share of its step that the task makes up: tasks of one step have
        one declared time and run for about as long, so that the step counts once.
        """
        if declared_ms <= 0 or measured_ms <= 0:
            return
        declared, measured = math.log(declared_ms), math.log(measured_ms)
        known = self.by_queue.get(queue)
        if known is None:
            known = RunTimeStatistics(
                weight=0.0, declared_mean=declared, measured_mean=measured
            )
        kept = known.weight * KEPT_SHARE**weight
        total = kept + weight
        share = weight / total
        declared_step = declared - known.declared_mean
        measured_step = measured - known.measured_mean

        def updated(moment: float, product: float) -> float:
            return (1 - share) * (moment + share * product)

        self.by_queue[queue] = RunTimeStatistics(
            weight=total,
            declared_mean=known.declared_mean + share * declared_step,
            measured_mean=known.measured_mean + share * measured_step,
            declared_variance=updated(known.declared_variance, declared_step**2),
            measured_variance=updated(known.measured_variance, measured_step**2),
            covariance=updated(known.covariance, declared_step * measured_step),
        )

    def expected_ms(self, queue: str, declared_ms: int) -> int:
        """Returns the mean run time of tasks for which a time was declared.

        This is the declared time itself for a queue of which no task has ended.
        """
        known = self.by_queue.get(queue)
        if known is None or declared_ms <= 0:
            return declared_ms
        prior = PRIOR_STEPS / (PRIOR_STEPS + known.weight)
        # Moments of the observed steps together with the assumed ones, which have the
        # same mean declared time, and run as long as declared.
        offset = (1 - prior) * (known.measured_mean - known.declared_mean)
        variance = prior * PRIOR_VARIANCE + (1 - prior) * known.declared_variance
        covariance = prior * PRIOR_VARIANCE + (1 - prior) * known.covariance
        slope = min(1.0, max(0.0, covariance / variance)) if variance else 1.0
        left = known.measured_variance - slope * (
            2 * known.covariance - slope * known.declared_variance
        )
        distance = math.log(declared_ms) - known.declared_mean
        logarithm = known.declared_mean + offset + slope * distance
        # The mean of a logarithmic normal distribution is above its median.
        logarithm += (1 - prior) * max(0.0, left) / 2
        expected_ms = math.exp(logarithm)
        lowest, highest = MIN_MULTIPLE * declared_ms, MAX_MULTIPLE * declared_ms
        return round(min(highest, max(lowest, expected_ms)))
