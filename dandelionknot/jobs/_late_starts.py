"""Tracks starts without an answer that a backend server may still carry out.

The platform may carry out a call without an answer seconds later. In the lifetime of
the backend server to which a start was sent, a stop, a newer fencing token or the
deadline of the start bars it. A later lifetime under the same id has seen none of
these, so it carries the start out, unless it has accepted a call with a newer token.
A task with such an open start is therefore placed again only when the backend server
has answered, or when a run that it may have begun unseen has certainly ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from dandelionknot.jobs import _lifetimes, _placement, _strays
from dandelionknot.jobs._leases import max_later_lease_ms
from dandelionknot.jobs._state import (
    BackendState,
    LateStart,
    TaskPhase,
    TaskState,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Longest time after which the platform carries out a call without an answer.
LATE_CALL_MS = 12_000
# Longest time from the placement of a run until the last try of its start.
SENDING_MS = 3000
# Time for which a task waits at the begin of a term if its start may be open, but no
# try without an answer is known.
ASSUMED_WAIT_MS = 2000


def note_unanswered(
    scheduler: Scheduler, task: TaskState, backend: BackendState, tried_ms: int
) -> None:
    """Records that a try of a task's start, at a local time, was not answered."""
    if task.step.job.final:
        return
    until_ms = tried_ms + LATE_CALL_MS
    starts_by_backend_id = task.late_starts_by_backend_id
    start = starts_by_backend_id.setdefault(backend.backend_id, LateStart(0, 0))
    start.is_assumed = False
    if until_ms <= start.until_ms:
        return
    start.until_ms = until_ms
    start.until_unix_ms = until_ms + scheduler.planned_unix_ms - scheduler.planned_ms
    scheduler.late_start_tasks_by_name[task.name] = task
    scheduler.mark_dirty(task.step.job)


def restored(
    scheduler: Scheduler, tasks: Iterable[TaskState], now_ms: int, unix_ms: int
) -> None:
    """Restores the open starts of a job's tasks from the times in its record.

    The tries of a former leader that no record names are those made right before its
    end, so the start of a run that was placed lately counts as open. The backend server
    may have been lost before this term.
    """
    longest_ms = max_later_lease_ms(scheduler.hold_max_ms)
    for task in tasks:
        if task.backend is not None and task.unconfirmed:
            until_unix_ms = task.placed_unix_ms + SENDING_MS + LATE_CALL_MS
            task.late_starts_by_backend_id.setdefault(
                task.backend.backend_id, LateStart(0, until_unix_ms, is_assumed=True)
            )
        for start in task.late_starts_by_backend_id.values():
            left_ms = start.until_unix_ms - unix_ms
            start.until_ms = now_ms + min(left_ms, SENDING_MS + LATE_CALL_MS)
            wait_ms = ASSUMED_WAIT_MS if start.is_assumed else longest_ms
            start.waits_until_ms = now_ms + wait_ms
        if task.late_starts_by_backend_id:
            scheduler.late_start_tasks_by_name[task.name] = task


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Forgets starts that can no longer be carried out, and tasks that have ended."""
    for name, task in list(scheduler.late_start_tasks_by_name.items()):
        is_over = task.phase is TaskPhase.DONE or task.step.job.final
        task.late_starts_by_backend_id = {
            backend_id: start
            for backend_id, start in task.late_starts_by_backend_id.items()
            if now_ms < start.until_ms and not is_over
        }
        if not task.late_starts_by_backend_id:
            del scheduler.late_start_tasks_by_name[name]


def note_requeued(scheduler: Scheduler, task: TaskState, now_ms: int) -> None:
    """Records until when a task waits for the backend servers of its open starts.

    The state of a backend server without tasks may be forgotten before it answers.
    """
    backend = task.backend
    if backend is None:
        return
    if task.start_sent and task.phase is TaskPhase.PLACED and not task.unconfirmed:
        note_unanswered(scheduler, task, backend, now_ms)
    for backend_id, start in task.late_starts_by_backend_id.items():
        state = scheduler.backends_by_id.get(backend_id)
        if backend_id == backend.backend_id:
            state = backend
        if state is not None and not state.reachable and not start.is_assumed:
            start.waits_until_ms = _lifetimes.later_lapses_at_ms(
                scheduler, state, now_ms
            )


def must_wait(scheduler: Scheduler, task: TaskState, now_ms: int) -> bool:
    """Whether a run of a waiting task may be under way.

    It is one that is being stopped, or one that a backend server may have begun unseen
    in a later lifetime. A step with speculative tasks allows that.
    """
    if task.step.spec.speculative:
        return False
    return _strays.must_wait(scheduler, task, now_ms) or any(
        _may_run_unseen(scheduler, backend_id, start, now_ms)
        for backend_id, start in task.late_starts_by_backend_id.items()
    )


def _may_run_unseen(
    scheduler: Scheduler, backend_id: str, start: LateStart, now_ms: int
) -> bool:
    state = scheduler.backends_by_id.get(backend_id)
    if state is not None and state.reachable and state.fenced:
        return False
    if state is not None and state.lost_at_ms and not start.is_assumed:
        waits_until_ms = _lifetimes.later_lapses_at_ms(scheduler, state, now_ms)
        return now_ms < max(waits_until_ms, start.waits_until_ms)
    return now_ms < start.waits_until_ms


def preferred_backend(
    task: TaskState, backends: Iterable[BackendState]
) -> BackendState | None:
    """Returns a usable backend server with an open start of a task, or None.

    There, a run of the task bars the start if the backend server crashes once more:
    nothing runs elsewhere meanwhile.
    """
    return next(
        (
            backend
            for backend in backends
            if backend.backend_id in task.late_starts_by_backend_id
            and _placement.can_take(backend, task.step)
        ),
        None,
    )
