"""Tells where a job would be placed now, and why, without adding it.

The planning functions that place tasks run on copies of the backend servers of the
job's service, of its waiting jobs and of the client accounts. The scheduler itself
stays as it is, and nothing is logged, stored or sent.
"""

from __future__ import annotations

import copy
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from dandelionknot.jobs import _placement, _planning, _usability
from dandelionknot.jobs._generated import (
    HostForStep,
    Job,
    JobSpec,
    PlacementAnswer,
    PlacementOutcome,
    PlacementQuery,
    Queue,
    Resources,
    StepPlacement,
    WaitingJobs,
)
from dandelionknot.jobs._load_shedding import LoadShedding
from dandelionknot.jobs._ranking import record_share
from dandelionknot.jobs._records import new_job_state, open_occurrence
from dandelionknot.jobs._state import (
    AccountState,
    BackendState,
    JobState,
    StepState,
    TaskPhase,
    occupied_cpu_millicores,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Id of the job that is built for a query. The ids of callers' jobs are hexadecimal.
JOB_ID = 'placement-query'
# Most steps of a job about which a query tells, and most hosts of each.
MAX_STEPS = 8
MAX_HOSTS = 100
# Reason of hosts with room if no ticket of the advice service is known. A query does
# not ask the service.
ADVICE_UNKNOWN = 'advice unknown'
# What a task waits for that no host has room for.
ROOM = 'room'


@dataclass(slots=True, frozen=True)
class PlacementQuestion:
    """A placement query with the decoded job, as it is sent to the leader's task."""

    query: PlacementQuery
    spec: JobSpec
    member_id: str


def answer(
    scheduler: Scheduler, question: PlacementQuestion, now_ms: int, unix_ms: int
) -> PlacementAnswer:
    """Returns where a job would be placed by a planning round at `now_ms`."""
    query = question.query
    queue = find_queue(scheduler, query)
    if queue is None:
        return PlacementAnswer(
            outcome=PlacementOutcome.NOT_FOUND,
            member_id=question.member_id,
            reason='no queue is configured for this name, or host and path',
        )
    reason = _refusal(scheduler, queue, query.client_account)
    reason = reason or _load_refusal(scheduler, queue, question.spec, now_ms, unix_ms)
    steps = []
    if not reason:
        job = Job(
            job_id=JOB_ID,
            queue=queue.name,
            service=queue.service,
            client_account=query.client_account,
            accepted_unix_ms=unix_ms,
            spec=question.spec,
            accepted_queue=queue,
        )
        steps = _steps(scheduler, job, queue, now_ms, unix_ms)
    return PlacementAnswer(
        outcome=PlacementOutcome.ANSWERED,
        member_id=question.member_id,
        queue=queue.name,
        service=queue.service,
        client_account=query.client_account,
        accepted=not reason,
        reason=reason,
        steps=steps,
        steps_left_out=len(question.spec.steps) - len(steps) if steps else 0,
    )


def find_queue(scheduler: Scheduler, query: PlacementQuery) -> Queue | None:
    """Returns the queue that a query names, or that a call to its path would reach."""
    if query.queue:
        return scheduler.queues_by_name.get(query.queue)
    path = query.path.split('?', 1)[0]
    found = [
        queue
        for queue in scheduler.queues_by_name.values()
        if queue.host == query.host and path.startswith(queue.path_prefix)
    ]
    return max(found, key=lambda queue: len(queue.path_prefix), default=None)


def _refusal(scheduler: Scheduler, queue: Queue, account: str) -> str:
    """Returns why a call would be refused, or an empty text."""
    if account:
        known = account in scheduler.accounts_by_name
        return '' if known else f'unknown client account {account}'
    return '' if queue.open_to_all else 'the queue needs a client account'


def _load_refusal(
    scheduler: Scheduler, queue: Queue, spec: JobSpec, now_ms: int, unix_ms: int
) -> str:
    """Returns why an entry host would refuse a job for load, or an empty text.

    It decides by the leader's last forecast; what a host has accepted since is not
    known here.
    """
    forecasts = scheduler.forecasts
    if not forecasts.enabled or forecasts.computed_ms is None:
        return ''
    publication = WaitingJobs(
        run_times_by_queue=scheduler.run_times.by_queue,
        forecasts_by_queue=forecasts.by_queue,
        forecast_unix_ms=forecasts.computed_unix_ms,
    )
    age_ms = now_ms - forecasts.computed_ms
    refusal = LoadShedding(random=lambda: 0.0).decide(
        JOB_ID, queue, spec, publication, age_ms, now_ms, unix_ms
    )
    return refusal.reason if refusal else ''


def _steps(
    scheduler: Scheduler, job: Job, queue: Queue, now_ms: int, unix_ms: int
) -> list[StepPlacement]:
    trial = trial_of(scheduler, queue.service, now_ms)
    account = trial.account(job.client_account)
    state = new_job_state(job, queue, account, now_ms, scheduler.run_times)
    record_share(state)
    trial.open_due_occurrences(state, now_ms, unix_ms)
    is_due = bool(state.steps_by_occurrence)
    steps = state.steps_by_occurrence.get(0) or open_occurrence(state, 0)
    hosts = [
        _host_rows(scheduler, step, queue.service, now_ms) for step in steps[:MAX_STEPS]
    ]
    ready = [id(step) for step in _planning.ready_steps(state)] if is_due else []
    usable = []
    if is_due:
        trial.open_jobs_by_id[job.job_id] = state
        usable = _place(trial, queue.service, now_ms)
    waits_for = [
        'its time'
        if not is_due
        else 'earlier steps'
        if id(step) not in ready
        else _obstacle(step, rows, usable)
        for step, rows in zip(steps, hosts, strict=False)
    ]
    queued_ms = _queued_ms(trial, state, usable, now_ms) if ROOM in waits_for else 0
    return [
        _placement_of(
            step,
            rows,
            obstacle,
            _expected_wait_ms(step, usable, queued_ms, now_ms)
            if obstacle == ROOM
            else -1,
        )
        for step, rows, obstacle in zip(steps, hosts, waits_for, strict=False)
    ]


def trial_of(scheduler: Scheduler, service: str, now_ms: int) -> Scheduler:
    """Returns a scheduler in which tasks of a service can be placed for trial.

    It shares with the original what such placement does not change.
    """
    trial = copy.copy(scheduler)
    trial.log_entries, trial.commands, trial.placed = [], [], []
    trial.host_orders, trial.dirty_job_ids = [], {}
    trial.accounts_by_name = {
        name: _account_copy(account)
        for name, account in scheduler.accounts_by_name.items()
    }
    trial.backends_by_id = {
        backend_id: _backend_copy(backend)
        if backend.report is not None and backend.report.service == service
        else backend
        for backend_id, backend in scheduler.backends_by_id.items()
    }
    trial.open_jobs_by_id = {
        job_id: _job_copy(trial, state)
        if _planning.service_of(scheduler, state) == service
        and _planning.ready_steps(state)
        else state
        for job_id, state in scheduler.open_jobs_by_id.items()
    }
    return trial


def _account_copy(account: AccountState) -> AccountState:
    copied = copy.copy(account)
    copied.share = copy.deepcopy(account.share)
    return copied


def _backend_copy(backend: BackendState) -> BackendState:
    copied = copy.copy(backend)
    copied.tasks_by_name = dict(backend.tasks_by_name)
    return copied


def _job_copy(trial: Scheduler, state: JobState) -> JobState:
    """Returns a copy of a job whose waiting tasks can be placed for trial."""
    copied = copy.copy(state)
    copied.account = trial.account(state.account.name)
    copied.steps_by_occurrence = {
        occurrence: [_step_copy(copied, step) for step in steps]
        for occurrence, steps in state.steps_by_occurrence.items()
    }
    return copied


def _step_copy(job: JobState, step: StepState) -> StepState:
    copied = copy.copy(step)
    copied.job = job
    copied.tasks_by_backend_id = dict(step.tasks_by_backend_id)
    copied.tickets_by_backend_id = dict(step.tickets_by_backend_id)
    copied.asked_lifetimes = set(step.asked_lifetimes)
    copied.tasks = []
    for task in step.tasks:
        copied_task = copy.copy(task)
        copied_task.step = copied
        copied.tasks.append(copied_task)
    return copied


def _place(trial: Scheduler, service: str, now_ms: int) -> list[BackendState]:
    """Places the waiting tasks of a service as a planning round does.

    Returns the backend servers that were usable.
    """
    trial.planned_ms = now_ms
    steps: list[StepState] = []
    for state in _planning.jobs_in_order(trial, now_ms):
        if _planning.service_of(trial, state) == service:
            steps.extend(_planning.ready_steps(state))
    backends = [
        backend
        for backend in trial.backends_by_id.values()
        if backend.report is not None
        and backend.report.service == service
        and _usability.is_usable(trial, backend, now_ms)
    ]
    if backends:
        _planning.place_steps(trial, steps, backends, now_ms)
    return backends


def _host_rows(
    scheduler: Scheduler, step: StepState, service: str, now_ms: int
) -> list[HostForStep]:
    """Returns the hosts of a service, the best first, those passed over last."""
    effects = scheduler.interference.effect_by_pair
    rows = []
    for backend in scheduler.backends_by_id.values():
        report = backend.report
        if report is None or report.service != service:
            continue
        reason = _passed_over(scheduler, step, backend, now_ms)
        cost = _placement.cost_of(step, backend, effects)
        neighbours = _placement.proven_neighbours(step.spec, backend, effects)
        rows.append(
            HostForStep(
                backend_id=backend.backend_id,
                host_id=backend.host_id,
                availability_zone=report.availability_zone,
                rack=backend.rack,
                cost=round(cost, 3),
                passed_over=reason,
                neighbours=sorted(neighbours),
            )
        )
    rows.sort(key=lambda row: (bool(row.passed_over), row.cost))
    return rows


def _passed_over(
    scheduler: Scheduler, step: StepState, backend: BackendState, now_ms: int
) -> str:
    """Returns why a backend server can take no task of a step, or an empty text."""
    if not _usability.is_usable(scheduler, backend, now_ms):
        return _usability.unusable_reason(scheduler, backend)
    if backend.reserved_at_ms:
        return 'kept empty for an isolated task'
    if not _placement.is_allowed_on(step, backend):
        return 'label'
    if not _placement.has_room(backend, step.spec):
        return ROOM
    return ADVICE_UNKNOWN if step.job.queue.needs_advice else ''


def _placement_of(
    step: StepState, rows: list[HostForStep], waits_for: str, wait_ms: int
) -> StepPlacement:
    """Returns the answer about a step after the trial."""
    counts = step.tasks_by_backend_id
    rows = [
        msgspec.structs.replace(row, tasks=counts.get(row.backend_id, 0))
        for row in rows
    ]
    by_reason = Counter(
        row.passed_over for row in rows if row.passed_over and not row.tasks
    )
    starts_now = sum(task.phase is not TaskPhase.WAITING for task in step.tasks)
    listed = sorted(rows, key=lambda row: not row.tasks)[:MAX_HOSTS]
    return StepPlacement(
        tasks=len(step.tasks),
        starts_now=starts_now,
        waits_for=waits_for,
        expected_wait_ms=0 if starts_now else wait_ms,
        hosts=listed,
        hosts_left_out=len(rows) - len(listed),
        hosts_by_reason=dict(by_reason),
    )


def _obstacle(
    step: StepState, rows: list[HostForStep], usable: list[BackendState]
) -> str:
    """Returns what those tasks of a ready step wait for that the trial did not place.

    `usable` are the backend servers after the trial.
    """
    waiting = sum(task.phase is TaskPhase.WAITING for task in step.tasks)
    if not waiting:
        return ''
    spec, account = step.spec, step.job.account
    needed = _placement.total_resources(spec, waiting if spec.gang else 1)
    if not _placement.is_within_limit(account, needed):
        return 'the limit of the client account'
    reasons = {row.passed_over for row in rows}
    if not reasons:
        return 'a host of its service'
    if ADVICE_UNKNOWN in reasons:
        return 'advice'
    label = spec.required_label
    if label and not any(b.report and label in b.report.labels for b in usable):
        return 'a host with its label'
    free = [backend for backend in usable if _placement.has_room(backend, spec)]
    if not free:
        return ROOM
    if not any(_placement.is_allowed_on(step, backend) for backend in free):
        return 'a host that its rules allow'
    return ROOM if spec.gang else 'steps that wait for room before it'


def _expected_wait_ms(
    step: StepState, usable: list[BackendState], queued_ms: int, now_ms: int
) -> int:
    """Estimates when a first task of a step starts that finds no room now.

    That is once a host has room as its short tasks end, and once the whole pool has
    done the waiting work that is placed before, which takes `queued_ms`. Returns -1 if
    no host ever has room.
    """
    free_ms = [_free_in_ms(step, backend, now_ms) for backend in usable]
    known_ms = [free for free in free_ms if free is not None]
    return min(known_ms) + queued_ms if known_ms else -1


def _queued_ms(
    trial: Scheduler, state: JobState, usable: list[BackendState], now_ms: int
) -> int:
    """Returns how long a pool works on the waiting tasks that go before a job."""
    capacity = sum(b.report.room.cpu_millicores for b in usable if b.report)
    work = 0
    for ahead in _planning.jobs_in_order(trial, now_ms):
        if ahead is state:
            break
        if _planning.service_of(trial, ahead) == state.queue.service:
            work += _waiting_work(ahead)
    return round(work / max(1, capacity))


def _waiting_work(state: JobState) -> int:
    """Returns the work of the waiting tasks of a job, in millicores times ms."""
    return sum(
        occupied_cpu_millicores(step.spec) * step.expected_ms
        for step in _planning.ready_steps(state)
        for task in step.tasks
        if task.phase is TaskPhase.WAITING and not step.spec.long_running
    )


def _free_in_ms(step: StepState, backend: BackendState, now_ms: int) -> int | None:
    """Returns when a backend server has room for a task; None if it never has."""
    if not _placement.may_take_later(backend, step):
        return None
    room, wait_ms = backend.report.room if backend.report else Resources(), 0
    spec = step.spec
    cpu_millicores = room.cpu_millicores - occupied_cpu_millicores(spec)
    cpu_millicores -= backend.cpu_millicores
    memory_mb = room.memory_mb - spec.resources.memory_mb - backend.memory_mb
    accelerators = room.accelerators - spec.resources.accelerators
    accelerators -= backend.accelerators
    ending = [
        (max(0, task.started_at_ms + task.step.expected_ms - now_ms), task.step.spec)
        for task in backend.tasks_by_name.values()
        if not task.step.spec.long_running
    ]
    for end_ms, other in sorted(ending, key=lambda pair: pair[0]):
        if min(cpu_millicores, memory_mb, accelerators) >= 0:
            break
        cpu_millicores += occupied_cpu_millicores(other)
        memory_mb += other.resources.memory_mb
        accelerators += other.resources.accelerators
        wait_ms = end_ms
    return wait_ms
