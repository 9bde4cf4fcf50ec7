"""Moves tasks off backend servers that are about to leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.jobs._maintenance import evict_if_allowed
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# A task that saves its progress is stopped, to go on elsewhere, if its host
# leaves within this time.
CHECKPOINT_BEFORE_MS = 1200


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Stops what has to go on elsewhere; other tasks end where they are."""
    for backend in scheduler.backends_by_id.values():
        if backend.report is None or not backend.report.draining:
            backend.leaves_at_ms = 0
            continue
        if not backend.leaves_at_ms:
            backend.leaves_at_ms = now_ms + backend.report.remaining_ms
        for task in list(backend.tasks_by_name.values()):
            _move(scheduler, backend, task, now_ms)


def _move(
    scheduler: Scheduler, backend: BackendState, task: TaskState, now_ms: int
) -> None:
    if task.step.spec.long_running:
        evict_if_allowed(scheduler, task, 'the backend server is leaving')
        return
    leaving = backend.leaves_at_ms - now_ms < CHECKPOINT_BEFORE_MS
    running = task.phase is TaskPhase.RUNNING and not task.stopping
    if leaving and running and task.step.spec.checkpoints and task.percent < 100:
        scheduler.stop(task, 'the backend server is leaving')
