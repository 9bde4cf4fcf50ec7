"""Applies the end of a run to its task, its step, its job and its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _late_starts, _neighbours
from dandelionknot.jobs._generated import EndedTask, EndReason, JobPhase
from dandelionknot.jobs._records import occurrence_count, task_measured
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    TaskPhase,
    TaskState,
    unassign,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Pause before a task is started again after its first failure. It doubles with each
# further failure.
RETRY_PAUSE_MS = 50
# Longest pause before a failed task is started again.
MAX_RETRY_PAUSE_MS = 2000
# Most failed runs that are stored for a task. A long-running task may fail any number
# of times, so the list needs a limit.
MAX_STORED_FAILED_RUNS = 32
# Time from the listing of an end from which its acknowledgement is logged as late.
LATE_ACKNOWLEDGEMENT_MS = 4000
# Once tasks of this many jobs have failed on a backend server in a row, no starts are
# sent to it for a while.
FAILING_JOBS_LIMIT = 3
# Time for which no starts are sent to a backend server on which tasks of that many jobs
# failed.
FAILING_PAUSE_MS = 4000


def apply_end(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    ended: EndedTask,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Applies the end of a run to its task.

    The end of an earlier run may be reported late. If that run has done the task, the
    task counts as done, and its later run is stopped.
    """
    state = task.step.job
    state.begun = True
    if ended.checkpoint and ended.run >= task.run:
        task.checkpoint = ended.checkpoint
    if ended.reason is EndReason.DONE:
        _late_starts.note_pending(scheduler, task, now_ms)
    if task.backend is backend and task.run == ended.run:
        _current_run_ended(scheduler, backend, task, ended, now_ms)
    if _is_last_end(task, ended):
        _late_starts.withhold_end(
            scheduler, backend, task, ended.number, now_ms, unix_ms
        )
    # An end that was stored but not acknowledged is reported again to the next leader.
    known = ended.reason is EndReason.FAILED and ended.run in task.failed_runs
    if known or state.final or task.phase is TaskPhase.DONE:
        return
    scheduler.note(
        Event.TASK_ENDED,
        {
            'job_id': state.job.job_id,
            'task': task.name,
            'run': ended.run,
            'backend_id': backend.backend_id,
            'reason': ended.reason.value,
            'failures': task.failures,
        },
    )
    if ended.reason is EndReason.DONE and not task.step.spec.long_running:
        backend.consecutive_failures = 0
        backend.has_done_tasks = True
        backend.failed_job_ids.clear()
        _task_done(scheduler, task, unix_ms)
    elif ended.reason is EndReason.FAILED:
        _task_failed(scheduler, backend, task, ended.run, now_ms, unix_ms)
    scheduler.mark_dirty(state)


def _current_run_ended(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    ended: EndedTask,
    now_ms: int,
) -> None:
    if ended.reason is EndReason.DONE and task.measured_from_ms:
        _measure(scheduler, task, now_ms - task.measured_from_ms, now_ms)
    unassign(task)
    _late_starts.note_found(task, backend)
    if task.phase is not TaskPhase.DONE:
        task.phase = TaskPhase.WAITING


def _is_last_end(task: TaskState, ended: EndedTask) -> bool:
    """Whether a run has done its task, or has failed and leaves it no attempt."""
    if ended.reason is EndReason.DONE:
        return True
    if ended.reason is not EndReason.FAILED or task.step.spec.long_running:
        return False
    failed_runs = {*task.failed_runs, ended.run}
    return len(failed_runs) >= task.step.job.queue.max_attempts


def acknowledged(
    scheduler: Scheduler, backend: BackendState, number: int, now_ms: int
) -> None:
    """Logs ends up to a number that were acknowledged long after they were listed."""
    waits_ms = [
        now_ms - backend.listed_ms_by_end.pop(end)
        for end in list(backend.listed_ms_by_end)
        if end <= number
    ]
    late_ms = [wait_ms for wait_ms in waits_ms if wait_ms >= LATE_ACKNOWLEDGEMENT_MS]
    if late_ms:
        scheduler.note(
            Event.ENDS_ACKNOWLEDGED_LATE,
            {
                'backend_id': backend.backend_id,
                'born_ms': backend.born_ms,
                'ends': len(late_ms),
                'longest_ms': max(late_ms),
            },
        )


