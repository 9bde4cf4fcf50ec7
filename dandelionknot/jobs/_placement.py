"""Chooses the backend server on which a task runs."""

import math
from collections.abc import Iterable, Mapping

from dandelionknot.jobs._generated import Resources, StepSpec
from dandelionknot.jobs._state import (
    AccountState,
    BackendState,
    StepState,
    TaskPhase,
    TaskState,
    has_long_running,
    occupied_cpu_millicores,
)

# Cost of a cold backend server, high enough that a cold one is used only if no warm one
# has room.
COLD_PENALTY = 10.0
# Cost of a rack other than the preferred one of the step.
REMOTE_RACK_PENALTY = 2.0
# Cost, for a long-running task, of a host that is due for maintenance: the task would
# have to be moved soon.
MAINTENANCE_DUE_PENALTY = 3.0
# Cost, for a packed task, of a host without long-running tasks: the host could not be
# moved to another pool any more.
OPENED_HOST_PENALTY = 2.0
# Cost, for a packed task, of a host with as many tasks of its step as may be
# unavailable at the same time: it could not be emptied at once.
OVER_BUDGET_PENALTY = 3.0
# Cost of a host that is borrowed from another pool.
BORROWED_PENALTY = 3.0
# Largest share of its limit that a client account may use when copies of its tasks are
# started. With a copy of each task, the account still stays within the limit.
MAX_SHARE_FOR_COPIES = 0.5
# Cost per task on the host that would slow the new task or be slowed by it: serving
# tasks and tasks that use idle capacity slow each other. It holds for pairs of images
# of which no effect is known.
INTERFERENCE_PENALTY = 4.0
# Cost of an image that is known to slow the new task, or to be slowed by it, for each
# unit of the logarithm of the slow-down; a slow-down by half costs as much as above.
EFFECT_PENALTY = INTERFERENCE_PENALTY / math.log(1.5)
# Largest cost of all known effects. It is below the cost of a cold backend server.
MAX_EFFECT_PENALTY = 8.0
# Effect of each pair of images that is known, as a logarithm: 0 if there is none.
Effects = Mapping[tuple[str, str], float]
NO_EFFECTS: Effects = {}


def is_within_limit(account: AccountState, needed: Resources) -> bool:
    """Whether a client account stays within its limit with `needed` added."""
    limit, unseen = account.limit, account.unseen
    return (
        _is_amount_within_limit(
            account.cpu_millicores + unseen.cpu_millicores,
            needed.cpu_millicores,
            limit.cpu_millicores,
        )
        and _is_amount_within_limit(
            account.memory_mb + unseen.memory_mb, needed.memory_mb, limit.memory_mb
        )
        and _is_amount_within_limit(
            account.accelerators + unseen.accelerators,
            needed.accelerators,
            limit.accelerators,
        )
    )


def total_resources(spec: StepSpec, count: int) -> Resources:
    """Returns the resources that a number of tasks of a step need together."""
    needed = spec.resources
    return Resources(
        cpu_millicores=needed.cpu_millicores * count,
        memory_mb=needed.memory_mb * count,
        accelerators=needed.accelerators * count,
    )


def has_room_for_copies(account: AccountState) -> bool:
    """Whether a client account stays within its limit if its tasks run twice."""
    limit = account.limit
    pairs = (
        (account.cpu_millicores, limit.cpu_millicores),
        (account.memory_mb, limit.memory_mb),
        (account.accelerators, limit.accelerators),
    )
    return all(not most or used <= most * MAX_SHARE_FOR_COPIES for used, most in pairs)


def _is_amount_within_limit(used: int, needed: int, limit: int) -> bool:
    """Whether an amount in use plus a needed one is within a limit; 0 is no limit."""
    return not limit or not needed or used + needed <= limit


def has_room(backend: BackendState, spec: StepSpec) -> bool:
    """Whether a backend server has enough free resources for one more task."""
    if backend.report is None:
        return False
    room, needed = backend.report.room, spec.resources
    return (
        backend.cpu_millicores + occupied_cpu_millicores(spec) <= room.cpu_millicores
        and backend.memory_mb + needed.memory_mb <= room.memory_mb
        and backend.accelerators + needed.accelerators <= room.accelerators
    )


def is_allowed_on(step: StepState, backend: BackendState) -> bool:
    """Whether the label and `max_per_host` of a step allow one more task on a host."""
    spec = step.spec
    if spec.required_label and (
        backend.report is None or spec.required_label not in backend.report.labels
    ):
        return False
    if not spec.max_per_host:
        return True
    used = step.tasks_by_backend_id.get(backend.backend_id, 0)
    return used < spec.max_per_host


