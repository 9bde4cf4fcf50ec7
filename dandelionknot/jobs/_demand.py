"""Computes how many hosts the tasks of a pool need."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from dandelionknot.jobs import _ranking
from dandelionknot.jobs._allocation import PoolNeed
from dandelionknot.jobs._generated import Resources, StepSpec
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    StepState,
    TaskPhase,
    occupied_cpu_millicores,
)

# Share of a host's room that is expected to be usable, since tasks of different sizes
# leave gaps.
FILL_SHARE = 0.85
# A pool gives no host away if fewer than this many would remain. A pool without hosts
# asks for this many if jobs wait.
MIN_HOSTS = 2


def _startable_count(step: StepState, left_by_account: dict[str, list[int]]) -> int:
    """Returns how many waiting tasks of a step the client account's limit allows.

    `left_by_account` holds the unused millicores and memory of each client account;
    the resources of the counted tasks are subtracted from it.
    """
    account, needed = step.job.account, step.spec.resources
    left = left_by_account.setdefault(
        account.name,
        [
            account.limit.cpu_millicores - account.cpu_millicores,
            account.limit.memory_mb - account.memory_mb,
        ],
    )
    count = sum(task.phase is TaskPhase.WAITING for task in step.tasks)
    if account.limit.cpu_millicores and needed.cpu_millicores:
        count = max(0, min(count, left[0] // needed.cpu_millicores))
    if account.limit.memory_mb and needed.memory_mb:
        count = max(0, min(count, left[1] // needed.memory_mb))
    left[0] -= count * needed.cpu_millicores
    left[1] -= count * needed.memory_mb
    return count


def _room_beside_long_running(backend: BackendState) -> Resources:
    """Returns what a host has left when all but its long-running tasks have ended."""
    if backend.report is None:
        return Resources()
    room = backend.report.room
    specs = [
        task.step.spec
        for task in backend.tasks_by_name.values()
        if task.step.spec.long_running
    ]
    return Resources(
        cpu_millicores=room.cpu_millicores
        - sum(occupied_cpu_millicores(spec) for spec in specs),
        memory_mb=room.memory_mb - sum(spec.resources.memory_mb for spec in specs),
        accelerators=room.accelerators
        - sum(spec.resources.accelerators for spec in specs),
    )


def _fits(spec: StepSpec, room: Resources) -> bool:
    return (
        occupied_cpu_millicores(spec) <= room.cpu_millicores
        and spec.resources.memory_mb <= room.memory_mb
        and spec.resources.accelerators <= room.accelerators
    )


def pool_need(
    backends: list[BackendState],
    steps: list[StepState],
    expected_millicores: float,
    predicted_millicores: float,
    now_ms: int,
) -> PoolNeed:
    """Returns how many hosts a pool needs for its running and startable tasks.

    `expected_millicores` is what the jobs that arrive now will keep in use, and
    `predicted_millicores` what those of a surge that is about to begin will.
    """
    if not backends:
        count = MIN_HOSTS if steps or expected_millicores else 0
        return PoolNeed(in_time=count, unplaced=count)
    work = _work_of(backends, steps, now_ms)
    reports = [backend.report for backend in backends if backend.report]
    size = _Amounts(
        sum(report.room.cpu_millicores for report in reports) / len(reports),
        sum(report.room.memory_mb for report in reports) / len(reports),
    )
    in_time = _Amounts(
        max(work.in_time.cpu_millicores, expected_millicores), work.in_time.memory_mb
    )
    needed = in_time.host_count(size)
    blocked = work.blocked.host_count(size, fill_share=1.0)
    if blocked:
        needed = max(needed, len(backends) + blocked)
    all_needed = max(needed, in_time.plus(work.late).host_count(size))
    if work.is_late_blocked:
        # One host at a time suffices for jobs that are late anyway.
        all_needed = max(all_needed, len(backends) + 1)
    predicted = _Amounts(predicted_millicores).host_count(size)
    return PoolNeed(
        in_time=needed,
        predicted=max(0, predicted - needed),
        late=all_needed - needed,
        minimum=MIN_HOSTS,
        unplaced=work.unplaced.host_count(size, fill_share=1.0),
    )


def _work_of(
    backends: list[BackendState], steps: list[StepState], now_ms: int
) -> _Work:
    """Sorts the tasks that run or may start by whether their jobs can end in time."""
    work = _Work()
    tiers_by_job_id: dict[str, int] = {}

    def tier_of(state: JobState) -> int:
        job_id = state.job.job_id
        if job_id not in tiers_by_job_id:
            tiers_by_job_id[job_id] = _ranking.tier(state, now_ms)
        return tiers_by_job_id[job_id]

    for backend in backends:
        for task in backend.tasks_by_name.values():
            is_late = tier_of(task.step.job) >= _ranking.LATE
            (work.late if is_late else work.in_time).add(task.step.spec, 1)
    rooms = [_room_beside_long_running(backend) for backend in backends]
    left_by_account: dict[str, list[int]] = {}
    for step in steps:
        count = _startable_count(step, left_by_account)
        is_blocked = count > 0 and not any(_fits(step.spec, room) for room in rooms)
        work.add_startable(step.spec, count, tier_of(step.job), is_blocked)
    return work


@dataclass(slots=True)
class _Work:
    """What the tasks of a pool occupy, by what they are for."""

    # Running and startable tasks of jobs that can end in time, and of late ones.
    in_time: _Amounts = field(default_factory=lambda: _Amounts())
    late: _Amounts = field(default_factory=lambda: _Amounts())
    # Startable tasks of jobs that can end in time.
    unplaced: _Amounts = field(default_factory=lambda: _Amounts())
    # Those that no host of the pool can take even when its short tasks have ended.
    blocked: _Amounts = field(default_factory=lambda: _Amounts())
    # Whether this holds for a task of a job that cannot end in time.
    is_late_blocked: bool = False

    def add_startable(
        self, spec: StepSpec, count: int, tier: int, is_blocked: bool
    ) -> None:
        """Adds startable tasks of a step."""
        if tier >= _ranking.LATE:
            self.is_late_blocked = self.is_late_blocked or is_blocked
            if tier == _ranking.LATE:
                self.late.add(spec, count)
            return
        self.in_time.add(spec, count)
        self.unplaced.add(spec, count)
        if is_blocked:
            self.blocked.add(spec, count)


@dataclass(slots=True)
class _Amounts:
    """Processor and memory that tasks occupy."""

    cpu_millicores: float = 0
    memory_mb: float = 0

    def add(self, spec: StepSpec, count: int) -> None:
        """Adds what a number of tasks of a step occupy."""
        self.cpu_millicores += count * occupied_cpu_millicores(spec)
        self.memory_mb += count * spec.resources.memory_mb

    def plus(self, other: _Amounts) -> _Amounts:
        """Returns the sum of both amounts."""
        return _Amounts(
            self.cpu_millicores + other.cpu_millicores, self.memory_mb + other.memory_mb
        )

    def host_count(self, size: _Amounts, fill_share: float = FILL_SHARE) -> int:
        """Returns how many hosts of a size are needed, filled up to a share."""
        return math.ceil(
            max(
                self.cpu_millicores / max(1.0, size.cpu_millicores * fill_share),
                self.memory_mb / max(1.0, size.memory_mb * fill_share),
            )
        )
