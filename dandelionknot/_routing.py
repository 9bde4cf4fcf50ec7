"""Choice of a worker host for a task.

A choice looks at the free lists of the `RoutingTable` only, never at a host
that it must not use, so its cost grows with the number of zones and host sizes
but not with that of hosts.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot._availability import UnavailableReason
from dandelionknot._routing_table import (
    HEALTHY,
    MAX_SLOTS,
    HostChoice,
    HostGroup,
    HostLoad,
    PoolRoutes,
    RoutingTable,
    TaskSize,
    insert,
    place,
    remove,
)
from dandelionknot._zones import zone_fraction
from dandelionknot.messages import ErrorCode, Refusal, RunState, UsageReport

__all__ = [
    'BUSY_HOLD_MS',
    'HEALTHY',
    'MAX_SLOTS',
    'RANDOM_NUMBERS_PER_CHOICE',
    'SMALLEST_TASK',
    'HostChoice',
    'HostGroup',
    'HostLoad',
    'HostView',
    'PoolRoutes',
    'RoutingTable',
    'TaskSize',
    'choose',
    'host_busy',
    'host_finished',
    'host_started',
    'host_views',
    'own_running',
    'release_busy_hosts',
    'set_excluded',
    'set_usage',
]

RANDOM_NUMBERS_PER_CHOICE = 3

# A busy answer outweighs the last usage report for this long. It is about the
# interval between usage reports; the next one shows the actual load.
BUSY_HOLD_MS = 1000

SMALLEST_TASK = TaskSize()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Demand:
    """What one choice asks for, and the numbers that it draws."""

    size: TaskSize
    own_zone_only: bool
    random_numbers: Sequence[float]
    now_ms: int


@dataclass(slots=True)
class _Candidates:
    """Groups with a free host that fits, each with the weight of its zone."""

    own: list[tuple[HostGroup, float]] = field(default_factory=list)
    others: list[tuple[HostGroup, float]] = field(default_factory=list)
    own_fraction: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """What an entry host knows of one host, for an explanation to operators.

    `retry_after_ms` is the rest of a busy answer's time, or 0.
    """

    host_id: str
    availability_zone: str
    running: int
    slots: int
    reasons: tuple[UnavailableReason, ...]
    retry_after_ms: int
    may_be_chosen: bool


def choose(
    table: RoutingTable,
    service_id: str,
    random_numbers: Sequence[float],
    now_ms: int,
    excluded: Collection[str] = (),
    size: TaskSize = SMALLEST_TASK,
    own_zone_only: bool = False,
) -> Result[HostChoice, Refusal]:
    """Chooses the less loaded of two random hosts that can take a task.

    Hosts of the own zone are used until none of them has a free slot.
    `random_numbers` has `RANDOM_NUMBERS_PER_CHOICE` numbers from [0, 1).
    `excluded` names hosts that this task must not use again. The choice
    changes no load; the caller reports the start with `host_started`.

    >>> choose(table, 'desk', [random() for _ in range(3)], now_ms)
    Ok(HostChoice(host_id='quotes-1', address='10.0.0.1:8000', ...))
    """
    release_busy_hosts(table, now_ms)
    routes = table.routes_by_service.get(service_id)
    if routes is None:
        message = f'service {service_id!r} does not exist'
        return Err(_refusal(ErrorCode.SERVICE_NOT_FOUND, message))
    if not any(_fits(size, host_size) for host_size in routes.sizes):
        return Err(_cannot_fit(routes, size))
    demand = _Demand(
        size=size,
        own_zone_only=own_zone_only,
        random_numbers=random_numbers,
        now_ms=now_ms,
    )
    hidden = _hide(table, excluded)
    chosen = _choose_free(table, routes, demand)
    for load in hidden:
        insert(load)
    if chosen is None:
        return Err(_no_host(table, routes, demand))
    return Ok(chosen.choice)


def host_started(table: RoutingTable, host_id: str) -> None:
    """Counts a task of this entry host that is sent to a host."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.own_running += 1
        place(load)


