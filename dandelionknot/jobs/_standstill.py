"""Finds jobs that have nothing running although a task is ready, and says why.

A job gets a log line once it has stood still for `LOGGED_AFTER_MS`, with what its first
ready task waits for, and another one when it runs again.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _crashes, _late_starts, _placement, _usability
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    StepState,
    TaskPhase,
    TaskState,
    tasks_of,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two checks.
PLAN_EVERY_MS = 500
# Time for which a job stands still until it is logged.
LOGGED_AFTER_MS = 1500


class Cause(StrEnum):
    """What a ready task of a job that stands still waits for."""

    BACKEND_LOST = 'end of a lost backend server'
    RECORD = 'record not stored'
    START = 'start not answered'
    STOP = 'stop not carried out'
    PAUSE = 'pause after a refusal'
    LATE_START = 'answer of a backend server that may carry out a start late'
    SUSPECTED = 'empty host, since it is suspected'
    WITHHELD = 'suspected task of its job'
    ADVICE = 'advice'
    NO_BACKEND = 'usable backend server'
    ACCOUNT_LIMIT = 'limit of the client account'
    ROOM = 'room'
    TURN = 'its turn'


def plan(
    scheduler: Scheduler,
    usable_by_service: dict[str, list[BackendState]],
    steps_by_service: dict[str, list[StepState]],
    now_ms: int,
) -> None:
    """Checks all open jobs, and logs those that stand still or run again.

    Both arguments are those of the planning round: the backend servers that get starts,
    and the steps with waiting tasks.
    """
    if now_ms - scheduler.last_standstill_check_ms < PLAN_EVERY_MS:
        return
    scheduler.last_standstill_check_ms = now_ms
    waiting_by_job_id: dict[str, list[tuple[str, StepState]]] = {}
    for service, steps in steps_by_service.items():
        for step in steps:
            job_id = step.job.job.job_id
            waiting_by_job_id.setdefault(job_id, []).append((service, step))
    withheld = _crashes.withheld_job_ids(scheduler)
    for job_id, state in scheduler.open_jobs_by_id.items():
        tasks = list(tasks_of(state))
        if any(_is_at_work(task) for task in tasks):
            ended(scheduler, state, now_ms)
            continue
        found = _assigned_cause(tasks)
        for service, step in waiting_by_job_id.get(job_id, []):
            found = found or _waiting_cause(
                scheduler,
                step,
                usable_by_service.get(service, []),
                job_id in withheld,
                now_ms,
            )
        if found is None:
            ended(scheduler, state, now_ms)
            continue
        state.standing_since_ms = state.standing_since_ms or now_ms
        _note_standing(scheduler, state, *found, now_ms)


def ended(scheduler: Scheduler, state: JobState, now_ms: int) -> None:
    """Records that a task of a job runs, or that none is ready.

    A run may begin and end between two checks, so each accepted start is reported here.
    """
    if state.standstill_cause:
        scheduler.note(
            Event.JOB_RUNS_AGAIN,
            {
                'job_id': state.job.job_id,
                'queue': state.job.queue,
                'cause': state.standstill_cause,
                'stood_ms': now_ms - state.standing_since_ms,
            },
        )
    state.standing_since_ms = 0
    state.standstill_cause = ''


def _is_at_work(task: TaskState) -> bool:
    return (
        task.phase is TaskPhase.RUNNING
        and not task.unconfirmed
        and task.backend is not None
        and task.backend.reachable
    )


def _assigned_cause(tasks: list[TaskState]) -> tuple[Cause, TaskState] | None:
    """Returns what the first task with a backend server waits for."""
    for task in tasks:
        if task.backend is None:
            continue
        if not task.backend.reachable:
            return Cause.BACKEND_LOST, task
        if task.stopping:
            return Cause.STOP, task
        return (Cause.START if task.start_sent else Cause.RECORD), task
    return None


def _waiting_cause(
    scheduler: Scheduler,
    step: StepState,
    usable: list[BackendState],
    withheld: bool,
    now_ms: int,
) -> tuple[Cause, TaskState] | None:
    """Returns what the first waiting task of a step waits for."""
    task = next((t for t in step.tasks if t.phase is TaskPhase.WAITING), None)
    if task is None:
        return None
    cause = Cause.TURN
    if withheld:
        cause = Cause.WITHHELD
    elif task.not_before_ms > now_ms:
        cause = Cause.PAUSE
    elif _late_starts.must_wait(scheduler, task, now_ms):
        cause = Cause.LATE_START
    elif not usable:
        cause = Cause.NO_BACKEND
    elif not _placement.is_within_limit(step.job.account, step.spec.resources):
        cause = Cause.ACCOUNT_LIMIT
    elif task.suspected:
        cause = Cause.SUSPECTED
    elif not any(_placement.can_take(backend, step) for backend in usable):
        cause = Cause.ROOM
    elif step.job.queue.needs_advice and not any(
        backend.backend_id in step.tickets_by_backend_id
        and _placement.can_take(backend, step)
        for backend in usable
    ):
        cause = Cause.ADVICE
    return cause, task


def _note_standing(
    scheduler: Scheduler, state: JobState, cause: Cause, task: TaskState, now_ms: int
) -> None:
    stands_ms = now_ms - state.standing_since_ms
    if state.standstill_cause or stands_ms < LOGGED_AFTER_MS:
        return
    state.standstill_cause = cause.value
    fields = {
        'job_id': state.job.job_id,
        'queue': state.job.queue,
        'client_account': state.job.client_account,
        'stands_ms': stands_ms,
        'cause': cause.value,
        'task': task.name,
        'run': task.run,
    }
    if task.backend is None:
        service = state.queue.service
        fields['unusable'] = _usability.unusable_counts(scheduler, service, now_ms)
    else:
        lapses_at_ms = task.backend.lapses_at_ms
        fields |= {
            'backend_id': task.backend.backend_id,
            'host_id': task.backend.host_id,
            'hosts_listed_ms_ago': now_ms - scheduler.hosts_listed_ms,
            'lapses_in_ms': None if lapses_at_ms is None else lapses_at_ms - now_ms,
            'reached_in_this_term': task.backend.fenced,
        }
    scheduler.note(Event.JOB_STANDS_STILL, fields)
