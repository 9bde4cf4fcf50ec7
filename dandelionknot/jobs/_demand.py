"""Computes how many hosts the tasks of a pool need."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dandelionknot.jobs import _ranking
from dandelionknot.jobs._allocation import PoolNeed
from dandelionknot.jobs._generated import StepSpec
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
    in_time, late = _Amounts(cpu_millicores=expected_millicores), _Amounts()
    running, unplaced = _Amounts(), _Amounts()
    left_by_account: dict[str, list[int]] = {}
    tiers_by_job_id: dict[str, int] = {}

    def tier_of(state: JobState) -> int:
        job_id = state.job.job_id
        if job_id not in tiers_by_job_id:
            tiers_by_job_id[job_id] = _ranking.tier(state, now_ms)
        return tiers_by_job_id[job_id]

    for backend in backends:
        for task in backend.tasks_by_name.values():
            is_late = tier_of(task.step.job) >= _ranking.LATE
            (late if is_late else running).add(task.step.spec, 1)
    for step in steps:
        tier = tier_of(step.job)
        if tier < _ranking.NO_LONGER_USEFUL:
            count = _startable_count(step, left_by_account)
            if tier == _ranking.LATE:
                late.add(step.spec, count)
            else:
                running.add(step.spec, count)
                unplaced.add(step.spec, count)
    in_time.raise_to(running)
    reports = [backend.report for backend in backends if backend.report]
    cpu_of_host = sum(r.room.cpu_millicores for r in reports) / len(reports)
    memory_of_host = sum(r.room.memory_mb for r in reports) / len(reports)
    all_work = _Amounts(
        in_time.cpu_millicores + late.cpu_millicores, in_time.memory_mb + late.memory_mb
    )
    needed = in_time.host_count(cpu_of_host, memory_of_host)
    predicted = _Amounts(predicted_millicores).host_count(cpu_of_host, memory_of_host)
    return PoolNeed(
        in_time=needed,
        predicted=max(0, predicted - needed),
        late=all_work.host_count(cpu_of_host, memory_of_host) - needed,
        minimum=MIN_HOSTS,
        unplaced=unplaced.host_count(cpu_of_host, memory_of_host, fill_share=1.0),
    )


@dataclass(slots=True)
class _Amounts:
    """Processor and memory that tasks occupy."""

    cpu_millicores: float = 0
    memory_mb: float = 0

    def add(self, spec: StepSpec, count: int) -> None:
        """Adds what a number of tasks of a step occupy."""
        self.cpu_millicores += count * occupied_cpu_millicores(spec)
        self.memory_mb += count * spec.resources.memory_mb

    def raise_to(self, other: _Amounts) -> None:
        """Raises each amount to the other one if that is higher."""
        self.cpu_millicores = max(self.cpu_millicores, other.cpu_millicores)
        self.memory_mb = max(self.memory_mb, other.memory_mb)

    def host_count(
        self,
        cpu_of_host: float,
        memory_of_host: float,
        fill_share: float = FILL_SHARE,
    ) -> int:
        """Returns how many hosts of a size are needed for the amounts."""
        return math.ceil(
            max(
                self.cpu_millicores / max(1.0, cpu_of_host * fill_share),
                self.memory_mb / max(1.0, memory_of_host * fill_share),
            )
        )
