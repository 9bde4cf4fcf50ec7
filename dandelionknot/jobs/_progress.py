"""Finds stalled and lagging tasks and restarts them on other backend servers.

Both are guesses, from the estimate of the caller or from other tasks of the step. Each
restart of a task doubles the time after which the next one is considered, so that a
wrong guess delays a task and never keeps it from ending.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two checks.
PLAN_EVERY_MS = 200
# A task is stalled if it makes no progress for longer than both this time and this
# share of its estimated run time. Progress is reported at least once a second.
STALLED_MS = 2500
STALLED_SHARE = 0.6
# Time for which no starts are sent to a backend server with a stalled or lagging task.
STALLED_PAUSE_MS = 4000
# A task lags if two conditions hold. It has run for at least the first of these
# multiples of the median run time of those tasks of its step that are done. According
# to its progress, it still needs more than the second multiple of that time.
LAGGING_RUN_MULTIPLE = 2.0
LAGGING_REMAINING_MULTIPLE = 1.5
# Most doublings of these times.
MAX_DOUBLINGS = 16
# Fewest done tasks of a step whose median run time is used for comparison.
MIN_DONE_TASKS = 2
# Expected time that a restart costs. It is added to both limits, so that a task is
# restarted only if that saves time.
RESTART_MS = 300


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Stops stalled and lagging tasks, so that they run again elsewhere."""
    if now_ms - scheduler.last_progress_check_ms < PLAN_EVERY_MS:
        return
    scheduler.last_progress_check_ms = now_ms
    for backend in scheduler.backends_by_id.values():
        if not backend.reachable:
            continue
        for matches, reason in (
            (_is_lagging, 'slower than other tasks of its step'),
            (_is_stalled, 'no progress'),
        ):
            found = [
                task
                for task in backend.tasks_by_name.values()
                if matches(task, backend, now_ms)
            ]
            if found:
                _restart_elsewhere(scheduler, backend, found, reason, now_ms)


def _restart_elsewhere(
    scheduler: Scheduler,
    backend: BackendState,
    tasks: list[TaskState],
    reason: str,
    now_ms: int,
) -> None:
    """Stops tasks and sends no starts to their backend server for a while.

    The last backend server of a service that gets starts is not avoided.
    """
    if _has_alternative(scheduler, backend, now_ms):
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
        task.slow_runs += 1
        scheduler.mark_dirty(task.step.job)
        scheduler.stop(task, reason)


def _has_alternative(scheduler: Scheduler, backend: BackendState, now_ms: int) -> bool:
    """Whether another backend server of the same service gets starts."""
    return backend.report is None or any(
        other is not backend
        and other.report is not None
        and other.report.service == backend.report.service
        and other.reachable
        and not other.leaving
        and other.avoid_until_ms <= now_ms
        for other in scheduler.backends_by_id.values()
    )


def _patience(task: TaskState) -> int:
    """Returns the factor by which earlier restarts of a task lengthen its limits."""
    return 1 << min(task.slow_runs, MAX_DOUBLINGS)


def _is_stalled(task: TaskState, backend: BackendState, now_ms: int) -> bool:
    spec = task.step.spec
    if task.phase is not TaskPhase.RUNNING or task.stopping or task.unconfirmed:
        return False
    if spec.long_running or spec.gang or not task.progressed_at_ms:
        return False
    if task.percent >= 100 or task.pace_percent < 100:
        return False
    # The time after the last report is not counted, because progress that was made in
    # it is not reported yet.
    without_progress_ms = backend.last_contact_ms - task.progressed_at_ms
    limit_ms = max(STALLED_MS, int(STALLED_SHARE * spec.estimated_ms))
    return without_progress_ms > _patience(task) * limit_ms


def _is_lagging(task: TaskState, backend: BackendState, now_ms: int) -> bool:
    step = task.step
    if task.phase is not TaskPhase.RUNNING or task.stopping or task.unconfirmed:
        return False
    if (
        step.spec.long_running
        or step.spec.gang
        or len(step.durations_ms) < MIN_DONE_TASKS
    ):
        return False
    if task.pace_percent < 100 or not 0 < task.percent < 100:
        return False
    usual_ms = _patience(task) * median(step.durations_ms)
    # The percentage is from the last report, so the run time is counted up to then too.
    ran_ms = backend.last_contact_ms - task.confirmed_at_ms
    if ran_ms < LAGGING_RUN_MULTIPLE * usual_ms + RESTART_MS:
        return False
    left_ms = ran_ms * (100 - task.percent) / task.percent
    return left_ms > LAGGING_REMAINING_MULTIPLE * usual_ms + RESTART_MS
