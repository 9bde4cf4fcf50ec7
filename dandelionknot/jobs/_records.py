"""Conversion between the state of a job and its stored record."""

from collections.abc import Iterable
from hashlib import blake2b
from statistics import median

import msgspec
from msgspec.structs import replace

from dandelionknot.jobs._generated import (
    Job,
    JobPart,
    JobPhase,
    JobRecord,
    Queue,
    StepSpec,
    TaskRecord,
)
from dandelionknot.jobs._run_times import RunTimes
from dandelionknot.jobs._state import (
    FINAL_PHASES,
    AccountState,
    JobState,
    LateStart,
    Lifetime,
    StepState,
    TaskPhase,
    TaskState,
    tasks_of,
)

# Stretch of a job whose queue is not configured any more. The stretch is the multiple
# of its estimated time within which a job is due.
DEFAULT_STRETCH = 2.0
# Most tasks whose progress one item of the store holds. With all crashes that are kept
# of each, they take some 100 KB.
PART_TASKS = 50
# Share of the largest value of the store that the checkpoints in one item may take.
CHECKPOINT_SHARE = 1 / 16


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task in orders to and reports of backend servers."""
    return f'{job_id}.{occurrence}.{step}.{index}'


def job_id_of(name: str) -> str:
    """Returns the id of the job to which a task name belongs."""
    return name.split('.', 1)[0]


def occurrence_count(job: Job) -> int:
    """Returns how many times the steps of a job run."""
    return max(1, job.spec.repeats)


def critical_path_ms(steps: list[StepSpec], task_ms: list[int]) -> int:
    """Returns the time of the critical path of steps, given that of each step.

    The critical path is the chain of dependent steps that takes longest.
    """
    ends: list[int] = []
    for step, own_ms in zip(steps, task_ms, strict=True):
        earlier = [ends[index] for index in step.after if index < len(ends)]
        ends.append(max(earlier, default=0) + own_ms)
    return max(ends, default=0)


def new_job_state(
    job: Job,
    queue: Queue,
    account: AccountState,
    accepted_ms: int,
    run_times: RunTimes,
) -> JobState:
    """Returns the state of a job with no open occurrence.

    `accepted_ms` is the time of acceptance on the local clock.
    """
    state = JobState(job=job, queue=queue, account=account, accepted_ms=accepted_ms)
    state.task_ms_by_step = [
        step.estimated_ms
        if step.long_running
        else run_times.expected_ms(queue.name, step.estimated_ms)
        for step in job.spec.steps
    ]
    state.critical_path_ms = critical_path_ms(job.spec.steps, state.task_ms_by_step)
    state.due_ms = _due_ms(state)
    return state


def _due_ms(state: JobState) -> int:
    queue = state.queue
    path_ms = queue.stretch * state.critical_path_ms
    return state.accepted_ms + int(path_ms + queue.objective_ms)


def task_measured(step: StepState, measured_ms: int) -> None:
    """Records the run time of a task that is done, and when its job is due by it.

    Tasks of one step run for about as long, so the first ones show the time of the
    others.
    """
    step.durations_ms.append(measured_ms)
    step.expected_ms = int(median(step.durations_ms))
    state = step.job
    steps = state.steps_by_occurrence[step.occurrence]
    state.critical_path_ms = critical_path_ms(
        state.job.spec.steps, [other.expected_ms for other in steps]
    )
    if step.occurrence == max(state.steps_by_occurrence):
        state.due_ms = _due_ms(state)


def open_occurrence(state: JobState, occurrence: int) -> list[StepState]:
    """Creates the steps and tasks of an occurrence that has become due."""
    job = state.job
    steps = []
    for index, spec in enumerate(job.spec.steps):
        step = StepState(
            job=state,
            spec=spec,
            occurrence=occurrence,
            index=index,
            expected_ms=state.task_ms_by_step[index],
        )
        step.tasks = [
            TaskState(name=task_name(job.job_id, occurrence, index, i), step=step)
            for i in range(spec.task_count)
        ]
        steps.append(step)
    state.steps_by_occurrence[occurrence] = steps
    return steps


def due_unix_ms(job: Job, occurrence: int) -> int:
    """Returns the Unix time in ms at which an occurrence is due.

    Returns 0 for a job that does not repeat, which is due at once.
    """
    if not job.spec.repeats:
        return 0
    return job.spec.first_due_unix_ms + occurrence * job.spec.interval_ms


def find_task(state: JobState, name: str) -> TaskState | None:
    """Returns a task by name, or None if the job has no such task.

    The occurrence of the task is opened if it is not open yet.
    """
    parts = name.split('.')
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    occurrence, step, index = map(int, parts[1:])
    if occurrence >= occurrence_count(state.job):
        return None
    steps = state.steps_by_occurrence.get(occurrence)
    if steps is None:
        steps = open_occurrence(state, occurrence)
    if step >= len(steps) or index >= len(steps[step].tasks):
        return None
    return steps[step].tasks[index]


def is_split(state: JobState) -> bool:
    """Whether the progress of a job's tasks is stored in parts.

    So no item grows with the number of tasks, and a task that changes does not cause
    the progress of all of them to be written.
    """
    return occurrence_count(state.job) * _tasks_per_occurrence(state) > PART_TASKS


def _tasks_per_occurrence(state: JobState) -> int:
    return sum(step.task_count for step in state.job.spec.steps)


def record_of(state: JobState, max_value_bytes: int) -> JobRecord:
    """Returns the record of a job to store, without that of tasks in parts.

    The record of a job that has ended holds no tasks, since none is started again.
    """
    if state.final:
        return JobRecord(
            phase=state.phase,
            ended_unix_ms=state.ended_unix_ms,
            reason=state.end_reason,
            late_until_unix_ms=state.late_until_unix_ms,
        )
    part = JobPart()
    if not is_split(state):
        part = _part_of(list(tasks_of(state)), max_value_bytes)
    return JobRecord(
        phase=JobPhase.RUNNING if state.started else JobPhase.QUEUED,
        done=part.done,
        late_until_unix_ms=state.late_until_unix_ms,
        tasks_by_name=part.tasks_by_name,
    )


def part_numbers(state: JobState) -> list[int]:
    """Returns the numbers of the parts with tasks of open occurrences."""
    size = _tasks_per_occurrence(state)
    numbers: set[int] = set()
    for occurrence in state.steps_by_occurrence:
        first, last = occurrence * size, (occurrence + 1) * size - 1
        numbers.update(range(first // PART_TASKS, last // PART_TASKS + 1))
    return sorted(numbers)


def part_of(state: JobState, number: int, max_value_bytes: int) -> JobPart:
    """Returns a part of the record of a job with many tasks."""
    size = _tasks_per_occurrence(state)
    first, end = number * PART_TASKS, (number + 1) * PART_TASKS
    tasks: list[TaskState] = []
    for occurrence in range(first // size, (end - 1) // size + 1):
        steps = state.steps_by_occurrence.get(occurrence, [])
        before = occurrence * size
        for step in steps:
            start, stop = max(0, first - before), max(0, end - before)
            tasks += step.tasks[start:stop]
            before += len(step.tasks)
    return _part_of(tasks, max_value_bytes)


def digest_of(part: JobPart) -> tuple[bytes, int]:
    """Returns a digest that shows whether a part has changed, and its size in bytes."""
    encoded = msgspec.json.encode(part)
    return blake2b(encoded, digest_size=16).digest(), len(encoded)


def merged(record: JobRecord | None, parts: Iterable[JobPart]) -> JobRecord | None:
    """Returns the record of a job with the tasks in its parts.

    What a part says goes before what the record of an earlier version says.
    """
    parts = list(parts)
    if not parts or (record is not None and record.phase in FINAL_PHASES):
        return record
    record = record or JobRecord(phase=JobPhase.RUNNING)
    done = dict.fromkeys(record.done)
    tasks_by_name = dict(record.tasks_by_name)
    for part in parts:
        tasks_by_name.update(part.tasks_by_name)
        done.update(dict.fromkeys(part.done))
    for suffix in done:
        tasks_by_name.pop(suffix, None)
    return replace(record, done=list(done), tasks_by_name=tasks_by_name)


def _part_of(tasks: list[TaskState], max_value_bytes: int) -> JobPart:
    """Returns the stored progress of some tasks.

    Checkpoints that would make it too large are left out, the longest ones first. Their
    tasks resume from them only under this leader.
    """
    done = []
    records = {}
    for task in tasks:
        suffix = task.name.split('.', 1)[1]
        if task.phase is TaskPhase.DONE:
            done.append(suffix)
        elif task.run:
            records[suffix] = _task_record(task)
    left_bytes = int(CHECKPOINT_SHARE * max_value_bytes)
    for task in sorted(tasks, key=lambda task: len(task.checkpoint)):
        suffix = task.name.split('.', 1)[1]
        if suffix not in records or not task.checkpoint:
            continue
        left_bytes -= len(task.checkpoint.encode())
        if left_bytes < 0:
            records[suffix] = replace(records[suffix], checkpoint='')
            if not task.checkpoint_left_out:
                task.step.job.left_out_names.append(task.name)
        task.checkpoint_left_out = left_bytes < 0
    return JobPart(done=done, tasks_by_name=records)


def _task_record(task: TaskState) -> TaskRecord:
    return TaskRecord(
        run=task.run,
        phase=int(TaskPhase.PLACED if task.backend else TaskPhase.WAITING),
        backend_id=task.backend.backend_id if task.backend else '',
        born_ms=task.born_ms,
        host_id=task.backend.host_id if task.backend else '',
        failed_runs=task.failed_runs,
        checkpoint=task.checkpoint,
        placed_unix_ms=task.placed_unix_ms,
        slow_runs=task.slow_runs,
        crashed_runs=task.crashed_runs,
        crashed_alone_runs=task.crashed_alone_runs,
        crash_ages_ms=task.crash_ages_ms,
        crashed_host_ids=task.crashed_host_ids,
        crash_backend_ids=[crash.backend_id for crash in task.crash_lifetimes],
        crash_born_ms=[crash.born_ms for crash in task.crash_lifetimes],
        crash_signs_unix_ms=task.crash_signs_unix_ms,
        unproven_runs=task.unproven_runs,
        suspected=task.suspected,
        isolated=task.isolated,
        late_until_unix_ms_by_backend_id={
            backend_id: start.until_unix_ms
            for backend_id, start in task.late_starts_by_backend_id.items()
            if not start.is_assumed
        },
    )


def restore(state: JobState, record: JobRecord) -> list[tuple[TaskState, TaskRecord]]:
    """Restores a job from its stored record.

    Returns the tasks that a former leader placed, which may still run.
    """
    state.phase = record.phase
    state.ended_unix_ms = record.ended_unix_ms
    state.end_reason = record.reason
    state.late_until_unix_ms = record.late_until_unix_ms
    state.started = record.phase is not JobPhase.QUEUED
    state.begun = bool(record.done) or any(
        task.failed_runs or task.checkpoint for task in record.tasks_by_name.values()
    )
    job_id = state.job.job_id
    placed = []
    for suffix in record.done:
        task = find_task(state, f'{job_id}.{suffix}')
        if task is not None:
            task.phase = TaskPhase.DONE
            task.step.done += 1
    for suffix, stored in record.tasks_by_name.items():
        task = find_task(state, f'{job_id}.{suffix}')
        if task is None:
            continue
        task.run = stored.run
        task.failed_runs = list(stored.failed_runs)
        task.checkpoint = stored.checkpoint
        task.placed_unix_ms = stored.placed_unix_ms
        task.slow_runs = stored.slow_runs
        task.crashed_runs = list(stored.crashed_runs)
        task.crashed_alone_runs = list(stored.crashed_alone_runs)
        task.crash_ages_ms = list(stored.crash_ages_ms)
        task.crashed_host_ids = list(stored.crashed_host_ids)
        task.crash_lifetimes = _crash_lifetimes(stored)
        task.crash_signs_unix_ms = _crash_signs_unix_ms(stored)
        task.unproven_runs = list(stored.unproven_runs)
        task.suspected = stored.suspected
        task.late_starts_by_backend_id = {
            backend_id: LateStart(0, until_unix_ms)
            for backend_id, until_unix_ms in (
                stored.late_until_unix_ms_by_backend_id.items()
            )
        }
        if stored.phase == TaskPhase.PLACED:
            task.isolated = stored.isolated
            placed.append((task, stored))
    return placed


def _crash_lifetimes(stored: TaskRecord) -> list[Lifetime]:
    """Returns a lifetime for each crash; an earlier version stored none."""
    pairs = zip(stored.crash_backend_ids, stored.crash_born_ms, strict=False)
    lifetimes = [Lifetime(backend_id, born_ms) for backend_id, born_ms in pairs]
    missing = len(stored.crashed_runs) - len(lifetimes)
    return [Lifetime('', 0)] * missing + lifetimes


def _crash_signs_unix_ms(stored: TaskRecord) -> list[int]:
    """Returns a time for each crash; an earlier version stored none."""
    missing = len(stored.crashed_runs) - len(stored.crash_signs_unix_ms)
    return [0] * missing + list(stored.crash_signs_unix_ms)
