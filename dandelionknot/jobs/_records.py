"""Conversion between the state of a job and its stored record."""

from statistics import median

from dandelionknot.jobs._generated import (
    Job,
    JobPhase,
    JobRecord,
    Queue,
    StepSpec,
    TaskRecord,
)
from dandelionknot.jobs._run_times import RunTimes
from dandelionknot.jobs._state import (
    AccountState,
    JobState,
    LateStart,
    Lifetime,
    StepState,
    TaskPhase,
    TaskState,
)

# Stretch of a job whose queue is not configured any more. The stretch is the multiple
# of its estimated time within which a job is due.
DEFAULT_STRETCH = 2.0


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


def record_of(state: JobState) -> JobRecord:
    """Returns the record of a job to store.

    The record of a job that has ended holds no tasks, since none is started again.
    """
    if state.final:
        return JobRecord(
            phase=state.phase,
            ended_unix_ms=state.ended_unix_ms,
            reason=state.end_reason,
            late_until_unix_ms=state.late_until_unix_ms,
        )
    done = []
    records = {}
    for steps in state.steps_by_occurrence.values():
        for step in steps:
            for task in step.tasks:
                suffix = task.name.split('.', 1)[1]
                if task.phase is TaskPhase.DONE:
                    done.append(suffix)
                elif task.run:
                    records[suffix] = _task_record(task)
    phase = JobPhase.RUNNING if state.started else JobPhase.QUEUED
    return JobRecord(
        phase=phase,
        done=done,
        late_until_unix_ms=state.late_until_unix_ms,
        tasks_by_name=records,
    )


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
