"""Evidence about tasks that crash the backend servers on which they start.

A backend server that is lost tells nothing about the cause. What counts is which runs
began shortly before its last sign of life: a task that crashes its backend server does
so as it starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._state import BackendState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# A run began shortly before the loss of its backend server if its start was accepted
# within this time before the last sign of life.
RECENT_START_MS = 150
# Most tasks that one log line names.
MAX_NAMES_LOGGED = 5


def started_runs(backend: BackendState) -> list[TaskState]:
    """Returns the tasks whose runs a backend server has begun or may have begun."""
    return [task for task in backend.tasks_by_name.values() if task.start_sent]


def recent_starts(backend: BackendState) -> list[TaskState]:
    """Returns the tasks that began on a backend server shortly before it was lost.

    A start without an answer counts as recent. If this leader has had no contact with
    the backend server, the latest recorded start stands for the last sign of life.
    """
    started = started_runs(backend)
    last_sign_ms = max(
        [backend.last_sign_ms, *(task.started_at_ms for task in started)]
    )
    return [
        task
        for task in started
        if task.phase is TaskPhase.PLACED
        or task.started_at_ms >= last_sign_ms - RECENT_START_MS
    ]


def contact_lost(backend: BackendState, now_ms: int) -> None:
    """Records when contact was lost, and which runs had begun shortly before."""
    backend.lost_at_ms = now_ms
    backend.recent_runs_by_name = {
        task.name: task.run for task in recent_starts(backend)
    }


def backend_lost(scheduler: Scheduler, backend: BackendState, reason: str) -> None:
    """Records that no run of a lifetime of a backend server continues.

    `reason` says how that is known. It is called before the runs are requeued. A
    backend server that was leaving, or whose host was ordered away, has not crashed.
    """
    started = started_runs(backend)
    if backend.ending or backend.leaving or not started:
        return
    recent = recent_runs(backend)
    last_start_ms = max(task.started_at_ms for task in started)
    scheduler.note(
        Event.BACKEND_LOST,
        {
            'backend_id': backend.backend_id,
            'reason': reason,
            'tasks': len(started),
            'recent_starts': len(recent),
            'recent_tasks': [task.name for task in recent[:MAX_NAMES_LOGGED]],
            'alive_after_last_start_ms': max(0, backend.last_sign_ms - last_start_ms),
            'lost_after_last_start_ms': max(0, backend.lost_at_ms - last_start_ms),
        },
    )


def recent_runs(backend: BackendState) -> list[TaskState]:
    """Returns the tasks with a recent start when contact was lost, or now without it.

    Tasks that have been placed again since then are left out.
    """
    recorded = backend.recent_runs_by_name
    if recorded is None:
        return recent_starts(backend)
    return [
        task for task in started_runs(backend) if recorded.get(task.name) == task.run
    ]
