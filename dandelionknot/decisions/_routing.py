"""Choice of the host whose backend server runs a task.

A `RoutingTable` is built once for each configuration version. For each pool,
availability zone and host size, it has the list of hosts with a free slot. A
host is added to or removed from its list in constant time when its load or its
health changes. A choice therefore never inspects a host that it must not use,
and its cost grows with the number of zones and host sizes, not with the number
of hosts.
"""

from collections import deque
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, Host, ZoneState
from dandelionknot.decisions._budgets import (
    FleetHealth,
    UnavailableReason,
    unavailable_reason,
)
from dandelionknot.decisions._host_load import (
    MAX_SLOTS,
    SMALLEST_TASK,
    HostChoice,
    HostGroup,
    HostLoad,
    TaskSize,
    copy_load,
    insert,
    remove,
    update_placement,
)
from dandelionknot.decisions._zones import ZoneRamp, zone_weight_fraction
from dandelionknot.messages import ErrorCode, Refusal, RunState, UsageReport

RANDOM_NUMBERS_PER_CHOICE = 3

# Time after which a host that answered `busy`, or that is full with tasks of other
# entry hosts, is tried again. A longer time would leave slots idle after other entry
# hosts have freed them.
BUSY_EXCLUSION_MS = 200


# Only the configuration counts when a table is built. Health changes are applied
# with `set_excluded`.
HEALTHY = FleetHealth()


@dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """State of one host as an entry host sees it, shown to operators.

    `retry_after_ms` is the remaining time for which the host counts as busy, or 0.
    """

    host_id: str
    availability_zone: str
    running: int
    slots: int
    reasons: tuple[UnavailableReason, ...]
    retry_after_ms: int
    may_be_chosen: bool


@dataclass(slots=True, eq=False, kw_only=True)
class PoolRoutes:
    """Free hosts of one pool by zone, and the sizes of all hosts of the pool."""

    pool: str
    groups_by_zone: dict[str, dict[TaskSize, HostGroup]] = field(default_factory=dict)
    sizes: set[TaskSize] = field(default_factory=set)
    zones_in_service: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False, kw_only=True)
class RoutingTable:
    """Routes of one configuration version for an entry host in one zone.

    `busy_hosts` and `full_hosts` have pairs of a time and a host id, earliest first:
    when a host that answered `busy`, or was reported full, is tried again.
    """

    version: int
    own_zone_id: str
    ramp_ms: int
    zone_ramp: ZoneRamp
    routes_by_service: dict[str, PoolRoutes]
    hosts_by_id: dict[str, HostLoad]
    busy_hosts: deque[tuple[int, str]]
    full_hosts: deque[tuple[int, str]] = field(default_factory=deque)

    @classmethod
    def from_configuration(
        cls,
        configuration: Configuration,
        own_zone_id: str,
        previous: 'RoutingTable | None' = None,
        zone_ramp: ZoneRamp | None = None,
    ) -> 'RoutingTable':
        """Builds the table, with the loads and exclusions of `previous` if given."""
        routes_by_pool = {
            pool: PoolRoutes(pool=pool) for pool in configuration.pools_by_id
        }
        table = cls(
            version=configuration.version,
            own_zone_id=own_zone_id,
            ramp_ms=configuration.bounds.ramp_ms,
            zone_ramp=zone_ramp or ZoneRamp(),
            routes_by_service={
                service_id: routes_by_pool.setdefault(
                    service.pool, PoolRoutes(pool=service.pool)
                )
                for service_id, service in configuration.services_by_id.items()
            },
            hosts_by_id={},
            busy_hosts=deque(previous.busy_hosts if previous else ()),
            full_hosts=deque(previous.full_hosts if previous else ()),
        )
        known = previous.hosts_by_id if previous else {}
        for host_id, host in configuration.hosts_by_id.items():
            routes = routes_by_pool.setdefault(host.pool, PoolRoutes(pool=host.pool))
            load = _new_load(configuration, host_id, host, routes)
            if host_id in known:
                copy_load(known[host_id], load)
            table.hosts_by_id[host_id] = load
            update_placement(load)
        return table


