"""Planning round of the scheduler: places waiting tasks on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import (
    _crashes,
    _drains,
    _isolation,
    _late_starts,
    _lifetimes,
    _neighbours,
    _pacing,
    _placement,
    _progress,
    _ranking,
    _standstill,
    _strays,
    _usability,
)
from dandelionknot.jobs._generated import AskAdvice, JobPhase
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    StepState,
    TaskPhase,
    TaskState,
    assign,
    stop_command,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Most backend servers that the platform's advice service accepts in one call.
MAX_ADVICE_IDS = 100
# Once more steps of a service than this wait for room, no further steps of it are
# placed in this round, so that small tasks do not take the room that large ones need.
MAX_WAITING_STEPS = 12
# Share of the room of a service from which on this holds. Below it, there is room for
# others without what the waiting steps need.
HOLD_BACK_SHARE = 0.5


def plan(scheduler: Scheduler, now_ms: int, unix_ms: int) -> None:
    """Carries out a planning round.

    It requeues the tasks of expired leases, plans drains, restarts, paces and
    maintenance, places waiting tasks, and orders moves of hosts between pools.
    """
    _late_starts.plan(scheduler, now_ms)
    _free_expired(scheduler, now_ms)
    _lifetimes.plan(scheduler, now_ms)
    _crashes.plan(scheduler, now_ms, unix_ms)
    _drains.plan(scheduler, now_ms)
    _progress.plan(scheduler, now_ms)
    _pacing.plan(scheduler, now_ms)
    _neighbours.plan(scheduler, now_ms)
    for order in scheduler.maintenance.plan(scheduler, now_ms):
        scheduler.host_orders.append(order)
        scheduler.note(
            Event.UPKEEP_ORDERED,
            {'host_id': order.host_id, 'wave': order.wave_number},
        )
    backends_by_service: dict[str, list[BackendState]] = {}
    for backend in scheduler.backends_by_id.values():
        if backend.report is not None and _usability.is_usable(
            scheduler, backend, now_ms
        ):
            service = backend.report.service
            backends_by_service.setdefault(service, []).append(backend)
    steps_by_service: dict[str, list[StepState]] = {}
    for state in jobs_in_order(scheduler, now_ms):
        if state.job.spec.repeats:
            scheduler.open_due_occurrences(state, now_ms, unix_ms)
        steps = steps_by_service.setdefault(service_of(scheduler, state), [])
        steps.extend(ready_steps(state))
    for service, steps in steps_by_service.items():
        backends = backends_by_service.get(service)
        if backends:
            if place_steps(scheduler, steps, backends, now_ms):
                scheduler.full_services.discard(service)
            else:
                scheduler.full_services.add(service)
    # Tasks that still wait count as demand for more hosts, since the pools have no room
    # for them.
    scheduler.host_orders.extend(
        scheduler.capacity.plan(scheduler, steps_by_service, now_ms)
    )
    _standstill.plan(scheduler, backends_by_service, steps_by_service, now_ms)
    for order in scheduler.host_orders:
        scheduler.ordered_at_ms_by_host_id[order.host_id] = now_ms


def jobs_in_order(scheduler: Scheduler, now_ms: int) -> list[JobState]:
    """Returns the open jobs in the order in which their tasks are placed."""
    full = scheduler.full_services

    def rank(state: JobState) -> tuple:
        # Only jobs beyond a share rank otherwise if their service is full.
        is_full = state.share_level > 0 and service_of(scheduler, state) in full
        return _ranking.rank(state, now_ms, is_full)

    return sorted(scheduler.open_jobs_by_id.values(), key=rank)


def place_steps(
    scheduler: Scheduler,
    steps: list[StepState],
    backends: list[BackendState],
    now_ms: int,
) -> bool:
    """Places waiting tasks of a service on its usable backend servers.

    Returns whether no step waits for room.
    """
    left = _place_suspects(scheduler, steps, backends, now_ms)
    return _place_steps(scheduler, steps, left, now_ms)


def _place_suspects(
    scheduler: Scheduler,
    steps: list[StepState],
    backends: list[BackendState],
    now_ms: int,
) -> list[BackendState]:
    """Places suspected tasks alone; returns the backend servers left for others."""
    if not scheduler.suspects_by_name:
        for backend in backends:
            backend.reserved_at_ms = 0
        return backends
    return _isolation.place_suspects(
        scheduler,
        steps,
        backends,
        now_ms,
        lambda step, free: _allowed_by_advice(scheduler, step, free, now_ms),
        lambda task, backend, run: _place(scheduler, task, backend, run),
    )


def service_of(scheduler: Scheduler, state: JobState) -> str:
    """Returns the service whose backend servers run a job.

    This is the service in the configuration of its queue. If the queue is not
    configured any more, it is the service that was stored with the job.
    """
    configured = scheduler.queues_by_name.get(state.job.queue)
    return configured.service if configured else state.job.service


def _free_expired(scheduler: Scheduler, now_ms: int) -> None:
    for backend in [*scheduler.backends_by_id.values(), *scheduler.former_backends]:
        if not backend.tasks_by_name:
            continue
        lapses_at_ms = backend.lapses_at_ms
        if lapses_at_ms is not None and now_ms >= lapses_at_ms:
            _free_lapsed(scheduler, backend, now_ms)
        elif lapses_at_ms is not None and backend.fenced:
            # The backend server has answered in this term and is unresponsive now.
            _requeue_speculative(scheduler, backend)
    scheduler.former_backends = [
        backend for backend in scheduler.former_backends if backend.tasks_by_name
    ]
    for backend_id, backend in list(scheduler.backends_by_id.items()):
        known = backend.report or backend.contested_by
        has_strays = bool(backend.stray_tasks_by_name) and _strays.may_run(
            scheduler, backend, now_ms
        )
        if known is None and not backend.tasks_by_name and not has_strays:
            del scheduler.backends_by_id[backend_id]


def _free_lapsed(scheduler: Scheduler, backend: BackendState, now_ms: int) -> None:
    """Requeues the tasks whose lease has expired."""
    kept = _lifetimes.kept_beyond_lease(scheduler, backend, now_ms)
    if backend.lease_lapsed and len(kept) == len(backend.tasks_by_name):
        return
    backend.lease_lapsed = True
    scheduler.requeue_tasks(backend, 'lease lapsed', certain=False, kept=kept)


def _requeue_speculative(scheduler: Scheduler, backend: BackendState) -> None:
    """Requeues speculative tasks of an unresponsive backend server.

    A copy of such a task may run although its former run may not have ended. The former
    run is no longer counted towards the limit of the client account. The copy is
    therefore made only if the limit leaves room for two runs of each task.
    """
    for task in list(backend.tasks_by_name.values()):
        if (
            task.step.spec.speculative
            and _placement.has_room_for_copies(task.step.job.account)
            and _crashes.may_copy(scheduler, backend, task)
        ):
            # Its start may not have arrived yet and must not be carried out later.
            if task.start_sent:
                scheduler.commands.append(stop_command(backend, task.name, task.run))
            scheduler.requeue(
                task, 'backend server does not answer and the task is speculative'
            )


def _place_steps(
    scheduler: Scheduler,
    steps: list[StepState],
    backends: list[BackendState],
    now_ms: int,
) -> bool:
    """Places waiting tasks of a service; returns whether none waits for room.

    A step that no backend server could take, even without its short tasks, waits for
    something else than room and holds up no other step.
    """
    waiting = 0
    withheld = _crashes.withheld_job_ids(scheduler)
    for step in steps:
        if step.job.job.job_id in withheld:
            continue
        allowed = _allowed_by_advice(scheduler, step, backends, now_ms)
        if not allowed:
            continue
        if step.spec.gang:
            placed = _place_gang(scheduler, step, allowed, now_ms)
        else:
            placed = _place_tasks(scheduler, step, allowed, now_ms)
        if placed or not any(_placement.may_take_later(b, step) for b in allowed):
            continue
        waiting += 1
        if waiting > MAX_WAITING_STEPS and _used_share(backends) >= HOLD_BACK_SHARE:
            return False
    return not waiting


def _used_share(backends: list[BackendState]) -> float:
    """Returns the used share of the room of backend servers: the larger of two."""
    rooms = [b.report.room for b in backends if b.report is not None]
    cpu_millicores = sum(room.cpu_millicores for room in rooms)
    memory_mb = sum(room.memory_mb for room in rooms)
    return max(
        sum(b.cpu_millicores for b in backends) / max(1, cpu_millicores),
        sum(b.memory_mb for b in backends) / max(1, memory_mb),
    )


def _place_tasks(
    scheduler: Scheduler, step: StepState, backends: list[BackendState], now_ms: int
) -> bool:
    """Places the waiting tasks of a step.

    Returns False if no backend server has room for one of them. Returns True if a task
    waits only because of the limit of its client account or because starts are spaced.
    """
    spacing_ms = _crashes.start_spacing_ms(scheduler, step.job.queue.service, now_ms)
    backend: BackendState | None = None
    for task in step.tasks:
        if task.phase is not TaskPhase.WAITING or task.not_before_ms > now_ms:
            continue
        if task.suspected or _late_starts.must_wait(scheduler, task, now_ms):
            continue
        allowed = _late_starts.allowed_backends(scheduler, task, backends, now_ms)
        if not _placement.is_within_limit(step.job.account, step.spec.resources):
            return True
        # Tasks are packed, so the best host for one task is also the best for the next.
        # Long-running tasks are spread, so each needs a new choice.
        effects, image = scheduler.interference.effect_by_pair, step.spec.image
        spread = step.spec.long_running or spacing_ms > 0
        spread = spread or effects.get((image, image), 0.0) > 0
        if (
            backend is None
            or spread
            or backend not in allowed
            or not _placement.can_take(backend, step)
        ):
            ready = [b for b in allowed if b.placed_at_ms <= now_ms - spacing_ms]
            packs = scheduler.capacity.active()
            backend = _placement.best_backend(step, ready, packs, effects)
        if backend is None and len(allowed) < len(backends):
            continue
        if backend is None:
            return any(_placement.can_take(b, step) for b in backends)
        _place(scheduler, task, backend, task.run + 1)
        if len(allowed) < len(backends):
            # It was the only choice for this task, not the best one for the next.
            backend = None
    return True


def _place_gang(
    scheduler: Scheduler, step: StepState, backends: list[BackendState], now_ms: int
) -> bool:
    """Places all tasks of a gang with the same run number, or none of them.

    Returns False if the backend servers do not have room for all of them.
    """
    waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
    if len(waiting) < len(step.tasks):
        return True
    if any(task.not_before_ms > now_ms or task.suspected for task in waiting):
        return True
    if any(_late_starts.must_wait(scheduler, task, now_ms) for task in waiting):
        return True
    total = _placement.total_resources(step.spec, len(waiting))
    if not _placement.is_within_limit(step.job.account, total):
        return True
    effects = scheduler.interference.effect_by_pair
    places = _placement.place_gang(step, backends, effects)
    if places is None:
        return False
    run = max(task.run for task in step.tasks) + 1
    for task, backend in places:
        _place(scheduler, task, backend, run)
    return True


def _place(
    scheduler: Scheduler, task: TaskState, backend: BackendState, run: int
) -> None:
    task.run = run
    task.phase = TaskPhase.PLACED
    task.start_sent = False
    task.percent = 0
    task.reading = 0.0
    task.placed_unix_ms = scheduler.planned_unix_ms
    task.started_at_ms = scheduler.planned_ms
    _neighbours.note_placed(scheduler, task, backend)
    assign(task, backend)
    backend.placed_at_ms = scheduler.planned_ms
    state = task.step.job
    state.started = True
    if state.phase is JobPhase.QUEUED:
        state.phase = JobPhase.RUNNING
        state.placed_at_ms = scheduler.planned_ms
    scheduler.mark_dirty(state)
    scheduler.placed.append(task)


def _allowed_by_advice(
    scheduler: Scheduler, step: StepState, backends: list[BackendState], now_ms: int
) -> list[BackendState]:
    """Returns the backend servers on which a step may run.

    For a queue that needs advice, these are the servers with a valid ticket. The advice
    service is asked about further servers if these do not do for what waits.
    """
    if not step.job.queue.needs_advice:
        return backends
    tickets = step.tickets_by_backend_id
    allowed = []
    for backend in backends:
        ticket = tickets.get(backend.backend_id)
        if ticket is None:
            continue
        if ticket.born_ms == backend.born_ms and ticket.expires_ms > now_ms:
            allowed.append(backend)
        else:
            del tickets[backend.backend_id]
            step.asked_lifetimes.discard(backend.lifetime)
    bound_to = _bound_backends(scheduler, step, backends, now_ms)
    if any(backend not in allowed for backend in bound_to):
        _ask_advice(scheduler, step, bound_to, now_ms)
    elif not _have_place(step, allowed):
        _ask_advice(scheduler, step, backends, now_ms)
    return allowed


def _have_place(step: StepState, backends: list[BackendState]) -> bool:
    """Whether a task of a step may be placed on one of some backend servers.

    All members of a gang have to be placed. Room alone is not enough: a server may lack
    the required label, or run as many tasks of the step as it may.
    """
    if step.spec.gang:
        return _placement.place_gang(step, backends) is not None
    return any(_placement.can_take(backend, step) for backend in backends)


def _bound_backends(
    scheduler: Scheduler, step: StepState, backends: list[BackendState], now_ms: int
) -> list[BackendState]:
    """Returns the only backend servers on which some waiting tasks may be placed.

    Those are the servers to which a start of the task is open.
    """
    found: dict[str, BackendState] = {}
    for task in step.tasks:
        if task.phase is not TaskPhase.WAITING or not task.late_starts_by_backend_id:
            continue
        allowed = _late_starts.allowed_backends(scheduler, task, backends, now_ms)
        if len(allowed) < len(backends):
            found.update((backend.backend_id, backend) for backend in allowed)
    return list(found.values())


def _ask_advice(
    scheduler: Scheduler, step: StepState, backends: list[BackendState], now_ms: int
) -> None:
    if step.advice_pending or step.advice_not_before_ms > now_ms:
        return
    asked = [
        backend.lifetime
        for backend in backends
        if backend.lifetime not in step.asked_lifetimes
        and _placement.can_take(backend, step)
    ][:MAX_ADVICE_IDS]
    if asked:
        step.advice_pending = True
        scheduler.commands.append(
            AskAdvice(
                step_key=step.key,
                job_id=step.job.job.job_id,
                backend_ids=[lifetime.backend_id for lifetime in asked],
                born_ms=[lifetime.born_ms for lifetime in asked],
            )
        )


def ready_steps(state: JobState) -> list[StepState]:
    """Returns the steps with waiting tasks for which all earlier steps are done."""
    ready = []
    # Members of an enumeration are slow to look up, and this runs for each task.
    waiting = TaskPhase.WAITING
    for steps in state.steps_by_occurrence.values():
        for step in steps:
            if step.done == len(step.tasks):
                continue
            if step.spec.after and not _are_earlier_done(steps, step):
                continue
            for task in step.tasks:
                if task.phase is waiting:
                    ready.append(step)
                    break
    return ready


def _are_earlier_done(steps: list[StepState], step: StepState) -> bool:
    return all(
        steps[index].done == len(steps[index].tasks)
        for index in step.spec.after
        if index < len(steps)
    )
