"""Paces tasks that use idle capacity, so that they do not slow serving tasks.

A serving task has a latency objective. The reading that its backend server reports is
compared with it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import PaceTask
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two adjustments of the pace.
PLAN_EVERY_MS = 400
# If a serving task reaches this share of its latency objective, tasks that use idle
# capacity are slowed.
SLOW_AT_SHARE = 0.9
# If all serving tasks stay below this share of their latency objectives, the pace of
# tasks that use idle capacity is raised.
RAISE_BELOW_SHARE = 0.65
# Percentage points by which the pace is raised in one adjustment.
RAISE_STEP_PERCENT = 20
# A task that is slowed gets half of its pace, but at most half of this pace.
SLOWED_PERCENT = 40


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Adjusts the pace of all tasks that use idle capacity."""
    if now_ms - scheduler.last_pacing_ms < PLAN_EVERY_MS:
        return
    scheduler.last_pacing_ms = now_ms
    for backend in scheduler.backends_by_id.values():
        if backend.reachable and backend.tasks_by_name:
            _plan_backend(scheduler, backend)


def _plan_backend(scheduler: Scheduler, backend: BackendState) -> None:
    idle_capacity_tasks = []
    worst_share = 0.0
    for task in backend.tasks_by_name.values():
        if task.phase is not TaskPhase.RUNNING or task.stopping or task.unconfirmed:
            continue
        spec = task.step.spec
        if spec.uses_idle_capacity:
            idle_capacity_tasks.append(task)
        elif spec.latency_objective_ms:
            worst_share = max(worst_share, task.reading / spec.latency_objective_ms)
    for task in idle_capacity_tasks:
        percent = _next_pace_percent(task.pace_percent, worst_share)
        if percent != task.pace_percent or not task.pace_known:
            _pace(scheduler, backend, task, percent, worst_share)


def _next_pace_percent(current: int, worst_share: float) -> int:
    """Returns the next pace of a task that uses idle capacity, in percent.

    `worst_share` is the largest share that a serving task on the same backend server
    reaches of its latency objective. From 1.0 on, the pace is 0.
    """
    if worst_share >= 1.0:
        return 0
    if worst_share >= SLOW_AT_SHARE:
        return min(current, SLOWED_PERCENT) // 2
    if worst_share < RAISE_BELOW_SHARE:
        return min(100, current + RAISE_STEP_PERCENT)
    return current


def _pace(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    percent: int,
    worst_share: float,
) -> None:
    task.pace_percent, task.pace_known = percent, True
    scheduler.note(
        Event.TASK_PACED,
        {
            'job_id': task.step.job.job.job_id,
            'task': task.name,
            'backend_id': backend.backend_id,
            'percent': percent,
            'share_of_objective': round(worst_share, 2),
        },
    )
    scheduler.commands.append(
        PaceTask(
            backend_id=backend.backend_id,
            born_ms=backend.born_ms,
            task_name=task.name,
            run=task.run,
            percent=percent,
        )
    )