def choose(
    table: RoutingTable,
    service_id: str,
    random_numbers: Sequence[float],
    now_ms: int,
    excluded: Collection[str] = (),
    size: TaskSize = SMALLEST_TASK,
    own_zone_only: bool = False,
) -> Result[HostChoice, Refusal]:
    """Chooses the less loaded of two random hosts that can run a task.

    Hosts of other zones are used only when no host of the entry host's own zone
    has a free slot, or while that zone ramps up after its return to service.
    `random_numbers` has `RANDOM_NUMBERS_PER_CHOICE` numbers from [0, 1).
    `excluded` names hosts that this task must not use again. The choice changes
    no load. The caller reports the start with `host_started`.

    >>> choose(table, 'desk', [random() for _ in range(3)], now_ms)
    Ok(HostChoice(host_id='quotes-1', address='10.0.0.1:8000', ...))
    """
    release_busy_hosts(table, now_ms)
    routes = table.routes_by_service.get(service_id)
    if routes is None:
        message = f'service {service_id!r} does not exist'
        return Err(_refusal(ErrorCode.SERVICE_NOT_FOUND, message))
    if not any(_fits(size, host_size) for host_size in routes.sizes):
        return Err(_cannot_fit_refusal(routes, size))
    # Sorted, so that the order of the free lists, and thus of later choices, does
    # not depend on the hash seed of the process.
    hidden = [
        load
        for host_id in sorted(set(excluded))
        if (load := table.hosts_by_id.get(host_id)) and load.position >= 0
    ]
    for load in hidden:
        remove(load)
    chosen = _choose_free(table, routes, random_numbers, now_ms, size, own_zone_only)
    for load in hidden:
        insert(load)
    if chosen is None:
        return Err(_no_host_refusal(table, routes, now_ms, own_zone_only))
    return Ok(chosen.choice)


def host_started(table: RoutingTable, host_id: str) -> None:
    """Counts a task that this entry host sends to a host."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.own_running += 1
        update_placement(load)


def host_finished(table: RoutingTable, host_id: str) -> None:
    """Stops counting a task that has ended or that the host refused to start."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.own_running = max(0, load.own_running - 1)
        update_placement(load)


def host_busy(table: RoutingTable, host_id: str, now_ms: int) -> None:
    """Excludes a host that answered `busy` from choices for `BUSY_EXCLUSION_MS`."""
    load = table.hosts_by_id.get(host_id)
    if load is not None:
        load.busy_until_ms = now_ms + BUSY_EXCLUSION_MS
        table.busy_hosts.append((load.busy_until_ms, host_id))
        update_placement(load)


def own_running(table: RoutingTable, host_id: str) -> int:
    """Returns the number of tasks of this entry host on a host."""
    load = table.hosts_by_id.get(host_id)
    return load.own_running if load else 0


def set_usage(
    table: RoutingTable, host_id: str, report: UsageReport, own_when_requested: int
) -> None:
    """Updates the load of a host from a usage report.

    A report is out of date when it arrives. `own_when_requested` is the value of
    `own_running` when the report was requested. The other reported tasks belong
    to other entry hosts. Tasks that this entry host starts or ends in the
    meantime are counted exactly. A busy answer stays in force, since it may be
    newer than the report.
    """
    load = table.hosts_by_id.get(host_id)
    if load is None:
        return
    load.other_running = max(0, report.running - own_when_requested)
    load.reported_slots = report.slots
    load.slots = min(load.configured_slots, load.reported_slots)
    set_excluded(table, host_id, UnavailableReason.DRAINING, report.draining)


def host_reported(table: RoutingTable, host_id: str, running: int, now_ms: int) -> None:
    """Updates how many tasks a host runs from its answer about a task.

    If the host has a free slot, it no longer counts as busy. While tasks of other entry
    hosts fill the host, this entry host sends it no task and gets no answer that would
    show the end of these tasks. The report is therefore valid for `BUSY_EXCLUSION_MS`
    only.
    """
    load = table.hosts_by_id.get(host_id)
    if load is None:
        return
    load.other_running = max(0, running - load.own_running)
    if running < load.slots:
        load.busy_until_ms = None
    _update_full_expiry(table, load, now_ms)
    update_placement(load)


def _update_full_expiry(table: RoutingTable, load: HostLoad, now_ms: int) -> None:
    if not load.other_running or load.own_running + load.other_running < load.slots:
        load.full_until_ms = None
        return
    load.full_until_ms = now_ms + BUSY_EXCLUSION_MS
    table.full_hosts.append((load.full_until_ms, load.choice.host_id))


def set_excluded(
    table: RoutingTable, host_id: str, reason: UnavailableReason, excluded: bool
) -> None:
    """Sets or clears one reason for which a host is not chosen.

    `set_usage` sets `DRAINING` from the usage reports of the host. Reasons that
    follow from the configuration need no call, since they are part of the next
    table.
    """
    load = table.hosts_by_id.get(host_id)
    if load is None:
        return
    if excluded:
        load.exclusions.add(reason)
    else:
        load.exclusions.discard(reason)
    update_placement(load)