def host_finished(table: RoutingTable, host_id: str) -> None:
    """Ends the count of a task, also if the host refused to start it."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.own_running = max(0, load.own_running - 1)
        place(load)


def host_busy(table: RoutingTable, host_id: str, now_ms: int) -> None:
    """Takes a host that answered `busy` as full until `BUSY_HOLD_MS` from now."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.busy_until_ms = now_ms + BUSY_HOLD_MS
        table.busy_hosts.append((load.busy_until_ms, host_id))
        place(load)


def own_running(table: RoutingTable, host_id: str) -> int:
    """Returns the number of tasks of this entry host on a host."""
    load = table.hosts_by_id.get(host_id)
    return load.own_running if load else 0


def set_usage(
    table: RoutingTable, host_id: str, report: UsageReport, own_when_asked: int
) -> None:
    """Takes over a usage report, which is out of date when it arrives.

    `own_when_asked` is `own_running` at the moment when the report was asked
    for; the rest of the reported tasks belongs to other entry hosts. Tasks
    that this entry host starts or ends meanwhile are counted exactly. A busy
    answer stays in force, since the report may speak of an earlier moment.
    """
    load = table.hosts_by_id.get(host_id)
    if load is None:
        return
    load.other_running = max(0, report.running - own_when_asked)
    load.reported_slots = report.slots
    load.slots = min(load.configured_slots, load.reported_slots)
    set_excluded(table, host_id, UnavailableReason.DRAINING, report.draining)


def set_excluded(
    table: RoutingTable, host_id: str, reason: UnavailableReason, excluded: bool
) -> None:
    """Sets or clears one reason for which a host is not chosen.

    `DRAINING` follows the usage reports of the host and `set_usage` sets it.
    What the configuration says needs no call: the next table has it.
    """
    load = table.hosts_by_id.get(host_id)
    if load is None:
        return
    if excluded:
        load.exclusions.add(reason)
    else:
        load.exclusions.discard(reason)
    place(load)


def release_busy_hosts(table: RoutingTable, now_ms: int) -> None:
    """Ends the busy answers whose time has passed."""
    while table.busy_hosts and table.busy_hosts[0][0] <= now_ms:
        _, host_id = table.busy_hosts.popleft()
        load = table.hosts_by_id.get(host_id)
        if load is None or load.busy_until_ms is None:
            continue
        if load.busy_until_ms <= now_ms:
            load.busy_until_ms = None
            place(load)


def host_views(
    table: RoutingTable, service_id: str, now_ms: int
) -> tuple[HostView, ...]:
    """Explains for each host of a service why it may or may not be chosen.

    This looks at every host of the table, so it answers operators and is not
    called for each request.
    """
    release_busy_hosts(table, now_ms)
    routes = table.routes_by_service.get(service_id)
    if routes is None:
        return ()
    return tuple(
        _host_view(load, now_ms)
        for load in table.hosts_by_id.values()
        if load.choice.pool == routes.pool
    )


def _host_view(load: HostLoad, now_ms: int) -> HostView:
    reasons = set(load.exclusions)
    if load.configured_reason is not None:
        reasons.add(load.configured_reason)
    return HostView(
        host_id=load.choice.host_id,
        availability_zone=load.choice.availability_zone,
        running=load.own_running + load.other_running,
        slots=load.slots,
        reasons=tuple(sorted(reasons)),
        retry_after_ms=(load.busy_until_ms or now_ms) - now_ms,
        may_be_chosen=load.position >= 0,
    )


def _fits(size: TaskSize, host_size: TaskSize) -> bool:
    return size.cores <= host_size.cores and size.memory_mb <= host_size.memory_mb


def _hide(table: RoutingTable, excluded: Collection[str]) -> list[HostLoad]:
    """Takes hosts out of their free lists for one choice and returns them.

    They are sorted, so that the order of the free lists and with it later
    choices do not depend on the hash seed of the process.
    """
    hidden = [
        load
        for host_id in sorted(set(excluded))
        if (load := table.hosts_by_id.get(host_id)) and load.position >= 0
    ]
    for load in hidden:
        remove(load)
    return hidden


def _choose_free(
    table: RoutingTable, routes: PoolRoutes, demand: _Demand
) -> HostLoad | None:
    found = _candidates(table, routes, demand)
    own_suffices = not found.others or demand.random_numbers[0] < found.own_fraction
    groups = found.own if found.own and own_suffices else found.others
    return _less_loaded(groups, demand.random_numbers)


