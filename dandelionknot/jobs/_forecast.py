"""Forecasts how long a new job of each queue waits until its first start.

The load that it answers is a queue that takes in more work than its pool can do before
the work has lost its value. The leader computes the forecast from the open jobs, in the
order in which the planner starts them: by priority, then jobs that can still end in
time, then late ones, each by due time. Entry hosts refuse jobs by it
(`_load_shedding`).

All doubts are resolved in favor of a short wait. Only jobs of which nothing has been
placed count as backlog: about as much work is begun and unfinished when a new job
starts as is now. Work that no host of the pool can take, waits for advice, or exceeds
the limit of its client account takes no room, so it does not count either. Neither do
jobs that will have lost their value long before their turn.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    ExpectedWait,
    Queue,
    QueueForecast,
    Resources,
    StepSpec,
)
from dandelionknot.jobs._ranking import MAX_OBJECTIVE_MULTIPLE
from dandelionknot.jobs._state import BackendState, JobState, occupied_cpu_millicores

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two forecasts.
FORECAST_INTERVAL_MS = 400
# A forecast is published if the longest wait in it is at least this share of the
# queue's objective. No job is refused for a wait below three objectives, and a queue
# that fills fast is known to entry hosts before that.
MIN_WAIT_SHARE = 0.5
# Time until the hosts that are ordered for a pool have arrived: the platform moves a
# host in 1.5 s, and planning and registration take the rest.
ARRIVAL_MS = 2000
# Multiple of the expected rate at which a pool works off its backlog at best. The
# expected rate assumes that all room is used, although gaps between tasks leave about
# 0.15 of it unused. The run times of tens of jobs together are expected with an error
# of 0.13 (0.41 for one).
BEST_SPEED = 1.25
# Multiple of the time left to start a job in time, or in useful time, up to which the
# job counts as backlog. At 1, the wait for a full queue would be just the time that the
# new job has: each of the jobs before it is left out at its own limit, and the new job
# starts in useful time instead of another accepted one. The multiple is above the
# product of the margins on speed and on run times (`_load_shedding.PATH_MARGIN`).
COUNTED_MULTIPLE = 2.0
# Quantiles of the spans of the open jobs for which a wait is published. A job with
# another span is decided by the next shorter one, so it is assumed to go before jobs
# that it may have to follow.
SPAN_QUANTILES = (0.0, 0.5, 0.9)


@dataclass(slots=True, frozen=True)
class PendingJob:
    """An accepted job of which nothing has been placed."""

    queue: str
    priority: int
    account: str
    # Millicores of its tasks times their expected run time in ms.
    work: float
    due_ms: int
    # Latest local times of its start at which it ends in time, or in useful time.
    in_time_until_ms: int
    useful_until_ms: int
    beyond_share: bool = False


@dataclass(slots=True, frozen=True)
class PoolRoom:
    """Millicores of a pool for short tasks."""

    present: float
    # With the hosts that arrive within `ARRIVAL_MS`.
    later: float
    # Not in use by any task.
    free: float
    # What the jobs that arrive now or in a predicted surge keep in use.
    demand: float = 0.0

    def duration_ms(self, work: float, speed: float) -> float:
        """Returns the time in which the pool does an amount of work."""
        at_first = self.present * speed * ARRIVAL_MS
        if work <= at_first:
            return work / (self.present * speed)
        return ARRIVAL_MS + (work - at_first) / (self.later * speed)


@dataclass(slots=True)
class Forecasts:
    """Forecasts of one leadership term."""

    enabled: bool = False
    # Local and Unix time of the last ones.
    computed_ms: int | None = None
    computed_unix_ms: int = 0
    by_queue: dict[str, QueueForecast] = field(default_factory=dict)

    def update(self, scheduler: Scheduler) -> bool:
        """Computes the forecasts if they are due; returns whether to publish them.

        Forecasts are published while there are some, and once when there are none any
        more.
        """
        now_ms = scheduler.planned_ms
        if not self.enabled:
            return False
        if (
            self.computed_ms is not None
            and now_ms - self.computed_ms < FORECAST_INTERVAL_MS
        ):
            return False
        self.computed_ms, self.computed_unix_ms = now_ms, scheduler.planned_unix_ms
        former, self.by_queue = self.by_queue, compute_forecasts(scheduler, now_ms)
        for queue in sorted(former.keys() ^ self.by_queue.keys()):
            forecast = self.by_queue.get(queue)
            if forecast is None:
                scheduler.note(Event.BACKLOG_ENDED, {'queue': queue})
                continue
            fields = {
                'queue': queue,
                'wait_ms': forecast.waits[-1].wait_ms,
                'millicores': forecast.millicores,
                'demand_millicores': forecast.demand_millicores,
            }
            scheduler.note(Event.BACKLOG_BEGAN, fields)
        return bool(former or self.by_queue)


def compute_forecasts(scheduler: Scheduler, now_ms: int) -> dict[str, QueueForecast]:
    """Returns the forecasts of the queues whose new jobs have to wait."""
    jobs_by_service: dict[str, list[JobState]] = {}
    for state in scheduler.open_jobs_by_id.values():
        configured = scheduler.queues_by_name.get(state.job.queue)
        if configured is not None and not state.started:
            jobs_by_service.setdefault(configured.service, []).append(state)
    if not jobs_by_service:
        return {}
    backends_by_service = _serving_backends(scheduler)
    limits_by_account = scheduler.millicores_by_account()
    forecasts = {}
    for service, states in jobs_by_service.items():
        backends = backends_by_service.get(service, [])
        rooms = _largest_rooms(backends)
        pending = [
            job for state in states if (job := pending_job(state, rooms, now_ms))
        ]
        if not pending:
            continue
        room = _room_of(scheduler, service, backends, limits_by_account, now_ms)
        if room is None:
            continue
        queues = {job.queue: scheduler.queues_by_name[job.queue] for job in pending}
        for name, queue in queues.items():
            forecast = forecast_queue(queue, pending, room, limits_by_account, now_ms)
            if forecast is not None:
                forecasts[name] = forecast
    return forecasts


def pending_job(
    state: JobState, rooms: Mapping[str, Resources], now_ms: int
) -> PendingJob | None:
    """Returns what a job adds to the backlog, or None if it does not count.

    `rooms` holds the largest room of a host by label; the empty one stands for all.
    """
    steps = state.job.spec.steps
    if state.started or state.job.spec.repeats or state.queue.needs_advice:
        return None
    if any(step.long_running or not _fits(step, rooms) for step in steps):
        return None
    span_ms = state.due_ms - state.accepted_ms
    useful_ms = state.accepted_ms + MAX_OBJECTIVE_MULTIPLE * span_ms
    useful_until_ms = useful_ms - state.critical_path_ms
    if now_ms > useful_until_ms:
        return None
    return PendingJob(
        queue=state.job.queue,
        priority=state.queue.priority,
        account=state.account.name,
        work=expected_work(steps, state.task_ms_by_step),
        due_ms=state.due_ms,
        in_time_until_ms=state.due_ms - state.critical_path_ms,
        useful_until_ms=useful_until_ms,
        beyond_share=state.beyond_share,
    )


def expected_work(steps: list[StepSpec], task_ms_by_step: list[int]) -> float:
    """Returns the millicores of all tasks times their expected run times in ms."""
    return sum(
        step.task_count * occupied_cpu_millicores(step) * task_ms
        for step, task_ms in zip(steps, task_ms_by_step, strict=True)
    )


def forecast_queue(
    queue: Queue,
    pending: list[PendingJob],
    room: PoolRoom,
    limits_by_account: Mapping[str, int],
    now_ms: int,
) -> QueueForecast | None:
    """Returns the forecast of a queue, or None if its new jobs start soon.

    `pending` holds the backlog of all queues of the same service. None is returned for
    a queue without an objective.
    """
    spans = _published_spans(queue, pending)
    if queue.objective_ms <= 0 or not spans or room.present <= 0:
        return None
    backlog = _Backlog(queue, pending, room, limits_by_account, spans, now_ms)
    expected = backlog.waits_ms(1.0)
    if max(expected) < MIN_WAIT_SHARE * queue.objective_ms:
        return None
    # At the higher speed, fewer jobs lose their value before their turn.
    shortest = map(min, expected, backlog.waits_ms(BEST_SPEED))
    return QueueForecast(
        waits=[
            ExpectedWait(
                span_ms=span_ms, wait_ms=int(wait_ms), shortest_wait_ms=int(least_ms)
            )
            for span_ms, wait_ms, least_ms in zip(
                spans, expected, shortest, strict=True
            )
        ],
        millicores=int(room.later),
        demand_millicores=int(room.demand),
    )


def _published_spans(queue: Queue, pending: list[PendingJob]) -> list[int]:
    """Returns quantiles of the time from acceptance until the jobs are due."""
    spans = sorted(
        _span_ms(queue, job.due_ms - job.in_time_until_ms)
        for job in pending
        if job.queue == queue.name
    )
    return sorted({spans[int(share * len(spans))] for share in SPAN_QUANTILES if spans})


def _span_ms(queue: Queue, critical_path_ms: int) -> int:
    return int(queue.stretch * critical_path_ms + queue.objective_ms)


@dataclass(slots=True)
class _Backlog:
    """The backlog of a service, as a new job of one of its queues finds it."""

    queue: Queue
    pending: list[PendingJob]
    room: PoolRoom
    limits_by_account: Mapping[str, int]
    # Times until the new job is due, in ascending order, for which waits are computed.
    spans: list[int]
    now_ms: int

    def waits_ms(self, speed: float) -> list[float]:
        """Returns the wait for each span if the pool works at a speed.

        While the new job can end in time, only other such jobs go before it. Once it
        cannot, late jobs that were due earlier do, too.
        """
        before = sorted(
            (job for job in self.pending if job.priority <= self.queue.priority),
            key=lambda job: (job.priority, job.due_ms),
        )
        in_time = [
            job
            for job in before
            if self.now_ms <= job.in_time_until_ms and not job.beyond_share
        ]
        first = self._walk(in_time, speed, lambda job: job.in_time_until_ms)
        last = self._walk(before, speed, lambda job: job.useful_until_ms)
        waits = []
        for span_ms, in_time_ms, late_ms in zip(self.spans, first, last, strict=True):
            slack_ms = span_ms - self._path_ms(span_ms)
            is_in_time = in_time_ms <= slack_ms
            waits.append(in_time_ms if is_in_time else max(late_ms, slack_ms))
        return waits

    def _path_ms(self, span_ms: int) -> float:
        return (span_ms - self.queue.objective_ms) / max(0.01, self.queue.stretch)

    def _walk(
        self,
        jobs: list[PendingJob],
        speed: float,
        until_ms: Callable[[PendingJob], int],
    ) -> list[float]:
        """Returns, for each span, when the jobs before the new one are started.

        A job that is reached long after its time `until_ms` is skipped.
        """
        left = self._allowances()
        done = -self._startable_now(jobs)
        wait_ms = 0.0
        waits: list[float] = []
        for job in jobs:
            is_preceding = job.priority < self.queue.priority
            while not is_preceding and len(waits) < len(self.spans):
                if job.due_ms <= self.now_ms + self.spans[len(waits)]:
                    break
                waits.append(wait_ms)
            if wait_ms > COUNTED_MULTIPLE * (until_ms(job) - self.now_ms):
                continue
            work = min(job.work, left.get(job.account, job.work))
            if job.account in left:
                left[job.account] -= work
            done += work
            wait_ms = self.room.duration_ms(max(0.0, done), speed)
        return waits + [wait_ms] * (len(self.spans) - len(waits))

    def _allowances(self) -> dict[str, float]:
        """Returns the most work that each account with a limit can have done.

        The time for it is that in which a job of the shortest span is useful.
        """
        useful_ms = MAX_OBJECTIVE_MULTIPLE * self.spans[0]
        return {
            account: float(limit * useful_ms)
            for account, limit in self.limits_by_account.items()
            if limit
        }

    def _startable_now(self, jobs: list[PendingJob]) -> float:
        """Returns the work that starts at once, since its room is free."""
        paths_ms = [job.due_ms - job.in_time_until_ms for job in jobs]
        return self.room.free * sum(paths_ms) / max(1, len(paths_ms))


def _serving_backends(scheduler: Scheduler) -> dict[str, list[BackendState]]:
    """Returns the backend servers that get starts now or soon, by service."""
    backends: dict[str, list[BackendState]] = {}
    for backend in scheduler.backends_by_id.values():
        report = backend.report
        if (
            report is not None
            and not report.draining
            and report.availability_zone not in scheduler.excluded_zones
            and (backend.reachable or not backend.fenced)
        ):
            backends.setdefault(report.service, []).append(backend)
    return backends


def _room_of(
    scheduler: Scheduler,
    service: str,
    backends: list[BackendState],
    limits_by_account: dict[str, int],
    now_ms: int,
) -> PoolRoom | None:
    """Returns the room of a pool, or None if it has none that is known."""
    present = free = 0
    for backend in backends:
        if backend.report is not None:
            room = backend.report.room.cpu_millicores
            present += room - sum(
                occupied_cpu_millicores(task.step.spec)
                for task in backend.tasks_by_name.values()
                if task.step.spec.long_running
            )
            free += max(0, room - backend.cpu_millicores)
    if present <= 0:
        return None
    later = float(present)
    expected = scheduler.capacity.arrivals.millicores(
        service, limits_by_account, now_ms
    )
    demand = scheduler.capacity.demand_by_pool.get(service)
    if demand is not None:
        hosts = max(demand.wanted, len(backends) + demand.arriving)
        later *= hosts / len(backends)
        expected = max(expected, demand.predicted_millicores)
    return PoolRoom(present, max(later, present), free, expected)


def _largest_rooms(backends: Iterable[BackendState]) -> dict[str, Resources]:
    """Returns the largest amounts of each resource by label, and those of all hosts."""
    rooms: dict[str, Resources] = {}
    for backend in backends:
        report = backend.report
        if report is None:
            continue
        for label in ('', *report.labels):
            largest, room = rooms.get(label, Resources()), report.room
            rooms[label] = Resources(
                cpu_millicores=max(largest.cpu_millicores, room.cpu_millicores),
                memory_mb=max(largest.memory_mb, room.memory_mb),
                accelerators=max(largest.accelerators, room.accelerators),
            )
    return rooms


def _fits(step: StepSpec, rooms: Mapping[str, Resources]) -> bool:
    room, needed = rooms.get(step.required_label), step.resources
    return (
        room is not None
        and occupied_cpu_millicores(step) <= room.cpu_millicores
        and needed.memory_mb <= room.memory_mb
        and needed.accelerators <= room.accelerators
    )
