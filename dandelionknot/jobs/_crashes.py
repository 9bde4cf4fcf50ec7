"""Evidence about tasks that crash the backend servers on which they start.

A backend server that is lost tells nothing about the cause. What counts is which runs
began shortly before its last sign of life: a task that crashes its backend server does
so as it starts. Such tasks are suspected and run alone until they have survived
(`_isolation`). A task under which a backend server crashes again while it runs alone is
given up, since its next start would only cost another backend server.

Losses of many backend servers at once are outages, such as a rack without power or a
network cut, and no evidence against the tasks that happened to start. What shows that
a backend server has crashed, and not only been cut off, is in `_losses`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from dandelionknot.events import Event
from dandelionknot.jobs import _ends, _lifetimes, _losses
from dandelionknot.jobs._generated import JobPhase
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    TaskPhase,
    TaskState,
    tasks_of,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

T = TypeVar('T')

# A run began shortly before the loss of its backend server if its start was accepted
# within this time before the last sign of life.
RECENT_START_MS = 60
# Longest time from the placement of a run until its start is sent, which is stored in
# between. Records of a former leader hold only the time of the placement.
MAX_STORING_MS = 700
# Contact is lost suddenly if that is noticed within this time after the last start.
SUDDEN_LOSS_MS = 250
# A task is suspected of crashes long after its start once this many backend servers
# have crashed under it in a row and the longest of these runs lived at most this
# multiple of the shortest.
LATE_CRASHES = 3
LATE_CRASH_SPREAD = 1.5
# A task is given up once this many hosts have crashed while it ran alone on them. Two
# crashes of one host may be the fault of the host, so without a second host it takes
# more of them, or as many crashes in all as the third number says.
HOSTS_ALONE_LIMIT = 2
CRASHES_ALONE_LIMIT = 3
CRASHES_LIMIT = 5
# A suspected task is cleared once it has run for this time, and if it is suspected of
# crashes long after its start, this much longer than these runs. The second number
# limits the length of those that is counted.
SURVIVAL_MARGIN_MS = 150
MAX_SURVIVAL_MS = 10_000
# Least time between two starts on one backend server after a crash, and the time for
# which starts are spaced.
SPACING_MS = 30
SPACING_KEPT_MS = 10_000
# Losses of contact within these times belong together. If contact is lost right after a
# start, its time is exact. Otherwise, a call has to time out first.
TOGETHER_SUDDEN_MS = 500
TOGETHER_SILENT_MS = 1700
# Losses that belong together are an outage from this number and this share of all
# backend servers on, and from the third number on in any fleet: crashing tasks do not
# start so often, however large it is. Unless contact was lost right after a start, they
# also are from this share of a rack on.
OUTAGE_COUNT = 4
OUTAGE_SHARE = 0.2
MAX_OUTAGE_COUNT = 8
OUTAGE_RACK_SHARE = 0.5
# Time for which losses are kept for comparison with later ones.
LOSSES_KEPT_MS = 15_000
# Most crashed runs that are stored for a task.
MAX_STORED_CRASHES = 16
# Most tasks that one log line names.
MAX_NAMES_LOGGED = 5


@dataclass(slots=True, frozen=True)
class Loss:
    """A loss of contact with a backend server."""

    backend_id: str
    born_ms: int
    rack: str
    lost_at_ms: int
    # Jobs of which a run had begun shortly before.
    recent_job_ids: frozenset[str]
    # Service of an isolated task that ran there; empty if none did.
    isolated_service: str


def started_runs(backend: BackendState) -> list[TaskState]:
    """Returns the tasks whose runs a backend server has begun or may have begun."""
    return [task for task in backend.tasks_by_name.values() if task.start_sent]


def recent_starts(backend: BackendState) -> list[TaskState]:
    """Returns the tasks that began on a backend server shortly before it was lost.

    A start without an answer counts as recent, but is no sign of life. If neither this
    leader nor the records of a former one know a sign of life, the latest recorded
    start stands for the last one.
    """
    started = started_runs(backend)
    answered_at_ms = [task.started_at_ms for task in started if not _is_open(task)]
    last_sign_ms = max([backend.last_sign_ms, *answered_at_ms])
    lag_ms = MAX_STORING_MS if backend.last_sign_ms and not backend.fenced else 0
    return [
        task
        for task in started
        if _is_open(task)
        or task.started_at_ms >= last_sign_ms - RECENT_START_MS - lag_ms
    ]


def _is_open(task: TaskState) -> bool:
    """Whether the start of a run, sent by this leader, was not answered."""
    return task.phase is TaskPhase.PLACED and not task.unconfirmed


def recent_runs(backend: BackendState) -> list[TaskState]:
    """Returns the tasks with a recent start when contact was lost, or now without it.

    Tasks that have been placed again since then are left out.
    """
    recorded = backend.recent_runs_by_name
    if recorded is None:
        return recent_starts(backend)
    return [
        task for task in started_runs(backend) if recorded.get(task.name) == task.run
    ]


def _is_sudden(recent: list[TaskState], lost_at_ms: int) -> bool:
    """Whether contact was lost right after a start, as when a process crashes."""
    last_start_ms = max((task.started_at_ms for task in recent), default=0)
    return lost_at_ms - last_start_ms <= SUDDEN_LOSS_MS


def contact_lost(scheduler: Scheduler, backend: BackendState, now_ms: int) -> None:
    """Records when contact was lost, and which runs had begun shortly before.

    A backend server that leaves, or whose host was ordered away, is no sign of an
    outage.
    """
    recent = recent_starts(backend)
    backend.lost_at_ms = now_ms
    backend.lost_suddenly = _is_sudden(recent, now_ms)
    if backend.lost_suddenly:
        _space_starts(scheduler, recent, now_ms)
    backend.recent_runs_by_name = {task.name: task.run for task in recent}
    if backend.ending or backend.leaving:
        return
    losses = scheduler.losses
    while losses and losses[0].lost_at_ms < now_ms - LOSSES_KEPT_MS:
        losses.popleft()
    job_ids = frozenset(task.step.job.job.job_id for task in recent)
    services = [task.step.job.queue.service for task in recent if task.isolated]
    losses.append(
        Loss(
            backend_id=backend.backend_id,
            born_ms=backend.born_ms,
            rack=backend.rack,
            lost_at_ms=now_ms,
            recent_job_ids=job_ids,
            isolated_service=services[0] if services else '',
        )
    )


def backend_lost(
    scheduler: Scheduler, backend: BackendState, reason: str, certain: bool
) -> None:
    """Records that the runs of a lifetime of a backend server do not continue.

    It is called before they are requeued. `certain` is false if nothing but the end of
    the lease shows it, so the backend server may only be cut off. A backend server that
    was leaving, or whose host was ordered away, has not crashed.
    """
    started = started_runs(backend)
    if certain:
        _losses.lifetime_ended(scheduler, backend.lifetime)
    if backend.ending or backend.leaving or not started:
        return
    recent = recent_runs(backend)
    outage = is_outage(scheduler, backend)
    last_start_ms = max(task.started_at_ms for task in started)
    scheduler.note(
        Event.BACKEND_LOST,
        {
            'backend_id': backend.backend_id,
            'reason': reason,
            'tasks': len(started),
            'outage': outage,
            'recent_starts': len(recent),
            'recent_tasks': [task.name for task in recent[:MAX_NAMES_LOGGED]],
            'alive_after_last_start_ms': max(0, backend.last_sign_ms - last_start_ms),
            'lost_after_last_start_ms': max(0, backend.lost_at_ms - last_start_ms),
        },
    )
    if not outage:
        _space_starts(scheduler, recent, scheduler.planned_ms)
    recent_names = {task.name for task in recent}
    for task in started:
        _record_crash(
            scheduler, backend, task, task.name in recent_names, outage, certain
        )


def unreached_lost(
    scheduler: Scheduler, backends: Iterable[tuple[BackendState, str]]
) -> None:
    """Records lifetimes, with their racks, that ended before this leader reached them.

    It is called for all that became known together, before their tasks are requeued, so
    that it does not depend on their order whether they count as an outage.
    """
    for backend, rack in backends:
        if not backend.fenced:
            scheduler.unreached_losses[backend.lifetime] = rack


def may_copy(scheduler: Scheduler, backend: BackendState, task: TaskState) -> bool:
    """Whether a copy of a task of an unresponsive backend server may be made now.

    If its start may have crashed the backend server, the task becomes suspected, so
    that the copy starts apart from other tasks. In an outage, it is not suspected, but
    its copy has to wait until the end of the backend server is known. So does a copy of
    a task that ran alone, since each further crash would cost another host.
    """
    if (backend.recent_runs_by_name or {}).get(task.name) != task.run:
        return True
    if backend.ending or backend.leaving:
        return True
    if task.isolated or is_outage(scheduler, backend):
        return False
    _record_crash(scheduler, backend, task, recent=True, outage=False, certain=False)
    return True


def _record_crash(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    recent: bool,
    outage: bool,
    certain: bool,
) -> None:
    """Adds a crash to the history of a task, which may become suspected by it."""
    if task.step.job.final or task.phase is TaskPhase.DONE:
        return
    if task.run in task.crashed_runs:
        # It was lost with an earlier lifetime, and a later one has not reported it.
        return
    answered = task.phase is not TaskPhase.PLACED
    age_ms = max(0, backend.last_sign_ms - task.started_at_ms) if answered else 0
    task.crashed_runs = [*task.crashed_runs, task.run][-MAX_STORED_CRASHES:]
    task.crash_ages_ms = [*task.crash_ages_ms, age_ms][-MAX_STORED_CRASHES:]
    hosts = [*task.crashed_host_ids, backend.known_host_id]
    task.crashed_host_ids = hosts[-MAX_STORED_CRASHES:]
    lifetimes = [*task.crash_lifetimes, backend.lifetime]
    task.crash_lifetimes = lifetimes[-MAX_STORED_CRASHES:]
    signs = [*task.crash_signs_unix_ms, _last_sign_unix_ms(scheduler, backend)]
    task.crash_signs_unix_ms = signs[-MAX_STORED_CRASHES:]
    if task.isolated and not outage:
        task.crashed_alone_runs = [*task.crashed_alone_runs, task.run]
    if not certain:
        task.unproven_runs = [*task.unproven_runs, task.run][-MAX_STORED_CRASHES:]
        loss = _losses.record(
            scheduler,
            backend.lifetime,
            backend.known_host_id,
            backend.lost_at_ms or scheduler.planned_ms,
        )
        loss.tasks_by_name[task.name] = task
    count = len(task.crashed_runs)
    if (
        task.suspected
        or late_crash_age_ms(task)
        or (recent and (not outage or count > 1))
    ):
        task.suspected = True
        task.suspected_at_ms = scheduler.planned_ms
        scheduler.suspects_by_name[task.name] = task
        _note(scheduler, Event.TASK_SUSPECTED, task, backend_id=backend.backend_id)
    scheduler.mark_dirty(task.step.job)


def _last_sign_unix_ms(scheduler: Scheduler, backend: BackendState) -> int:
    if not backend.last_sign_ms:
        return 0
    return scheduler.planned_unix_ms - (scheduler.planned_ms - backend.last_sign_ms)


def late_crash_age_ms(task: TaskState) -> int:
    """Returns how long after its start a task may crash its backend servers, or 0.

    It may if its last crashed runs had lived for about the same time. A bystander that
    was hit as often had not.
    """
    ages_ms = task.crash_ages_ms[-LATE_CRASHES:]
    if len(ages_ms) < LATE_CRASHES or min(ages_ms) <= RECENT_START_MS:
        return 0
    alike = max(ages_ms) <= LATE_CRASH_SPREAD * min(ages_ms)
    return min(max(ages_ms), MAX_SURVIVAL_MS) if alike else 0


def is_outage(scheduler: Scheduler, backend: BackendState) -> bool:
    """Whether so many other backend servers were lost together that no task did it.

    It is none if one job had a recent start on each of them.
    """
    hosts = [state for state in scheduler.backends_by_id.values() if state.report]
    if not backend.fenced:
        # Never reached in this term, so compared with all others that were not either.
        lost = scheduler.unreached_losses
        if backend.lifetime not in lost:
            lost = {state.lifetime: state.rack for state in hosts if not state.fenced}
        racks = [
            rack for lifetime, rack in lost.items() if lifetime != backend.lifetime
        ]
        return _is_large(len(racks) + 1, len(hosts)) or _is_rack(
            backend.rack, racks, hosts
        )
    sudden = backend.lost_suddenly
    window_ms = TOGETHER_SUDDEN_MS if sudden else TOGETHER_SILENT_MS
    # A crash under an isolated task is expected and no sign of an outage.
    losses = {
        (loss.backend_id, loss.born_ms): loss
        for loss in scheduler.losses
        if abs(loss.lost_at_ms - backend.lost_at_ms) <= window_ms
        and not loss.isolated_service
    }
    if len(losses) > 1 and frozenset.intersection(
        *(loss.recent_job_ids for loss in losses.values())
    ):
        return False
    losses.pop((backend.backend_id, backend.born_ms), None)
    racks = [loss.rack for loss in losses.values()]
    if _is_large(len(racks) + 1, len(hosts)):
        return True
    return not sudden and _is_rack(backend.rack, racks, hosts)


def _space_starts(scheduler: Scheduler, recent: list[TaskState], now_ms: int) -> None:
    for task in recent:
        scheduler.crashed_at_ms_by_service[task.step.job.queue.service] = now_ms


def start_spacing_ms(scheduler: Scheduler, service: str, now_ms: int) -> int:
    """Returns the least time between two starts on one backend server of a service.

    After a crash, starts are spaced for a while, so that the next crash leaves only few
    tasks suspected.
    """
    crashed_ms = scheduler.crashed_at_ms_by_service.get(service)
    if crashed_ms is None or now_ms - crashed_ms > SPACING_KEPT_MS:
        return 0
    return SPACING_MS


def _is_large(lost: int, total: int) -> bool:
    return lost >= max(OUTAGE_COUNT, min(OUTAGE_SHARE * total, MAX_OUTAGE_COUNT))


def _is_rack(rack: str, lost_racks: list[str], hosts: list[BackendState]) -> bool:
    """Whether a large part of a rack was lost, and not only one host of it."""
    lost = 1 + lost_racks.count(rack)
    in_rack = sum(host.rack == rack for host in hosts)
    return bool(rack) and lost > 1 and lost >= OUTAGE_RACK_SHARE * in_rack


def hosts_of_crashes(task: TaskState, runs: Iterable[int]) -> set[str]:
    """Returns the hosts that crashed under some runs of a task."""
    pairs = zip(task.crashed_runs, task.crashed_host_ids, strict=False)
    return {host_id for run, host_id in pairs if run in runs}


def proven_runs(task: TaskState, runs: list[int]) -> list[int]:
    """Returns those of some crashed runs whose backend server has certainly ended."""
    return [run for run in runs if run not in task.unproven_runs]


def is_guilty(task: TaskState) -> bool:
    """Whether the crashes under a task leave no other explanation than the task."""
    alone = proven_runs(task, task.crashed_alone_runs)
    crashes = proven_runs(task, task.crashed_runs)
    return (
        len(hosts_of_crashes(task, alone)) >= HOSTS_ALONE_LIMIT
        or len(alone) >= CRASHES_ALONE_LIMIT
        or (len(alone) > 1 and len(crashes) >= CRASHES_LIMIT)
    )


def restored(scheduler: Scheduler, state: JobState, now_ms: int, unix_ms: int) -> None:
    """Restores the suspected tasks of a job from its stored record.

    What the record shows of crashed lifetimes holds for all tasks that ran there.
    """
    for task in tasks_of(state):
        for lifetime, sign_unix_ms in zip(
            task.crash_lifetimes, task.crash_signs_unix_ms, strict=False
        ):
            if sign_unix_ms:
                sign_ms = now_ms - max(0, unix_ms - sign_unix_ms)
                _lifetimes.sign_restored(scheduler, lifetime, sign_ms)
        if task.phase is TaskPhase.DONE:
            continue
        if task.suspected:
            task.suspected_at_ms = now_ms
            scheduler.suspects_by_name[task.name] = task
        _losses.restored(scheduler, task, now_ms)


def plan(scheduler: Scheduler, now_ms: int, unix_ms: int) -> None:
    """Gives up the tasks that are guilty, and forgets those that have ended."""
    _losses.plan(scheduler, now_ms)
    for name, task in list(scheduler.suspects_by_name.items()):
        state = task.step.job
        if state.final or task.phase is TaskPhase.DONE or not task.suspected:
            del scheduler.suspects_by_name[name]
        elif task.phase is TaskPhase.WAITING and is_guilty(task):
            _note(scheduler, Event.TASK_GIVEN_UP, task)
            crashes = len(proven_runs(task, task.crashed_runs))
            alone = len(proven_runs(task, task.crashed_alone_runs))
            state.end_reason = (
                f'task {name} was given up: {crashes} backend servers crashed under '
                f'it, {alone} of them while it ran alone'
            )
            _ends.end_job(scheduler, state, JobPhase.FAILED, unix_ms)


def withheld_job_ids(scheduler: Scheduler) -> frozenset[str]:
    """Returns the jobs of which nothing else is started, as they may be given up."""
    return frozenset(
        task.step.job.job.job_id
        for task in scheduler.suspects_by_name.values()
        if proven_runs(task, task.crashed_alone_runs)
    )


def run_survives(scheduler: Scheduler, task: TaskState, now_ms: int) -> None:
    """Applies a report that lists the run of a suspected task as running."""
    if now_ms - task.started_at_ms >= late_crash_age_ms(task) + SURVIVAL_MARGIN_MS:
        _clear(scheduler, task, 'it has outlived all its crashed runs')


def run_ended(
    scheduler: Scheduler, backend: BackendState, task: TaskState, run: int, own: bool
) -> None:
    """Applies the end of a run; `own` if the task and not an order ended it."""
    withdraw_crash(scheduler, backend, task, run)
    if task.suspected and own:
        _clear(scheduler, task, 'its run has ended and the backend server lives')


def withdraw_crash(
    scheduler: Scheduler, backend: BackendState, task: TaskState, run: int
) -> None:
    """Removes a crash that did not happen, since the backend server runs on."""
    if run not in task.crashed_runs or task.step.job.final:
        return
    index = task.crashed_runs.index(run)
    # A batch that is being stored may hold the lists, so they are replaced.
    task.crashed_runs = _without(task.crashed_runs, index)
    task.crash_ages_ms = _without(task.crash_ages_ms, index)
    task.crashed_host_ids = _without(task.crashed_host_ids, index)
    task.crash_lifetimes = _without(task.crash_lifetimes, index)
    task.crash_signs_unix_ms = _without(task.crash_signs_unix_ms, index)
    task.unproven_runs = [number for number in task.unproven_runs if number != run]
    task.crashed_alone_runs = [
        number for number in task.crashed_alone_runs if number != run
    ]
    scheduler.note(
        Event.CRASH_WITHDRAWN,
        {
            'job_id': task.step.job.job.job_id,
            'task': task.name,
            'run': run,
            'backend_id': backend.backend_id,
            'crashes': len(task.crashed_runs),
        },
    )
    if task.suspected and not task.crashed_runs:
        _clear(scheduler, task, 'contact with the backend server was only lost')
    scheduler.mark_dirty(task.step.job)


def _without(values: list[T], index: int) -> list[T]:
    return values[:index] + values[index + 1 :]


def _clear(scheduler: Scheduler, task: TaskState, reason: str) -> None:
    """Ends the suspicion against a task and opens its host to other tasks."""
    task.suspected = False
    scheduler.suspects_by_name.pop(task.name, None)
    members = task.step.tasks if task.step.spec.gang else [task]
    if not any(member.suspected for member in members):
        for member in members:
            if member.isolated and member.backend is not None:
                member.backend.isolated_tasks -= 1
            member.isolated = False
    _note(scheduler, Event.TASK_CLEARED, task, reason=reason)
    scheduler.mark_dirty(task.step.job)


def _note(scheduler: Scheduler, event: Event, task: TaskState, **fields: str) -> None:
    scheduler.note(
        event,
        {
            'job_id': task.step.job.job.job_id,
            'task': task.name,
            'run': task.run,
            'crashes': len(task.crashed_runs),
            'crashes_alone': len(task.crashed_alone_runs),
            **fields,
        },
    )