def _candidates(
    table: RoutingTable, routes: PoolRoutes, demand: _Demand
) -> _Candidates:
    found = _Candidates()
    for zone_id, groups in routes.groups_by_zone.items():
        is_own = zone_id == table.own_zone_id
        if demand.own_zone_only and not is_own:
            continue
        free = list(_free_groups(groups, demand.size))
        if not free:
            continue
        ramp_ms, now_ms = table.ramp_ms, demand.now_ms
        fraction = zone_fraction(table.zone_ramp, zone_id, ramp_ms, now_ms)
        if is_own:
            found.own_fraction = fraction
        weighted = found.own if is_own else found.others
        weighted.extend((group, fraction) for group in free)
    return found


def _free_groups(
    groups: dict[TaskSize, HostGroup], size: TaskSize
) -> Iterator[HostGroup]:
    for host_size, group in groups.items():
        if group.free and _fits(size, host_size):
            yield group


def _less_loaded(
    weighted_groups: list[tuple[HostGroup, float]], random_numbers: Sequence[float]
) -> HostLoad | None:
    first = _draw(weighted_groups, random_numbers[1], None)
    if first is None:
        return None
    second = _draw(weighted_groups, random_numbers[2], first)
    if second is None:
        return first
    first_load = (first.own_running + first.other_running) * second.slots
    second_load = (second.own_running + second.other_running) * first.slots
    return first if first_load <= second_load else second


def _draw(
    weighted_groups: list[tuple[HostGroup, float]],
    random_number: float,
    taken: HostLoad | None,
) -> HostLoad | None:
    """Draws one host other than `taken`, each with the weight of its group."""
    counts = [
        len(group.free) - (taken is not None and taken.group is group)
        for group, _ in weighted_groups
    ]
    total = sum(
        count * weight
        for count, (_, weight) in zip(counts, weighted_groups, strict=True)
    )
    rest = random_number * total
    drawn = None
    for count, (group, weight) in zip(counts, weighted_groups, strict=True):
        if count == 0:
            continue
        # Rounding may leave a rest beyond the last host, which is then taken.
        index = min(int(rest / weight), count - 1)
        if taken is not None and taken.group is group and index >= taken.position:
            index += 1
        drawn = group.free[index]
        if rest < count * weight:
            return drawn
        rest -= count * weight
    return drawn


def _no_host(table: RoutingTable, routes: PoolRoutes, demand: _Demand) -> Refusal:
    zones = set(routes.groups_by_zone)
    if demand.own_zone_only:
        zones &= {table.own_zone_id}
    if zones and not zones & routes.zones_in_service:
        return _zones_out(routes, zones)
    where = ''
    if demand.own_zone_only:
        where = f' in availability zone {table.own_zone_id!r}'
    message = f'no host of pool {routes.pool!r}{where} has a free slot for this task'
    wait_ms = table.busy_hosts[0][0] - demand.now_ms if table.busy_hosts else None
    return _refusal(ErrorCode.NO_HOST_AVAILABLE, message, wait_ms)


def _zones_out(routes: PoolRoutes, zones: set[str]) -> Refusal:
    names = ', '.join(sorted(zones))
    message = f'pool {routes.pool!r} has hosts only in zones that are out: {names}'
    return _refusal(ErrorCode.AVAILABILITY_ZONE_OUT, message)


def _cannot_fit(routes: PoolRoutes, size: TaskSize) -> Refusal:
    if not routes.sizes:
        message = f'pool {routes.pool!r} has no hosts'
        return _refusal(ErrorCode.NO_HOST_AVAILABLE, message)
    cores = max(host_size.cores for host_size in routes.sizes)
    memory_mb = max(host_size.memory_mb for host_size in routes.sizes)
    message = (
        f'the task needs {size.cores} cores and {size.memory_mb} MB on one host; '
        f'the hosts of pool {routes.pool!r} have at most {cores} cores '
        f'and {memory_mb} MB'
    )
    return _refusal(ErrorCode.TASK_CANNOT_FIT, message)


def _refusal(
    code: ErrorCode, message: str, retry_after_ms: int | None = None
) -> Refusal:
    return Refusal(
        code=code,
        message=message,
        run_state=RunState.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )
