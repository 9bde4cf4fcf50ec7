"""Runs suspected tasks alone, so that a crash shows the guilty one and costs no other.

A suspected task starts on a backend server that runs nothing else, and nothing else
starts there until the task is cleared or its run has ended. If none is empty, some are
reserved: a reserved one gets no other starts and becomes empty as its tasks end.

Most suspected tasks are innocent, so their jobs wait only for a limited time. Then such
a task starts beside others that have run there for a while, unless a backend server has
crashed under it alone. Since nothing else starts there, a crash still shows which task
caused it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _crashes, _late_starts, _placement
from dandelionknot.jobs._generated import Resources
from dandelionknot.jobs._maintenance import evict_if_allowed
from dandelionknot.jobs._state import (
    BackendState,
    StepState,
    TaskPhase,
    TaskState,
    occupied_cpu_millicores,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Largest share of the backend servers of a service that run suspected tasks, or are
# down because of one, at a time: while other tasks find no room, and otherwise. One is
# always possible.
ISOLATION_SHARE = 0.25
CALM_ISOLATION_SHARE = 0.5
# One more backend server is reserved for this many suspected tasks that wait.
SUSPECTS_PER_BACKEND = 4
# Backend servers that a service asks for beyond those for its other tasks, for each
# suspected task that waits. A guilty one takes them out of service for some seconds.
BACKENDS_PER_SUSPECT = 0.5
# A reserved backend server on which only long-running tasks are left is used beside
# them after this time, since their steps may not allow that they are stopped. A
# suspected task that has waited for as long is started beside any tasks.
MAX_WAIT_MS = 2000
# Time since the last start on a backend server until a suspected task may start there
# beside the others.
SETTLED_MS = 150
# Time for which a backend server that crashed under an isolated task counts as down.
RESTART_MS = 3500

Allowed = Callable[[StepState, list[BackendState]], list[BackendState]]
Place = Callable[[TaskState, BackendState, int], None]


@dataclass(slots=True, frozen=True)
class Unit:
    """What runs alone together: a suspected task, or all tasks of a suspected gang."""

    step: StepState
    tasks: list[TaskState]

    @property
    def has_crashed_alone(self) -> bool:
        """Whether a backend server has crashed under it while it ran alone."""
        return any(task.crashed_alone_runs for task in self.tasks)

    @property
    def waits_since_ms(self) -> int:
        """Local time since which it has waited for empty backend servers."""
        return max(task.suspected_at_ms for task in self.tasks)

    @property
    def crashes(self) -> int:
        """Number of crashes under the task with the most of them."""
        return max(len(task.crashed_runs) for task in self.tasks)


def place_suspects(
    scheduler: Scheduler,
    steps: list[StepState],
    backends: list[BackendState],
    now_ms: int,
    allowed: Allowed,
    place: Place,
) -> list[BackendState]:
    """Places suspected tasks of a service alone on its usable backend servers.

    `allowed` returns on which of some backend servers a step may run, and `place`
    places a task with a run number. Returns the backend servers that are left for other
    tasks.
    """
    units = _waiting_units(scheduler, steps, now_ms)
    if not units:
        return _without_reserved(backends, 0)
    in_use, down = _isolation_counts(scheduler, steps, now_ms)
    limit = _most_at_once(scheduler, steps, len(backends) + in_use + down)
    unplaced: list[Unit] = []
    for unit in sorted(units, key=_innocence):
        if in_use + down >= limit and not unit.step.spec.gang:
            continue
        if not _is_within_limit(unit):
            continue
        placed = _place_unit(scheduler, unit, backends, now_ms, allowed, place)
        if placed:
            in_use += placed
        else:
            unplaced.append(unit)
    unplaced = [
        unit
        for unit in unplaced
        if any(_is_usable_for(unit.step, backend) for backend in backends)
    ]
    if not unplaced:
        return _without_reserved(backends, 0)
    wanted = min(math.ceil(len(units) / SUSPECTS_PER_BACKEND), limit) - in_use
    wanted = max(wanted, 0 if in_use else 1)
    if unplaced[0].step.spec.gang:
        # A gang needs several at a time, as many as its tasks need room.
        wanted = max(wanted, 1 + sum(not b.tasks_by_name for b in backends))
    _reserve(scheduler, unplaced[0], backends, wanted, now_ms)
    return _without_reserved(backends, wanted)


def _waiting_units(
    scheduler: Scheduler, steps: list[StepState], now_ms: int
) -> list[Unit]:
    units = []
    for step in steps:
        suspects = [
            task
            for task in step.tasks
            if task.suspected
            and task.phase is TaskPhase.WAITING
            and task.not_before_ms <= now_ms
            and not _crashes.is_guilty(task)
        ]
        if not suspects:
            continue
        may_start = {
            task.name
            for task in step.tasks
            if not _late_starts.must_wait(scheduler, task, now_ms)
        }
        if not step.spec.gang:
            units += [Unit(step, [task]) for task in suspects if task.name in may_start]
        elif all(
            task.phase is TaskPhase.WAITING and task.name in may_start
            for task in step.tasks
        ):
            units.append(Unit(step, step.tasks))
    return units


def _most_at_once(scheduler: Scheduler, steps: list[StepState], present: int) -> int:
    """Returns how many of the present backend servers may be used for suspects."""
    services = {step.job.queue.service for step in steps}
    full = not services.isdisjoint(scheduler.full_services)
    return max(1, int(present * (ISOLATION_SHARE if full else CALM_ISOLATION_SHARE)))


def _is_within_limit(unit: Unit) -> bool:
    needed, count = unit.step.spec.resources, len(unit.tasks)
    total = Resources(
        cpu_millicores=needed.cpu_millicores * count,
        memory_mb=needed.memory_mb * count,
        accelerators=needed.accelerators * count,
    )
    return _placement.is_within_limit(unit.step.job.account, total)


def _innocence(unit: Unit) -> tuple[bool, int, int]:
    """Returns the sort key of a unit; the one that is most likely innocent goes first.

    It costs no backend server and need not wait for the guilty ones. Of the tasks that
    started shortly before a crash, the latest is the most likely to have caused it.
    """
    age_ms = min(
        (task.crash_ages_ms[-1] for task in unit.tasks if task.crash_ages_ms), default=0
    )
    return unit.has_crashed_alone, unit.crashes, -age_ms


def wanted_backends(steps: list[StepState]) -> int:
    """Returns how many backend servers a service can use for its suspected tasks.

    They come in addition to those for other tasks, so that these do not wait.
    """
    suspects = sum(
        task.suspected and task.phase is TaskPhase.WAITING
        for step in steps
        for task in step.tasks
    )
    return math.ceil(suspects * BACKENDS_PER_SUSPECT)


def _isolation_counts(
    scheduler: Scheduler, steps: list[StepState], now_ms: int
) -> tuple[int, int]:
    """Returns how many backend servers run an isolated task, and are down under one."""
    services = {step.job.queue.service for step in steps}
    in_use = sum(
        1
        for backend in scheduler.backends_by_id.values()
        if backend.isolated_tasks
        and backend.reachable
        and backend.report is not None
        and backend.report.service in services
    )
    down = sum(
        loss.lost_at_ms > now_ms - RESTART_MS and loss.isolated_service in services
        for loss in scheduler.losses
    )
    return in_use, down


def _place_unit(
    scheduler: Scheduler,
    unit: Unit,
    backends: list[BackendState],
    now_ms: int,
    allowed: Allowed,
    place: Place,
) -> int:
    """Places a unit on free backend servers; returns how many it uses, or 0."""
    step = unit.step
    usable = [backend for backend in backends if _is_usable_for(step, backend)]
    free = allowed(step, [b for b in usable if _is_free(b, now_ms)])
    places = _places(unit, _other_hosts(unit, free, usable))
    if not places and _has_waited(unit, now_ms):
        settled = allowed(step, [b for b in usable if _is_settled(b, now_ms)])
        places = _places(unit, _least_used(unit, _other_hosts(unit, settled, usable)))
    if not places:
        return 0
    run = max(task.run for task in unit.tasks) + 1
    for task, backend in places:
        task.isolated = True
        place(task, backend, run)
        scheduler.note(
            Event.TASK_ISOLATED,
            {
                'job_id': step.job.job.job_id,
                'task': task.name,
                'run': run,
                'backend_id': backend.backend_id,
                'crashes': len(task.crashed_runs),
                'beside_tasks': len(backend.tasks_by_name) - 1,
            },
        )
    return len({backend.backend_id for _, backend in places})


def _places(
    unit: Unit, backends: list[BackendState]
) -> list[tuple[TaskState, BackendState]] | None:
    """Returns a backend server for each task of a unit, or None without room."""
    if unit.step.spec.gang:
        return _placement.place_gang(unit.step, backends)
    best = _placement.best_backend(unit.step, backends)
    return [(unit.tasks[0], best)] if best is not None else None


def _least_used(unit: Unit, backends: list[BackendState]) -> list[BackendState]:
    """Returns those with room and the fewest tasks first; for one task, the first."""
    found = [b for b in backends if _placement.can_take(b, unit.step)]
    found.sort(key=lambda backend: len(backend.tasks_by_name))
    return found if unit.step.spec.gang else found[:1]


def _has_waited(unit: Unit, now_ms: int) -> bool:
    """Whether a unit that is probably innocent has waited for long enough."""
    return not unit.has_crashed_alone and now_ms - unit.waits_since_ms >= MAX_WAIT_MS


def _other_hosts(
    unit: Unit, backends: list[BackendState], usable: list[BackendState]
) -> list[BackendState]:
    """Returns the backend servers on other hosts than those that crashed before.

    A host may crash whatever it starts, so a second crash on it proves nothing. If too
    few are left for the unit, those that did not crash while it ran alone are next. All
    are used again if the unit could not run on the other `usable` ones at all.
    """
    crashed: set[str] = set()
    for alone in (False, True):
        crashed = _crashed_host_ids(unit, alone)
        others = [b for b in backends if b.known_host_id not in crashed]
        if _could_hold(unit, others):
            return others
    others = [b for b in usable if b.known_host_id not in crashed]
    return [] if _could_hold(unit, others) else backends


def _crashed_host_ids(unit: Unit, alone: bool) -> set[str]:
    host_ids: set[str] = set()
    for task in unit.tasks:
        runs = task.crashed_alone_runs if alone else task.crashed_runs
        host_ids |= _crashes.hosts_of_crashes(task, runs)
    return host_ids


def _could_hold(unit: Unit, backends: list[BackendState]) -> bool:
    """Whether empty backend servers would have room for all tasks of a unit."""
    if not unit.step.spec.gang:
        return bool(backends)
    return sum(_most_tasks(unit, b) for b in backends) >= len(unit.tasks)


def _most_tasks(unit: Unit, backend: BackendState) -> int:
    """Returns how many tasks of a unit an empty backend server could run."""
    if backend.report is None:
        return 0
    spec, room = unit.step.spec, backend.report.room
    most = min(spec.max_per_host or len(unit.tasks), len(unit.tasks))
    for needed, present in (
        (occupied_cpu_millicores(spec), room.cpu_millicores),
        (spec.resources.memory_mb, room.memory_mb),
        (spec.resources.accelerators, room.accelerators),
    ):
        if needed:
            most = min(most, present // needed)
    return most


def _is_free(backend: BackendState, now_ms: int) -> bool:
    """Whether a suspected task would run alone on a backend server.

    Long-running tasks that could not be stopped in time do not count.
    """
    if backend.isolated_tasks:
        return False
    has_waited = 0 < backend.reserved_at_ms <= now_ms - MAX_WAIT_MS
    return not backend.tasks_by_name or (
        has_waited
        and all(task.step.spec.long_running for task in backend.tasks_by_name.values())
    )


def _is_settled(backend: BackendState, now_ms: int) -> bool:
    """Whether a crash would show that a task started now on it was the cause."""
    return not backend.isolated_tasks and backend.placed_at_ms <= now_ms - SETTLED_MS


def _reserve(
    scheduler: Scheduler,
    unit: Unit,
    backends: list[BackendState],
    wanted: int,
    now_ms: int,
) -> None:
    """Reserves the backend servers for a unit that will be empty first.

    At most `wanted` are reserved, and former reservations of others end.
    """
    usable = [backend for backend in backends if _is_usable_for(unit.step, backend)]
    usable = _other_hosts(unit, usable, usable)
    for backend in backends:
        if backend not in usable:
            backend.reserved_at_ms = 0
    usable.sort(key=lambda backend: (not backend.reserved_at_ms, *_time_left(backend)))
    for backend in usable[:wanted]:
        backend.reserved_at_ms = backend.reserved_at_ms or now_ms
        for task in list(backend.tasks_by_name.values()):
            evict_if_allowed(scheduler, task, 'its host is needed for a suspected task')


def _time_left(backend: BackendState) -> tuple[bool, float]:
    """Returns whether a backend server runs long-running tasks, and its time left."""
    left_ms = 0.0
    for task in backend.tasks_by_name.values():
        if not task.step.spec.long_running:
            share = (100 - min(100, task.percent)) / 100
            left_ms = max(left_ms, task.step.spec.estimated_ms * share)
    has_long_running = any(
        task.step.spec.long_running for task in backend.tasks_by_name.values()
    )
    return has_long_running, left_ms


def _is_usable_for(step: StepState, backend: BackendState) -> bool:
    """Whether a step may run on a backend server and fits there once it is empty."""
    if backend.report is None or not _placement.is_allowed_on(step, backend):
        return False
    spec, room = step.spec, backend.report.room
    return (
        occupied_cpu_millicores(spec) <= room.cpu_millicores
        and spec.resources.memory_mb <= room.memory_mb
        and spec.resources.accelerators <= room.accelerators
    )


def _without_reserved(backends: list[BackendState], wanted: int) -> list[BackendState]:
    """Returns the backend servers that are not isolated or among the reserved ones.

    Reservations beyond the wanted number end, the latest first.
    """
    reserved = [backend for backend in backends if backend.reserved_at_ms]
    reserved.sort(key=lambda backend: backend.reserved_at_ms)
    for backend in reserved[wanted:]:
        backend.reserved_at_ms = 0
    return [b for b in backends if not b.reserved_at_ms and not b.isolated_tasks]
