"""Stops tasks on draining backend servers, so that they run elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.jobs._maintenance import evict_if_allowed
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# A task that saves checkpoints is stopped if its backend server may leave within this
# time. It then resumes elsewhere from its checkpoint.
CHECKPOINT_BEFORE_MS = 1200


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Stops the tasks on draining backend servers that have to run elsewhere.

    Long-running tasks are stopped as soon as their step allows it. Tasks that save
    checkpoints are stopped shortly before the backend server leaves. Other tasks are
    left to end on their own.
    """
    for backend in scheduler.backends_by_id.values():
        if backend.report is None or not backend.report.draining:
            backend.leaves_at_ms = 0
            continue
        if not backend.leaves_at_ms:
            backend.leaves_at_ms = now_ms + backend.report.remaining_ms
        for task in list(backend.tasks_by_name.values()):
            _stop_if_needed(scheduler, backend, task, now_ms)


def _stop_if_needed(
    scheduler: Scheduler, backend: BackendState, task: TaskState, now_ms: int
) -> None:
    if task.step.spec.long_running:
        evict_if_allowed(scheduler, task, 'the backend server is leaving')
        return
    leaving = backend.leaves_at_ms - now_ms < CHECKPOINT_BEFORE_MS
    running = task.phase is TaskPhase.RUNNING and not task.stopping
    if leaving and running and task.step.spec.checkpoints and task.percent < 100:
        scheduler.stop(task, 'the backend server is leaving')
