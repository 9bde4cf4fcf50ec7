"""Finds tasks that stand still or lag, and backend servers that do no work."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

PLAN_EVERY_MS = 200
# A task without progress for so long, or for this share of its estimate, stands
# still. Progress is reported at least once a second.
STALLED_MS = 2500
STALLED_SHARE = 0.6
# No starts for a backend server on which a task stands still, for so long.
STALLED_PAUSE_MS = 4000
# A task lags if it has run for this multiple of the time of the others of its step
# and, by its progress, still needs more than the other multiple.
LAGGING_AFTER = 2.0
LAGGING_NEEDS = 1.5
# So many tasks of the step have to be done to compare with.
MIN_DONE = 2
# Starting again costs some time of its own.
RESTART_MS = 300


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Stops tasks that stand still, so that they run again elsewhere."""
    if now_ms - scheduler.planned_progress_ms < PLAN_EVERY_MS:
        return
    scheduler.planned_progress_ms = now_ms
    for backend in scheduler.backends_by_id.values():
        if not backend.reachable:
            continue
        for finds, reason in ((_lags, 'slower than others'), (_stalled, 'no progress')):
            found = [
                task
                for task in backend.tasks_by_name.values()
                if finds(task, backend, now_ms)
            ]
            if found:
                _run_elsewhere(scheduler, backend, found, reason, now_ms)


def _run_elsewhere(
    scheduler: Scheduler,
    backend: BackendState,
    tasks: list[TaskState],
    reason: str,
    now_ms: int,
) -> None:
    """Stops tasks and passes over their host for a while."""
    backend.avoid_until_ms = now_ms + STALLED_PAUSE_MS
    scheduler.note(
        Event.BACKEND_AVOIDED,
        {
            'backend_id': backend.backend_id,
            'reason': reason,
            'tasks': len(tasks),
            'for_ms': STALLED_PAUSE_MS,
        },
    )
    for task in tasks:
        scheduler.stop(task, reason)


def _stalled(task: TaskState, backend: BackendState, now_ms: int) -> bool:
    spec = task.step.spec
    if task.phase is not TaskPhase.RUNNING or task.stopping or task.unconfirmed:
        return False
    if spec.long_running or spec.gang or not task.progressed_at_ms:
        return False
    if task.percent >= 100 or task.pace_percent < 100:
        return False
    # Only progress that the backend server has had the time to report counts.
    since = backend.last_contact_ms - task.progressed_at_ms
    return since > max(STALLED_MS, int(STALLED_SHARE * spec.estimated_ms))


def _lags(task: TaskState, backend: BackendState, now_ms: int) -> bool:
    step = task.step
    if task.phase is not TaskPhase.RUNNING or task.stopping or task.unconfirmed:
        return False
    if step.spec.long_running or step.spec.gang or len(step.durations_ms) < MIN_DONE:
        return False
    if task.pace_percent < 100 or not 0 < task.percent < 100:
        return False
    usual_ms = median(step.durations_ms)
    # The percentage is as old as the last report.
    ran_ms = backend.last_contact_ms - task.confirmed_at_ms
    if ran_ms < LAGGING_AFTER * usual_ms + RESTART_MS:
        return False
    needs_ms = ran_ms * (100 - task.percent) / task.percent
    return needs_ms > LAGGING_NEEDS * usual_ms + RESTART_MS
