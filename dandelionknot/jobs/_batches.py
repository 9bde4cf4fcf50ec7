"""Batches of records to store, and the commands that may be sent once they are."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _late_starts
from dandelionknot.jobs._generated import (
    BorrowedHosts,
    HostOrder,
    JobPart,
    JobPhase,
    JobRecord,
    RepeatStart,
    StartOrder,
    StartTask,
    WaitingJobs,
    WaveRecord,
)
from dandelionknot.jobs._records import (
    digest_of,
    is_split,
    part_numbers,
    part_of,
    record_of,
)
from dandelionknot.jobs._state import BackendState, JobState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Command, Scheduler

# Most jobs deleted with one batch. Deleting a job takes three of the 32 entries that
# one write to the store can have.
MAX_DELETIONS = 6
# Most records in a batch that also deletes jobs, so that both fit into one write.
MAX_RECORDS_BESIDE_DELETIONS = 6
# Entries that a batch keeps for the records of jobs with many tasks, so that they are
# stored beside those of many others.
ENTRIES_FOR_PARTS = 8
# Size from which a batch takes no further part of a record. The link of an entry host
# may carry as little as 5 Mbit/s.
PARTS_BYTES = 131_072
# Most tasks that one log line names.
MAX_NAMES_LOGGED = 5
# Shortest time between two writes of the counts of waiting jobs, unless forecasts are
# written. Callers may receive counts that are up to two seconds old.
WAITING_INTERVAL_MS = 800
# A job that was placed counts as waiting again if none of its runs has begun after this
# time. Usually its first one begins within some milliseconds.
BEGIN_LIMIT_MS = 1000
# Time for which an order about a host stays recorded. It covers the handover time after
# a change of leader and the longest call to the platform.
ORDER_KEPT_MS = 5000
# Shortest time between two writes that only remove hosts from that record. They are
# made together with other records.
ORDERS_INTERVAL_MS = 1000
# Most waves whose progress is stored with one batch. Each takes two entries.
MAX_WAVES = 2


@dataclass(slots=True, frozen=True)
class PlacedRun:
    """A run of a task as a batch of records names it."""

    task: TaskState
    run: int
    backend: BackendState

    def is_current(self) -> bool:
        """Whether the task was not placed again since the batch was taken."""
        return self.task.run == self.run and self.task.backend is self.backend


@dataclass(slots=True)
class Batch:
    """Records to store with one write, and what follows once they are stored."""

    records_by_job_id: dict[str, JobRecord]
    # Runs whose start may be sent once the records are stored.
    starts: list[PlacedRun]
    # Backend servers with the number of their last end that is stored with this batch.
    ends_by_backend: list[tuple[BackendState, int]]
    waves_by_name: dict[str, WaveRecord] = field(default_factory=dict)
    wave_numbers_by_name: dict[str, int] = field(default_factory=dict)
    borrowed: BorrowedHosts | None = None
    waiting: WaitingJobs | None = None
    # Orders about hosts that may be sent once the hosts are stored as ordered.
    host_orders: list[HostOrder] = field(default_factory=list)
    deleted_job_ids: list[str] = field(default_factory=list)
    # Parts of the records of jobs with many tasks, by their numbers, and those to
    # delete since their jobs have ended.
    parts_by_job_id: dict[str, dict[int, JobPart]] = field(default_factory=dict)
    deleted_parts: list[tuple[str, int]] = field(default_factory=list)
    # Runs whose start may be repeated once the records are stored.
    repeats: list[PlacedRun] = field(default_factory=list)

    def has_writes(self) -> bool:
        """Whether anything has to be written to the store."""
        return bool(
            self.records_by_job_id
            or self.parts_by_job_id
            or self.deleted_parts
            or self.waves_by_name
            or self.borrowed is not None
            or self.waiting is not None
            or self.deleted_job_ids
        )

    def is_empty(self) -> bool:
        """Whether there is nothing to write, to start or to acknowledge."""
        return not (
            self.has_writes() or self.starts or self.repeats or self.ends_by_backend
        )


def take_batch(scheduler: Scheduler, limit: int, now_unix_ms: int) -> Batch:
    """Returns the records to store next, at most `limit` of them.

    The batch contains the ends of tasks that may then be acknowledged, but only if it
    leaves no record to store later. Otherwise, an end could be acknowledged before the
    record that shows it is stored.
    """
    batch = Batch({}, [], [])
    stored_ids = _take_records(scheduler, batch, limit)
    batch.starts = _take_placed_runs(scheduler, stored_ids)
    batch.repeats = _take_unanswered_runs(scheduler)
    if not scheduler.dirty_job_ids:
        batch.ends_by_backend = _late_starts.ends_to_acknowledge(
            scheduler, scheduler.planned_ms
        )
    names = sorted(scheduler.maintenance.dirty)[:MAX_WAVES]
    for name in names:
        wave = scheduler.maintenance.waves_by_name.get(name)
        if wave is not None:
            batch.waves_by_name[name] = wave.record()
            batch.wave_numbers_by_name[name] = wave.wave.number
    scheduler.maintenance.dirty.difference_update(names)
    entries = _entries(batch)
    batch.deleted_parts = _take_deleted_parts(scheduler, limit - entries)
    entries += len(batch.deleted_parts)
    batch.deleted_job_ids = _take_deletable(scheduler, entries, now_unix_ms)
    _take_host_orders(scheduler, batch, now_unix_ms)
    batch.waiting = _take_waiting(scheduler, now_unix_ms)
    return batch


def _take_records(scheduler: Scheduler, batch: Batch, limit: int) -> set[str]:
    """Adds the records of changed jobs; returns the ids of those wholly stored with it.

    Jobs with many tasks come last and take turns, so that none keeps others waiting.
    """
    split = {
        job_id: state
        for job_id in scheduler.dirty_job_ids
        if (state := scheduler.jobs_by_id.get(job_id)) and is_split(state)
    }
    kept = min(ENTRIES_FOR_PARTS, limit // 2) if split else 0
    job_ids = [job_id for job_id in scheduler.dirty_job_ids if job_id not in split]
    job_ids = job_ids[: limit - kept]
    for job_id in job_ids:
        del scheduler.dirty_job_ids[job_id]
        if job_id in scheduler.jobs_by_id:
            state = scheduler.jobs_by_id[job_id]
            batch.records_by_job_id[job_id] = _record_of(scheduler, state)
    stored_ids = set(job_ids)
    size_bytes = 0
    for job_id, state in split.items():
        if _entries(batch) >= limit or size_bytes >= PARTS_BYTES:
            break
        del scheduler.dirty_job_ids[job_id]
        taken_bytes, is_whole = _take_parts(
            scheduler, batch, state, limit - _entries(batch), PARTS_BYTES - size_bytes
        )
        size_bytes += taken_bytes
        if is_whole:
            stored_ids.add(job_id)
        else:
            scheduler.dirty_job_ids[job_id] = None
    return stored_ids


def _take_parts(
    scheduler: Scheduler, batch: Batch, state: JobState, entries: int, max_bytes: int
) -> tuple[int, bool]:
    """Adds changed parts of a job's record; the last entry is that of the job itself.

    Returns the size of the parts, and whether nothing of the job is left to store.
    """
    job_id = state.job.job_id
    if state.final:
        scheduler.ended_parts += [(job_id, n) for n in state.digests_by_part]
        state.digests_by_part.clear()
        batch.records_by_job_id[job_id] = _record_of(scheduler, state)
        return 0, True
    if state.unchecked_parts is None:
        state.unchecked_parts = part_numbers(state)
    size_bytes = 0
    parts: dict[int, JobPart] = {}
    while state.unchecked_parts:
        if len(parts) + 1 >= entries or size_bytes >= max_bytes:
            break
        number = state.unchecked_parts.pop(0)
        part = part_of(state, number, scheduler.max_value_bytes)
        digest, part_bytes = digest_of(part)
        if part != JobPart() and state.digests_by_part.get(number) != digest:
            state.digests_by_part[number] = digest
            parts[number] = part
            size_bytes += part_bytes
    if parts:
        batch.parts_by_job_id[job_id] = parts
    if state.unchecked_parts:
        return size_bytes, False
    batch.records_by_job_id[job_id] = _record_of(scheduler, state)
    return size_bytes, True


def _record_of(scheduler: Scheduler, state: JobState) -> JobRecord:
    record = record_of(state, scheduler.max_value_bytes)
    names, state.left_out_names = state.left_out_names, []
    if names:
        scheduler.note(
            Event.CHECKPOINTS_LEFT_OUT,
            {
                'job_id': state.job.job_id,
                'tasks': len(names),
                'first_tasks': names[:MAX_NAMES_LOGGED],
            },
        )
    return record


def _entries(batch: Batch) -> int:
    parts = sum(len(parts) for parts in batch.parts_by_job_id.values())
    return len(batch.records_by_job_id) + parts


def _take_deleted_parts(scheduler: Scheduler, room: int) -> list[tuple[str, int]]:
    """Returns and clears parts to delete, as many as the batch has room for."""
    room = max(0, room)
    taken = scheduler.ended_parts[:room]
    scheduler.ended_parts = scheduler.ended_parts[room:]
    return taken


def _take_placed_runs(scheduler: Scheduler, job_ids: set[str]) -> list[PlacedRun]:
    """Returns the placed runs of jobs whose records are taken."""
    runs = []
    left = []
    for task in scheduler.placed:
        if task.step.job.job.job_id not in job_ids:
            left.append(task)
        elif task.backend is not None:
            runs.append(PlacedRun(task, task.run, task.backend))
    scheduler.placed = left
    return runs


def _take_unanswered_runs(scheduler: Scheduler) -> list[PlacedRun]:
    """Returns the runs whose start may be repeated, as no record waits to be stored."""
    dirty = scheduler.dirty_job_ids
    runs = scheduler.unanswered
    scheduler.unanswered = [r for r in runs if r.task.step.job.job.job_id in dirty]
    return [r for r in runs if r.task.step.job.job.job_id not in dirty]


def _take_host_orders(scheduler: Scheduler, batch: Batch, now_unix_ms: int) -> None:
    """Adds the orders about hosts, and the record that has to be stored before them."""
    ordered = scheduler.ordered_at_ms_by_host_id
    since_ms = scheduler.planned_ms - ORDER_KEPT_MS
    expired = [host_id for host_id, at_ms in ordered.items() if at_ms < since_ms]
    due_unix_ms = scheduler.orders_stored_unix_ms + ORDERS_INTERVAL_MS
    outdated = bool(expired and batch.records_by_job_id and now_unix_ms >= due_unix_ms)
    if not (outdated or scheduler.capacity.dirty or scheduler.host_orders):
        return
    for host_id in expired:
        del ordered[host_id]
    batch.borrowed = BorrowedHosts(
        homes_by_host_id=dict(scheduler.capacity.homes_by_host_id),
        orders_recorded=True,
        recently_ordered_host_ids=sorted(ordered),
        pending_maintenance_host_ids=scheduler.maintenance.pending_host_ids(),
    )
    scheduler.orders_stored_unix_ms = now_unix_ms
    scheduler.capacity.dirty = False
    batch.host_orders, scheduler.host_orders = scheduler.host_orders, []


def _take_waiting(scheduler: Scheduler, now_unix_ms: int) -> WaitingJobs | None:
    """Returns the counts of waiting jobs and the forecasts, or None to store none.

    This is the case if there is no forecast to store, and either no count has changed
    or the counts were computed less than `WAITING_INTERVAL_MS` ago.
    """
    has_forecasts = scheduler.forecasts.update(scheduler)
    age_ms = now_unix_ms - scheduler.waiting_checked_unix_ms
    is_due = not 0 <= age_ms < WAITING_INTERVAL_MS
    # Counts are written with each forecast. Between two, they would make it look newer.
    if not has_forecasts and (scheduler.forecasts.by_queue or not is_due):
        return None
    counts: dict[str, int] = {}
    for state in scheduler.open_jobs_by_id.values():
        if _is_waiting(state, scheduler.planned_ms):
            counts[state.job.queue] = counts.get(state.job.queue, 0) + 1
    scheduler.waiting_checked_unix_ms = now_unix_ms
    former = scheduler.waiting
    if not has_forecasts and former is not None and counts == former.jobs_by_queue:
        return None
    scheduler.waiting = WaitingJobs(
        jobs_by_queue=counts,
        run_times_by_queue={
            name: statistics
            for name, statistics in scheduler.run_times.by_queue.items()
            if name in scheduler.queues_by_name
        },
        forecasts_by_queue=scheduler.forecasts.by_queue,
        forecast_unix_ms=scheduler.forecasts.computed_unix_ms,
    )
    return scheduler.waiting


def _is_waiting(state: JobState, now_ms: int) -> bool:
    """Whether no run of a job has begun, except for one that is about to begin."""
    if state.begun:
        return False
    is_placed = state.phase is not JobPhase.QUEUED
    return not is_placed or now_ms - state.placed_at_ms >= BEGIN_LIMIT_MS


def _take_deletable(scheduler: Scheduler, records: int, now_unix_ms: int) -> list[str]:
    """Returns and clears the ids of ended jobs to delete, if the batch has room.

    Jobs are deleted `status_kept_ms` after their end.
    """
    expired: list[str] = []
    if records > MAX_RECORDS_BESIDE_DELETIONS or scheduler.ended_parts:
        return expired
    while scheduler.ended and len(expired) < MAX_DELETIONS:
        ended_unix_ms, job_id = scheduler.ended[0]
        if ended_unix_ms + scheduler.status_kept_ms > now_unix_ms:
            break
        scheduler.ended.popleft()
        expired.append(job_id)
    return expired


def confirm(scheduler: Scheduler, batch: Batch) -> list[Command]:
    """Returns the commands that may be sent after a batch was stored.

    A task that was placed again since the batch was taken is not started: its new run
    is stored with a later batch. For a task that was stopped before its start was sent,
    no start is sent; the task is requeued.
    """
    commands: list[Command] = []
    for placed in batch.starts:
        task = placed.task
        if task.phase is not TaskPhase.PLACED or task.start_sent:
            continue
        if not placed.is_current():
            continue
        if task.stopping or task.step.job.final:
            scheduler.requeue(task, 'stopped before its start was sent')
            continue
        task.start_sent, task.start_pending_ms = True, scheduler.planned_ms
        command = _start_command(task, placed.backend)
        if not command.order.checkpoint:
            task.measured_from_ms = scheduler.planned_ms
        commands.append(command)
    commands += [
        RepeatStart(
            backend_id=placed.backend.backend_id,
            born_ms=placed.backend.born_ms,
            task_name=placed.task.name,
            run=placed.run,
        )
        for placed in batch.repeats
        if placed.is_current() and not placed.task.stopping
    ]
    for backend, number in batch.ends_by_backend:
        backend.stored_end = max(backend.stored_end, number)
    return [*commands, *batch.host_orders]


def _start_command(task: TaskState, backend: BackendState) -> StartTask:
    ticket = task.step.tickets_by_backend_id.get(backend.backend_id)
    order = StartOrder(
        task_name=task.name,
        run=task.run,
        payload=task.step.job.job.spec.payload,
        checkpoint=_checkpoint(task),
        ticket=ticket.text if ticket else '',
    )
    return StartTask(
        backend_id=backend.backend_id, born_ms=backend.born_ms, order=order
    )


def _checkpoint(task: TaskState) -> str:
    """Returns the checkpoint from which a run resumes, or an empty text.

    All members of a gang resume from the same checkpoint: that of the first member, in
    the order of the tasks, that has one.
    """
    if not task.step.spec.gang:
        return task.checkpoint
    saved = (member.checkpoint for member in task.step.tasks)
    return next((data for data in saved if data), '')
