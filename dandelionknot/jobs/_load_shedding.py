"""Decides on an entry host whether a new job can still end in useful time.

The load that it answers is a surge beyond what the pool of a queue can do: a job that
would only wait until it has lost its value is refused at once, so that its caller can
return when there is room. The decision rests on the forecast that the leader publishes
(`_forecast`), which may be wrong or old, so a job is accepted in all cases of doubt.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from dandelionknot.jobs._forecast import BEST_SPEED, expected_work
from dandelionknot.jobs._generated import (
    ExpectedWait,
    JobSpec,
    Queue,
    QueueForecast,
    RunTimeStatistics,
    WaitingJobs,
)
from dandelionknot.jobs._ranking import MAX_OBJECTIVE_MULTIPLE
from dandelionknot.jobs._records import critical_path_ms
from dandelionknot.jobs._run_times import RunTimes

# Highest age of a forecast that is used. A surge may end within some seconds, and the
# shortest wait for which a job is refused is about this long.
MAX_FORECAST_AGE_MS = 2000
# Largest difference of two hosts' clocks. The age is measured without comparing clocks;
# only a forecast that is older than both together by its time stamp is left out.
MAX_CLOCK_DIFFERENCE_MS = 5000
# Multiple of the expected run times that a job may have. The objective rises with them,
# so a job that runs longer than expected is useful for longer. The error of the
# logarithm of an expected time is 0.34 to 0.41, and exp(0.41) is 1.5.
PATH_MARGIN = 1.5
# Range of the advised time until a refused caller returns. With the longest one, four
# attempts cover more than the longest time for which a job is useful.
MIN_RETRY_MS = 1000
MAX_RETRY_MS = 8000
# Least share of a pool that is assumed to work off the backlog while new work arrives.
MIN_DRAIN_SHARE = 0.25
# The advised time is spread over this multiple of itself, so that callers that were
# refused together do not return together.
RETRY_SPREAD = 0.5
# Time before its advised time from which a caller counts as returned: the time on the
# wire is in whole seconds.
EARLY_RETURN_MS = 1000
# Most refused ids that are remembered, and most ids of which it is not known whether
# their job is stored; some 130 bytes each.
MAX_REFUSED_IDS = 4096
MAX_UNKNOWN_IDS = 4096


class Cause(StrEnum):
    """Why a job is refused."""

    BACKLOG = 'backlog'
    # The backlog alone would allow it, but not what this process has accepted since.
    BURST = 'burst'


@dataclass(slots=True, frozen=True)
class Estimate:
    """What is expected of a new job."""

    path_ms: int
    span_ms: int
    work: float

    @classmethod
    def from_spec(
        cls, queue: Queue, spec: JobSpec, run_times: dict[str, RunTimeStatistics]
    ) -> Estimate:
        """Computes the estimate as the leader does once the job is accepted."""
        learned = RunTimes(run_times)
        task_ms = [learned.expected_ms(queue.name, s.estimated_ms) for s in spec.steps]
        path_ms = critical_path_ms(spec.steps, task_ms)
        return cls(
            path_ms=path_ms,
            span_ms=int(queue.stretch * path_ms + queue.objective_ms),
            work=expected_work(spec.steps, task_ms),
        )


@dataclass(slots=True, frozen=True)
class Refusal:
    """A decision not to accept a job, with the values on which it rests."""

    cause: Cause
    wait_ms: int
    useful_wait_ms: int
    accepted_here: int
    retry_after_s: int

    @property
    def reason(self) -> str:
        """Text for callers and operators."""
        return (
            f'a start is expected in {self.wait_ms} ms, '
            f'but is useful only within {self.useful_wait_ms} ms'
        )


@dataclass(slots=True)
class Attempts:
    """Ids whose job may be stored by a call to this process, whatever a read shows."""

    open_by_id: dict[str, int] = field(default_factory=dict)
    # Ids of calls that ended with an unknown outcome, oldest first.
    unknown_ids: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def begin(self, job_id: str) -> None:
        """Records that a call has begun."""
        self.open_by_id[job_id] = self.open_by_id.get(job_id, 0) + 1

    def end(self, job_id: str, is_known: bool) -> None:
        """Records that a call has ended, and whether its outcome is known."""
        left = self.open_by_id.pop(job_id) - 1
        if left:
            self.open_by_id[job_id] = left
        if not is_known:
            self.unknown_ids[job_id] = None
            if len(self.unknown_ids) > MAX_UNKNOWN_IDS:
                self.unknown_ids.popitem(last=False)

    def may_be_stored(self, job_id: str) -> bool:
        """Whether another call than the present one may have stored the job."""
        return self.open_by_id.get(job_id, 0) > 1 or job_id in self.unknown_ids


@dataclass(slots=True)
class LoadShedding:
    """What an entry host has accepted and refused since the last publication."""

    # Returns a random number from 0 up to 1.
    random: Callable[[], float]
    publication: WaitingJobs | None = None
    work_by_queue: dict[str, float] = field(default_factory=dict)
    jobs_by_queue: dict[str, int] = field(default_factory=dict)
    # Local time at which each refused caller was advised to return, oldest first.
    return_at_ms_by_id: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def decide(
        self,
        job_id: str,
        queue: Queue,
        spec: JobSpec,
        publication: WaitingJobs,
        age_ms: int,
        now_ms: int,
        unix_ms: int,
    ) -> Refusal | None:
        """Returns why a job is to be refused, or None to accept it.

        `age_ms` is the highest possible age of the publication. A job that is accepted
        counts as backlog until the next publication, or until `not_stored`.
        """
        if publication is not self.publication:
            self.publication = publication
            self.work_by_queue, self.jobs_by_queue = {}, {}
        forecast = publication.forecasts_by_queue.get(queue.name)
        if forecast is None or is_exempt(queue, spec):
            return None
        if is_stale(publication, age_ms, unix_ms):
            return None
        estimate = Estimate.from_spec(queue, spec, publication.run_times_by_queue)
        accepted_work = self.work_by_queue.get(queue.name, 0.0)
        if self._has_returned(job_id, now_ms):
            # Jobs that were accepted since the publication came later than this one.
            accepted_work = 0.0
        refusal = self._refusal(queue, estimate, forecast, accepted_work)
        if refusal is None:
            self._count(queue.name, estimate.work, 1)
            self.return_at_ms_by_id.pop(job_id, None)
        return refusal

    def refused(self, job_id: str, retry_after_s: int, now_ms: int) -> None:
        """Remembers a refused caller and when it was advised to return."""
        self.return_at_ms_by_id.pop(job_id, None)
        self.return_at_ms_by_id[job_id] = now_ms + 1000 * retry_after_s
        if len(self.return_at_ms_by_id) > MAX_REFUSED_IDS:
            self.return_at_ms_by_id.popitem(last=False)

    def not_stored(self, queue: Queue, spec: JobSpec, publication: WaitingJobs) -> None:
        """Reverts the count of a job that was let in and was not stored."""
        is_counted = publication is self.publication and not is_exempt(queue, spec)
        if is_counted and self.jobs_by_queue.get(queue.name):
            run_times = publication.run_times_by_queue
            estimate = Estimate.from_spec(queue, spec, run_times)
            self._count(queue.name, -estimate.work, -1)

    def _count(self, queue_name: str, work: float, jobs: int) -> None:
        total = self.work_by_queue.get(queue_name, 0.0) + work
        self.work_by_queue[queue_name] = max(0.0, total)
        count = self.jobs_by_queue.get(queue_name, 0) + jobs
        self.jobs_by_queue[queue_name] = count

    def _has_returned(self, job_id: str, now_ms: int) -> bool:
        """Whether a refused caller is back at about the time that it was advised."""
        return_at_ms = self.return_at_ms_by_id.get(job_id)
        return return_at_ms is not None and now_ms >= return_at_ms - EARLY_RETURN_MS

    def _refusal(
        self,
        queue: Queue,
        estimate: Estimate,
        forecast: QueueForecast,
        accepted_work: float,
    ) -> Refusal | None:
        wait = wait_for(forecast, estimate.span_ms)
        if wait is None:
            return None
        accepted_ms = accepted_work / max(1, forecast.millicores)
        useful_ms = useful_wait_ms(queue, estimate.path_ms)
        if wait.shortest_wait_ms + accepted_ms / BEST_SPEED <= useful_ms:
            return None
        is_backlog = wait.shortest_wait_ms > useful_ms
        retry_ms = retry_after_ms(forecast, wait.wait_ms + accepted_ms, estimate)
        return Refusal(
            cause=Cause.BACKLOG if is_backlog else Cause.BURST,
            wait_ms=int(wait.wait_ms + accepted_ms),
            useful_wait_ms=int(useful_ms),
            accepted_here=self.jobs_by_queue.get(queue.name, 0),
            retry_after_s=spread_s(retry_ms, self.random),
        )


def is_exempt(queue: Queue, spec: JobSpec) -> bool:
    """Whether a job is never refused: long-running or timed, or without objective."""
    return bool(
        queue.objective_ms <= 0
        or spec.repeats
        or any(step.long_running for step in spec.steps)
    )


def is_stale(publication: WaitingJobs, age_ms: int, unix_ms: int) -> bool:
    """Whether a publication is too old to refuse jobs by it.

    `age_ms` rests on the local clock alone. The time stamp is that of another host.
    """
    stamped_ms = unix_ms - publication.forecast_unix_ms
    limit_ms = MAX_FORECAST_AGE_MS + MAX_CLOCK_DIFFERENCE_MS
    return age_ms > MAX_FORECAST_AGE_MS or stamped_ms > limit_ms


def wait_for(forecast: QueueForecast, span_ms: int) -> ExpectedWait | None:
    """Returns the wait of the longest span up to the given one, or None if none is."""
    known = [wait for wait in forecast.waits if wait.span_ms <= span_ms]
    return known[-1] if known else None


def useful_wait_ms(queue: Queue, path_ms: int) -> float:
    """Returns the longest wait after which a job may still end in useful time."""
    return max(
        MAX_OBJECTIVE_MULTIPLE * (queue.stretch * actual_ms + queue.objective_ms)
        - actual_ms
        for actual_ms in (path_ms * PATH_MARGIN, path_ms / PATH_MARGIN)
    )


def retry_after_ms(
    forecast: QueueForecast, wait_ms: float, estimate: Estimate
) -> float:
    """Returns the time after which a job could be started so that it ends in time.

    Until then, the backlog is worked off by what the new work leaves of the room.
    """
    excess_ms = wait_ms - (estimate.span_ms - estimate.path_ms)
    spare = 1 - forecast.demand_millicores / max(1, forecast.millicores)
    duration_ms = excess_ms / max(MIN_DRAIN_SHARE, spare)
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, duration_ms))


def spread_s(retry_ms: float, random: Callable[[], float]) -> int:
    """Returns a time in whole seconds, spread at random beyond the given one."""
    spread_ms = retry_ms * (1 + RETRY_SPREAD * random())
    return max(1, int(spread_ms / 1000 + random()))
