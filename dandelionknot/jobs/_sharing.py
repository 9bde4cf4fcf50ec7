"""Paces tasks that use idle capacity where they slow tasks that serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import PaceTask
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Readings are taken this often.
PLAN_EVERY_MS = 400
# Above this share of its latency objective, a serving task is relieved at once;
# below the lower one, the others may work a little more.
RELIEVE_AT = 0.9
RESUME_BELOW = 0.65
RESUME_STEP_PERCENT = 20
SLOWED_PERCENT = 40


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Adapts the pace of all tasks that use idle capacity."""
    if now_ms - scheduler.planned_sharing_ms < PLAN_EVERY_MS:
        return
    scheduler.planned_sharing_ms = now_ms
    for backend in scheduler.backends_by_id.values():
        if backend.reachable and backend.tasks_by_name:
            _plan_backend(scheduler, backend)


def _plan_backend(scheduler: Scheduler, backend: BackendState) -> None:
    fillers = []
    worst = 0.0
    for task in backend.tasks_by_name.values():
        if task.phase is not TaskPhase.RUNNING or task.stopping:
            continue
        spec = task.step.spec
        if spec.uses_idle_capacity:
            fillers.append(task)
        elif spec.latency_objective_ms:
            worst = max(worst, task.reading / spec.latency_objective_ms)
    for task in fillers:
        percent = _percent(task.pace_percent, worst)
        if percent != task.pace_percent:
            _pace(scheduler, backend, task, percent, worst)


def _percent(current: int, worst: float) -> int:
    """Returns the next pace for a load of the serving tasks."""
    if worst >= 1.0:
        return 0
    if worst >= RELIEVE_AT:
        return min(current, SLOWED_PERCENT) // 2
    if worst < RESUME_BELOW:
        return min(100, current + RESUME_STEP_PERCENT)
    return current


def _pace(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    percent: int,
    worst: float,
) -> None:
    task.pace_percent = percent
    scheduler.note(
        Event.TASK_PACED,
        {
            'job_id': task.step.job.job.job_id,
            'task': task.name,
            'backend_id': backend.backend_id,
            'percent': percent,
            'share_of_objective': round(worst, 2),
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
