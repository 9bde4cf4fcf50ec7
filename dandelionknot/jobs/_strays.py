"""Handles runs that a backend server lists although none was expected there.

Such a run may have been started late, or its task was requeued because the run counted
as lost. The latest run of a task that waits goes on. Any other is stopped, and its task
is not placed until it has ended.
"""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _crashes
from dandelionknot.jobs._generated import RunningTask
from dandelionknot.jobs._records import job_id_of
from dandelionknot.jobs._state import (
    BackendState,
    TaskPhase,
    TaskState,
    assign,
    stop_command,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler


def adopt(
    scheduler: Scheduler, backend: BackendState, task: TaskState, run: int, now_ms: int
) -> bool:
    """Assigns a listed run to its task if that waits; returns whether it did.

    The members of a gang end together, so none of them goes on alone.
    """
    if (
        task.phase is not TaskPhase.WAITING
        or task.backend is not None
        or task.run != run
        or task.step.spec.gang
        or task.step.job.final
        or must_wait(scheduler, task, now_ms)
    ):
        return False
    assign(task, backend)
    task.pace_known = False
    task.phase = TaskPhase.RUNNING
    task.start_sent = True
    task.started_at_ms = task.confirmed_at_ms = task.progressed_at_ms = now_ms
    scheduler.mark_dirty(task.step.job)
    scheduler.note(Event.RUN_ADOPTED, _fields(backend, task.name, run))
    return True


def stop(
    scheduler: Scheduler,
    backend: BackendState,
    row: RunningTask,
    task: TaskState | None,
) -> None:
    """Stops a listed run: an earlier one of its task, or one of a job that has ended.

    `task` is None if its job is not known.
    """
    assigned_to = task.backend.backend_id if task and task.backend else ''
    scheduler.note(
        Event.ORPHAN_STOPPED,
        _fields(backend, row.task_name, row.run)
        | {'latest_run': task.run if task else 0, 'assigned_to': assigned_to},
    )
    scheduler.commands.append(stop_command(backend, row.task_name, row.run))
    if task is None:
        return
    _crashes.withdraw_crash(scheduler, backend, task, row.run)
    task.stray_backends_by_id[backend.backend_id] = backend
    backend.stray_tasks_by_name[task.name] = task
    if task.phase is TaskPhase.PLACED and not task.start_sent:
        scheduler.stop(task, 'an earlier run has not ended')


def forget_ended(backend: BackendState, running: Container[str]) -> None:
    """Forgets stray runs that a report of their backend server does not list."""
    for name, task in list(backend.stray_tasks_by_name.items()):
        if name not in running:
            del backend.stray_tasks_by_name[name]
            if task.stray_backends_by_id.get(backend.backend_id) is backend:
                del task.stray_backends_by_id[backend.backend_id]


def must_wait(scheduler: Scheduler, task: TaskState, now_ms: int) -> bool:
    """Whether another run of a task may not have ended yet.

    A step with speculative tasks allows that.
    """
    return not task.step.spec.speculative and any(
        may_run(scheduler, backend, now_ms)
        for backend in task.stray_backends_by_id.values()
    )


def tasks_with_strays(scheduler: Scheduler, now_ms: int) -> set[TaskState]:
    """Returns the tasks of which another run than the current one may not have ended.

    Such a run counts towards the limit of its client account until its backend server
    reports its end, or until the lease has expired.
    """
    return {
        task
        for backend in scheduler.backends_by_id.values()
        if backend.stray_tasks_by_name and may_run(scheduler, backend, now_ms)
        for task in backend.stray_tasks_by_name.values()
    }


def may_run(scheduler: Scheduler, backend: BackendState, now_ms: int) -> bool:
    """Whether a lifetime of a backend server may still run tasks."""
    is_current = scheduler.backends_by_id.get(backend.backend_id) is backend
    lapses_at_ms = backend.lapses_at_ms
    return is_current and (lapses_at_ms is None or now_ms < lapses_at_ms)


def _fields(backend: BackendState, task_name: str, run: int) -> dict:
    return {
        'job_id': job_id_of(task_name),
        'task': task_name,
        'run': run,
        'backend_id': backend.backend_id,
        'born_ms': backend.born_ms,
    }