def can_take(backend: BackendState, step: StepState) -> bool:
    """Whether a backend server may run and has room for one more task of a step."""
    return has_room(backend, step.spec) and is_allowed_on(step, backend)


def may_take_later(backend: BackendState, step: StepState) -> bool:
    """Whether a backend server can take a task of a step once its short tasks end."""
    if backend.report is None or not is_allowed_on(step, backend):
        return False
    spec, room = step.spec, backend.report.room
    cpu_millicores = room.cpu_millicores - occupied_cpu_millicores(spec)
    memory_mb = room.memory_mb - spec.resources.memory_mb
    accelerators = room.accelerators - spec.resources.accelerators
    if min(cpu_millicores, memory_mb, accelerators) < 0:
        return False
    lasting = [t.step.spec for t in backend.tasks_by_name.values()]
    lasting = [other for other in lasting if other.long_running]
    return (
        sum(occupied_cpu_millicores(other) for other in lasting) <= cpu_millicores
        and sum(other.resources.memory_mb for other in lasting) <= memory_mb
        and sum(other.resources.accelerators for other in lasting) <= accelerators
    )


def best_backend(
    step: StepState,
    backends: Iterable[BackendState],
    packs_long_running: bool = False,
    effects: Effects = NO_EFFECTS,
) -> BackendState | None:
    """Returns the backend server with the lowest cost that can take a task, or None.

    `packs_long_running` is whether hosts without long-running tasks are of use
    elsewhere, since they can be moved to another pool at any time. `effects` are those
    of pairs of images on each other that are known.
    """
    packs = packs_long_running and is_packed(step.spec)
    racks = _racks_in_use(step) if packs else {}
    best: BackendState | None = None
    best_cost = 0.0
    for backend in backends:
        if not can_take(backend, step):
            continue
        if packs:
            cost = _packing_cost(step, backend, racks)
            cost += _interference_cost(step.spec, backend, effects)
        else:
            cost = _cost(step, backend, effects)
        if best is None or cost < best_cost:
            best, best_cost = backend, cost
    return best


def cost_of(
    step: StepState, backend: BackendState, effects: Effects = NO_EFFECTS
) -> float:
    """Returns the cost by which `best_backend` chooses among backend servers."""
    return _cost(step, backend, effects)


def _cost(step: StepState, backend: BackendState, effects: Effects) -> float:
    """Returns the cost of running a task on a backend server; the lowest is best.

    The cost is made up of the share of the room in use and penalties for what slows the
    task. Long-running tasks are placed on the least used hosts. Other tasks fill one
    host after the other, and borrowed hosts last. In this way, fewer jobs have a task
    on a host that is slow or lost, and unused hosts stay empty, so that other pools can
    borrow them.
    """
    report = backend.report
    assert report is not None
    room, spec = report.room, step.spec
    cost = backend.cpu_millicores / max(1, room.cpu_millicores)
    cost += 0.5 * backend.memory_mb / max(1, room.memory_mb)
    if not spec.long_running:
        cost = BORROWED_PENALTY * backend.borrowed - cost
    if report.cold_left_ms:
        cost += COLD_PENALTY
    if spec.preferred_rack and backend.rack != spec.preferred_rack:
        cost += REMOTE_RACK_PENALTY
    cost += _interference_cost(spec, backend, effects)
    if spec.long_running:
        cost += MAINTENANCE_DUE_PENALTY * backend.maintenance_due
        cost += BORROWED_PENALTY * backend.borrowed
        cost += step.tasks_by_backend_id.get(backend.backend_id, 0)
    return cost


def is_packed(spec: StepSpec) -> bool:
    """Whether tasks of a step may share few hosts with other long-running tasks.

    Tasks with a latency objective slow each other, so they are spread.
    """
    return (
        spec.long_running
        and not spec.latency_objective_ms
        and not spec.uses_idle_capacity
    )


def _racks_in_use(step: StepState) -> dict[str, int]:
    """Returns how many tasks of a step are placed in each rack."""
    counts: dict[str, int] = {}
    for task in step.tasks:
        if task.backend is not None:
            rack = task.backend.rack
            counts[rack] = counts.get(rack, 0) + 1
    return counts


