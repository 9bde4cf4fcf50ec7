"""Applies reports of backend servers to the state of the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import (
    _crashes,
    _ends,
    _late_starts,
    _lifetimes,
    _losses,
    _neighbours,
    _strays,
)
from dandelionknot.jobs._generated import (
    EndReason,
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

# Most ends that the platform lists in one report. If a report lists that many, further
# ends may be missing from it.
MAX_ENDS_LISTED = 500
# A run counts as ended if this many successive reports do not list it. One such report
# is not enough, since responses on different connections may overtake each other.
REPORTS_UNTIL_MISSING = 2
# Time from the deadline of a start, on the clock of the backend server, until a run
# that is not listed has certainly not started.
START_DEADLINE_MARGIN_MS = 250
# A backend server ends at once when its host is ordered down. It goes on if it answers
# a call that was made this long after the order was accepted.
ENDING_MS = 1000
# Reasons of ends that no order caused.
OWN_ENDS = frozenset({EndReason.DONE, EndReason.FAILED})


def apply(
    scheduler: Scheduler,
    backend: BackendState,
    report: HoldReport,
    sent_ms: int,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Applies a report of a backend server that accepted this term's fencing token.

    The report lists the tasks that run and those that have ended.
    """
    if report.born_ms and backend.born_ms and report.born_ms != backend.born_ms:
        _lifetimes.take_over_runs(scheduler, backend, report, now_ms)
        scheduler.contact_lost(
            backend,
            OrderOutcome.OTHER_LIFETIME,
            now_ms,
            now_ms,
            answered_born_ms=report.born_ms,
        )
        return
    _lifetimes.answered(scheduler, backend, report, sent_ms, now_ms, unix_ms)
    backend.fenced = True
    backend.lapses_at_ms = None
    backend.lease_lapsed = False
    backend.last_contact_ms = backend.last_sign_ms = now_ms
    backend.recent_runs_by_name = None
    _losses.lifetime_answered(scheduler, backend)
    if not backend.reachable:
        backend.reachable = True
        scheduler.note(
            Event.HOST_REACHED,
            {'backend_id': backend.backend_id, 'born_ms': backend.born_ms},
        )
    if backend.ending and sent_ms >= backend.ending_since_ms + ENDING_MS:
        backend.ending = False
        scheduler.note(
            Event.BACKEND_GOES_ON,
            {'backend_id': backend.backend_id, 'host_id': backend.host_id},
        )
    _apply_ends(scheduler, backend, report, now_ms, unix_ms)
    running = {row.task_name: row for row in report.running}
    if report.complete:
        _strays.forget_ended(backend, running)
    for row in report.running:
        _apply_running(scheduler, backend, row, sent_ms, now_ms)
    if not report.complete:
        backend.lists_incomplete = True
    if len(report.ended) < MAX_ENDS_LISTED and not backend.lists_incomplete:
        _requeue_missing(scheduler, backend, running, sent_ms, report.clock_ms)
    if report.complete:
        _neighbours.sample(scheduler, backend, now_ms)


def _apply_ends(
    scheduler: Scheduler,
    backend: BackendState,
    report: HoldReport,
    now_ms: int,
    unix_ms: int,
) -> None:
    for ended in report.ended:
        if ended.number <= backend.seen_end:
            continue
        _check_numbers(scheduler, backend, ended.number)
        backend.seen_end = ended.number
        backend.listed_ms_by_end[ended.number] = now_ms
        task = _find_task(scheduler, ended.task_name)
        if task is not None:
            own = ended.reason in OWN_ENDS
            _crashes.run_ended(scheduler, backend, task, ended.run, own)
            _ends.apply_end(scheduler, backend, task, ended, now_ms, unix_ms)


def _check_numbers(scheduler: Scheduler, backend: BackendState, number: int) -> None:
    """Logs ends before a numbered one that were never listed.

    A former leader may have acknowledged those of a lifetime that it knew.
    """
    missing = number - backend.seen_end - 1
    if missing and (backend.seen_end or not backend.known_at_begin):
        scheduler.note(
            Event.ENDS_MISSING,
            {
                'backend_id': backend.backend_id,
                'born_ms': backend.born_ms,
                'missing': missing,
                'next_end': number,
            },
        )


def _find_task(scheduler: Scheduler, name: str) -> TaskState | None:
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
        task = _find_task(scheduler, row.task_name)
        if task is None or not _strays.adopt(scheduler, backend, task, row.run, now_ms):
            _strays.stop(scheduler, backend, row, task)
            return
    _crashes.withdraw_crash(scheduler, backend, task, row.run)
    task.in_later_lifetime = False
    task.step.job.begun = True
    _late_starts.note_found(task, backend)
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
    if task.suspected:
        _crashes.run_survives(scheduler, task, now_ms)
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    if task.stopping and task.confirmed_at_ms < sent_ms:
        # The stop order may have been lost. A second one has no further effect.
        scheduler.commands.append(stop_command(backend, task.name, task.run))


def _requeue_missing(
    scheduler: Scheduler,
    backend: BackendState,
    running: dict[str, RunningTask],
    sent_ms: int,
    clock_ms: int,
) -> None:
    """Requeues tasks that should run but are not reported as running or ended.

    `clock_ms` is the time of the report on the clock of the backend server.
    """
    for task in list(backend.tasks_by_name.values()):
        if task.name in running:
            continue
        if task.unconfirmed:
            # The backend server has accepted the fencing token of this term and rejects
            # starts of a former term. A later lifetime may still carry it out.
            _late_starts.note_not_carried_out(scheduler, task, backend)
            scheduler.requeue(task, 'run not reported to the new leader')
        elif _has_missed_start(task, clock_ms):
            scheduler.requeue(task, 'its start was not carried out in time')
        elif _waits_for_stop(task):
            # It may have been lost with a former link.
            scheduler.commands.append(stop_command(backend, task.name, task.run))
        elif task.phase is not TaskPhase.PLACED and task.confirmed_at_ms < sent_ms:
            task.missing_reports += 1
            if task.missing_reports >= REPORTS_UNTIL_MISSING:
                scheduler.requeue(
                    task, 'run missing from reports of its backend server'
                )


def _waits_for_stop(task: TaskState) -> bool:
    """Whether only a stop shows that a run that is not listed can no longer start."""
    return (
        task.phase is TaskPhase.PLACED
        and task.start_sent
        and task.stopping
        and not task.start_deadline_ms
    )


def _has_missed_start(task: TaskState, clock_ms: int) -> bool:
    """Whether a run that is not listed can no longer start.

    Its start was not answered, and whether it was stopped is not known.
    """
    deadline_ms = task.start_deadline_ms
    return (
        task.phase is TaskPhase.PLACED
        and deadline_ms > 0
        and clock_ms > deadline_ms + START_DEADLINE_MARGIN_MS
    )