def release_busy_hosts(table: RoutingTable, now_ms: int) -> None:
    """Makes hosts available again whose busy answer or full report has expired."""
    _release_full_hosts(table, now_ms)
    while table.busy_hosts and table.busy_hosts[0][0] <= now_ms:
        _, host_id = table.busy_hosts.popleft()
        load = table.hosts_by_id.get(host_id)
        if load is None or load.busy_until_ms is None:
            continue
        if load.busy_until_ms <= now_ms:
            load.busy_until_ms = None
            update_placement(load)


def _release_full_hosts(table: RoutingTable, now_ms: int) -> None:
    """Frees one slot for a trial on each host whose full report has expired."""
    while table.full_hosts and table.full_hosts[0][0] <= now_ms:
        _, host_id = table.full_hosts.popleft()
        load = table.hosts_by_id.get(host_id)
        if load is None or load.full_until_ms is None:
            continue
        if load.full_until_ms <= now_ms:
            load.full_until_ms = None
            left = max(0, load.slots - load.own_running - 1)
            load.other_running = min(load.other_running, left)
            update_placement(load)


def host_views(
    table: RoutingTable, service_id: str, now_ms: int
) -> tuple[HostView, ...]:
    """Returns for each host of a service whether it may be chosen, and why not.

    Every host of the table is read, so this function is meant for operators' queries
    and not for each request.
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


def _new_load(
    configuration: Configuration, host_id: str, host: Host, routes: PoolRoutes
) -> HostLoad:
    zone_id = host.availability_zone
    size = TaskSize(host.cores, host.memory_mb)
    routes.sizes.add(size)
    zone = configuration.availability_zones_by_id.get(zone_id)
    if zone is not None and zone.state is ZoneState.IN_SERVICE:
        routes.zones_in_service.add(zone_id)
    groups = routes.groups_by_zone.setdefault(zone_id, {})
    return HostLoad(
        choice=HostChoice(
            host_id=host_id,
            address=host.address,
            availability_zone=zone_id,
            pool=host.pool,
            pool_epoch=host.pool_epoch,
        ),
        group=groups.setdefault(size, HostGroup(size)),
        slots=host.slots,
        configured_slots=host.slots,
        reported_slots=MAX_SLOTS,
        configured_reason=unavailable_reason(configuration, HEALTHY, host_id, host),
    )


def _fits(size: TaskSize, host_size: TaskSize) -> bool:
    return size.cores <= host_size.cores and size.memory_mb <= host_size.memory_mb


def _choose_free(
    table: RoutingTable,
    routes: PoolRoutes,
    random_numbers: Sequence[float],
    now_ms: int,
    size: TaskSize,
    own_zone_only: bool,
) -> HostLoad | None:
    own: list[tuple[HostGroup, float]] = []
    others: list[tuple[HostGroup, float]] = []
    own_fraction = 1.0
    for zone_id, groups in routes.groups_by_zone.items():
        is_own = zone_id == table.own_zone_id
        if own_zone_only and not is_own:
            continue
        free = list(_free_groups(groups, size))
        if not free:
            continue
        fraction = zone_weight_fraction(table.zone_ramp, zone_id, table.ramp_ms, now_ms)
        if is_own:
            own_fraction = fraction
        (own if is_own else others).extend((group, fraction) for group in free)
    use_own = own and (not others or random_numbers[0] < own_fraction)
    return _less_loaded(own if use_own else others, random_numbers)


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
    """Draws one host at random, other than `taken`, weighted by host group."""
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
        # Rounding may leave a remainder beyond the last host, which is then drawn.
        index = min(int(rest / weight), count - 1)
        if taken is not None and taken.group is group and index >= taken.position:
            index += 1
        drawn = group.free[index]
        if rest < count * weight:
            return drawn
        rest -= count * weight
    return drawn


def _no_host_refusal(
    table: RoutingTable, routes: PoolRoutes, now_ms: int, own_zone_only: bool
) -> Refusal:
    zones = set(routes.groups_by_zone)
    if own_zone_only:
        zones &= {table.own_zone_id}
    if zones and not zones & routes.zones_in_service:
        names = ', '.join(sorted(zones))
        message = (
            f'pool {routes.pool!r} has hosts only in availability zones '
            f'that are out of service: {names}'
        )
        return _refusal(ErrorCode.AVAILABILITY_ZONE_OUT, message)
    zone_text = f' in availability zone {table.own_zone_id!r}' if own_zone_only else ''
    message = (
        f'no host of pool {routes.pool!r}{zone_text} has a free slot for this task'
    )
    ends = [
        expiries[0][0] for expiries in (table.busy_hosts, table.full_hosts) if expiries
    ]
    wait_ms = min(ends) - now_ms if ends else None
    return _refusal(ErrorCode.NO_HOST_AVAILABLE, message, wait_ms)


def _cannot_fit_refusal(routes: PoolRoutes, size: TaskSize) -> Refusal:
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