def _measure(
    scheduler: Scheduler, task: TaskState, measured_ms: int, now_ms: int
) -> None:
    """Records the run time of a task that is done."""
    step = task.step
    _neighbours.run_measured(scheduler, task, measured_ms, now_ms)
    task_measured(step, measured_ms)
    scheduler.run_times.observe(
        step.job.queue.name,
        step.spec.estimated_ms,
        measured_ms,
        weight=1 / len(step.tasks),
    )


def _task_done(scheduler: Scheduler, task: TaskState, unix_ms: int) -> None:
    step = task.step
    # All members of a gang end together, so all are done as soon as one is.
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        if member.phase is TaskPhase.DONE:
            continue
        member.phase = TaskPhase.DONE
        step.done += 1
        if member.backend is not None and not step.spec.gang:
            scheduler.stop(member, 'an earlier run has done the task')
    end_job_if_done(scheduler, step.job, unix_ms)


def end_job_if_done(scheduler: Scheduler, state: JobState, unix_ms: int) -> None:
    """Ends a job as done if all tasks of all its occurrences are done."""
    if len(state.steps_by_occurrence) < occurrence_count(state.job):
        return
    for steps in state.steps_by_occurrence.values():
        if any(step.done < len(step.tasks) for step in steps):
            return
    if not state.final:
        end_job(scheduler, state, JobPhase.DONE, unix_ms)


def _task_failed(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    run: int,
    now_ms: int,
    unix_ms: int,
) -> None:
    task.failed_runs = [*task.failed_runs, run][-MAX_STORED_FAILED_RUNS:]
    pause = min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS << min(task.failures - 1, 10))
    task.not_before_ms = now_ms + pause
    _record_backend_failure(scheduler, backend, task, now_ms)
    _late_starts.note_failed(task, backend)
    state = task.step.job
    if task.step.spec.long_running or task.failures < state.queue.max_attempts:
        return
    end_job(scheduler, state, JobPhase.FAILED, unix_ms)


def _record_backend_failure(
    scheduler: Scheduler, backend: BackendState, task: TaskState, now_ms: int
) -> None:
    """Counts a failure on a backend server.

    No starts are sent to it for a while if tasks of several jobs failed in a row.
    """
    backend.consecutive_failures += 1
    backend.failed_job_ids.add(task.step.job.job.job_id)
    if len(backend.failed_job_ids) < FAILING_JOBS_LIMIT:
        return
    backend.avoid_until_ms = now_ms + FAILING_PAUSE_MS
    scheduler.note(
        Event.BACKEND_AVOIDED,
        {
            'backend_id': backend.backend_id,
            'reason': 'tasks of several jobs failed in a row',
            'failures': backend.consecutive_failures,
            'for_ms': FAILING_PAUSE_MS,
        },
    )


def end_job(
    scheduler: Scheduler, state: JobState, phase: JobPhase, unix_ms: int
) -> None:
    """Ends a job in a final phase and stops its tasks that still run."""
    state.phase = phase
    state.ended_unix_ms = unix_ms
    scheduler.open_jobs_by_id.pop(state.job.job_id, None)
    scheduler.ended.append((unix_ms, state.job.job_id))
    scheduler.mark_dirty(state)
    scheduler.note(
        Event.JOB_ENDED,
        {
            'job_id': state.job.job_id,
            'phase': phase.value,
            'queue': state.job.queue,
            'client_account': state.job.client_account,
            'job_age_ms': unix_ms - state.job.accepted_unix_ms,
            'objective_ms': state.due_ms - state.accepted_ms,
            **({'reason': state.end_reason} if state.end_reason else {}),
        },
    )
    for steps in state.steps_by_occurrence.values():
        for step in steps:
            for task in step.tasks:
                if task.backend is not None and task.phase is not TaskPhase.DONE:
                    scheduler.stop(task, f'job is {phase.value}')
