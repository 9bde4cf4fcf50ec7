"""Finds tasks that stand still and backend servers that do no work."""

from __future__ import annotations

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


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Stops tasks that stand still, so that they run again elsewhere."""
    if now_ms - scheduler.planned_progress_ms < PLAN_EVERY_MS:
        return
    scheduler.planned_progress_ms = now_ms
    for backend in scheduler.backends_by_id.values():
        if not backend.reachable:
            continue
        stalled = [
            task
            for task in backend.tasks_by_name.values()
            if _stalled(task, backend, now_ms)
        ]
        if not stalled:
            continue
        backend.avoid_until_ms = now_ms + STALLED_PAUSE_MS
        scheduler.note(
            Event.BACKEND_AVOIDED,
            {
                'backend_id': backend.backend_id,
                'reason': 'tasks stand still',
                'tasks': len(stalled),
                'for_ms': STALLED_PAUSE_MS,
            },
        )
        for task in stalled:
            scheduler.stop(task, 'no progress')


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
