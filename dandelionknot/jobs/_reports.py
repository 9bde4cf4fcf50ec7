"""Compares what a backend server reports with what the scheduler believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _ends
from dandelionknot.jobs._generated import (
    HoldReport,
    OrderOutcome,
    RunningTask,
)
from dandelionknot.jobs._records import find_task, job_id_of
from dandelionknot.jobs._state import (
    BackendState,
    TaskPhase,
    TaskState,
    stop_command,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# The platform lists at most so many ends at a time; a full list may hide others.
MAX_ENDS_LISTED = 500
# Responses on different connections overtake each other, so that one report
# without a run does not show that the run has ended.
REPORTS_UNTIL_MISSING = 2


def apply(
    scheduler: Scheduler,
    backend: BackendState,
    report: HoldReport,
    sent_ms: int,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Takes the lists of a backend server that accepted this term's token."""
    if report.born_ms and backend.born_ms and report.born_ms != backend.born_ms:
        scheduler.contact_lost(backend, OrderOutcome.OTHER_LIFETIME, now_ms)
        return
    backend.fenced = True
    backend.lapses_at_ms = None
    backend.last_contact_ms = now_ms
    if not backend.reachable:
        backend.reachable = True
        scheduler.note(Event.HOST_REACHED, {'backend_id': backend.backend_id})
    ended_names = set()
    for ended in report.ended:
        ended_names.add((ended.task_name, ended.run))
        if ended.number <= backend.seen_end:
            continue
        backend.seen_end = ended.number
        task = _find(scheduler, ended.task_name)
        if task is not None:
            _ends.apply_end(scheduler, backend, task, ended, now_ms, unix_ms)
    running = {row.task_name: row for row in report.running}
    for row in report.running:
        _apply_running(scheduler, backend, row, sent_ms, now_ms)
    if len(report.ended) < MAX_ENDS_LISTED:
        _find_missing(scheduler, backend, running, sent_ms)


def _find(scheduler: Scheduler, name: str) -> TaskState | None:
    state = scheduler.jobs_by_id.get(job_id_of(name))
    return find_task(state, name) if state is not None else None


def _apply_running(
    scheduler: Scheduler,
    backend: BackendState,
    row: RunningTask,
    sent_ms: int,
    now_ms: int,
) -> None:
    task = backend.tasks_by_name.get(row.task_name)
    if task is None or task.run != row.run:
        # Nothing that is wanted: an earlier run, or a task of a job that has ended.
        scheduler.note(
            Event.ORPHAN_STOPPED,
            {
                'job_id': job_id_of(row.task_name),
                'task': row.task_name,
                'run': row.run,
                'backend_id': backend.backend_id,
            },
        )
        scheduler.commands.append(stop_command(backend, row.task_name, row.run))
        return
    if task.phase is TaskPhase.PLACED or task.unconfirmed:
        if task.phase is not TaskPhase.DONE:
            task.phase = TaskPhase.RUNNING
        task.unconfirmed = False
        task.confirmed_at_ms = task.progressed_at_ms = now_ms
    task.missing_reports = 0
    if row.percent != task.percent:
        task.percent = row.percent
        task.progressed_at_ms = now_ms
    task.reading = row.reading
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    if task.stopping and task.confirmed_at_ms < sent_ms:
        # The stop was accepted or lost; a further one does no harm.
        scheduler.commands.append(stop_command(backend, task.name, task.run))


def _find_missing(
    scheduler: Scheduler,
    backend: BackendState,
    running: dict[str, RunningTask],
    sent_ms: int,
) -> None:
    """Frees tasks that were believed to run and are on neither list."""
    for task in list(backend.tasks_by_name.values()):
        if task.name in running:
            continue
        if task.unconfirmed:
            # Starts of a former term are rejected by now.
            scheduler.requeue(task, 'not found by a new leader')
        elif task.phase is not TaskPhase.PLACED and task.confirmed_at_ms < sent_ms:
            task.missing_reports += 1
            if task.missing_reports >= REPORTS_UNTIL_MISSING:
                scheduler.requeue(task, 'run is not listed any more')