def _packing_cost(
    step: StepState, backend: BackendState, tasks_by_rack: dict[str, int]
) -> float:
    """Returns the cost of a host for a task that is packed; the lowest is best.

    Hosts that run long-running tasks already come first, as long as they can be emptied
    at once within the availability budget of the step, and of those and the others each
    time the ones in the rack with the fewest tasks of the step, so that the loss of a
    rack ends as few of them as possible.
    """
    report = backend.report
    assert report is not None
    cost = tasks_by_rack.get(backend.rack, 0) / max(1, len(step.tasks))
    cost -= backend.cpu_millicores / max(1, report.room.cpu_millicores) / 2
    tasks_here = step.tasks_by_backend_id.get(backend.backend_id, 0)
    if tasks_here >= max(1, step.spec.max_unavailable):
        cost += OVER_BUDGET_PENALTY
    elif not has_long_running(backend):
        cost += OPENED_HOST_PENALTY
    if report.cold_left_ms:
        cost += COLD_PENALTY
    if step.spec.preferred_rack and backend.rack != step.spec.preferred_rack:
        cost += REMOTE_RACK_PENALTY
    cost += MAINTENANCE_DUE_PENALTY * backend.maintenance_due
    cost += BORROWED_PENALTY * backend.borrowed
    return cost


def _interference_cost(
    spec: StepSpec, backend: BackendState, effects: Effects
) -> float:
    """Returns the cost of the tasks that slow a new one or are slowed by it.

    Each image counts by the effects of the two on each other that are known. A task
    that uses idle capacity counts as a fixed cost beside a serving one, in addition,
    unless its effect on the serving one is known.
    """
    is_serving = bool(spec.latency_objective_ms)
    may_interfere = spec.uses_idle_capacity or is_serving
    if not may_interfere and not (effects and spec.image):
        return 0.0
    effect_by_image: dict[str, float] = {}
    unknown = 0
    for task in backend.tasks_by_name.values():
        other = task.step.spec
        if effects:
            effect_by_image[other.image] = _effect(spec.image, other.image, effects)
        if spec.uses_idle_capacity:
            if other.latency_objective_ms:
                unknown += (other.image, spec.image) not in effects
        elif is_serving and other.uses_idle_capacity:
            unknown += (spec.image, other.image) not in effects
    known = EFFECT_PENALTY * sum(effect_by_image.values())
    return INTERFERENCE_PENALTY * unknown + min(known, MAX_EFFECT_PENALTY)


def _effect(image: str, other: str, effects: Effects) -> float:
    """Returns the sum of the known effects of two images on each other."""
    effect = effects.get((image, other), 0.0)
    return effect + effects.get((other, image), 0.0) if image != other else effect


def proven_neighbours(
    spec: StepSpec, backend: BackendState, effects: Effects
) -> set[str]:
    """Returns the images on a backend server that interfere with a task."""
    images = {task.step.spec.image for task in backend.tasks_by_name.values()}
    return {image for image in images if _effect(spec.image, image, effects) > 0}


def place_gang(
    step: StepState, backends: list[BackendState], effects: Effects = NO_EFFECTS
) -> list[tuple[TaskState, BackendState]] | None:
    """Returns a backend server for each task of a gang, or None without room for all.

    Backend servers with neighbours that are known to interfere are used last.

    If the step asks for `same_rack`, each rack is tried alone first. If no rack has
    room for the whole gang, the backend servers of all racks are used together.
    """
    if effects and step.spec.image:
        backends = sorted(
            backends, key=lambda b: len(proven_neighbours(step.spec, b, effects))
        )
    if step.spec.same_rack:
        racks = sorted({backend.rack for backend in backends})
        for rack in racks:
            found = _place_all(step, [b for b in backends if b.rack == rack])
            if found is not None:
                return found
    return _place_all(step, backends)


def _place_all(
    step: StepState, backends: list[BackendState]
) -> list[tuple[TaskState, BackendState]] | None:
    waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
    added: dict[str, int] = {}
    places = []
    for task in waiting:
        found = next((b for b in backends if _can_take_another(step, b, added)), None)
        if found is None:
            return None
        added[found.backend_id] = added.get(found.backend_id, 0) + 1
        places.append((task, found))
    return places


def _can_take_another(
    step: StepState, backend: BackendState, added: dict[str, int]
) -> bool:
    """Whether a backend server can take one more task of a gang.

    `added` holds, for each backend id, how many tasks of the gang it is to take
    already.
    """
    if backend.report is None or not is_allowed_on(step, backend):
        return False
    spec, room = step.spec, backend.report.room
    count = added.get(backend.backend_id, 0)
    if spec.max_per_host:
        used = step.tasks_by_backend_id.get(backend.backend_id, 0)
        if used + count >= spec.max_per_host:
            return False
    needed = spec.resources
    count += 1
    return (
        backend.cpu_millicores + count * occupied_cpu_millicores(spec)
        <= room.cpu_millicores
        and backend.memory_mb + count * needed.memory_mb <= room.memory_mb
        and backend.accelerators + count * needed.accelerators <= room.accelerators
    )
