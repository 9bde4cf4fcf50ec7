"""Routing table: the hosts with a free slot, by pool, availability zone and size.

A `RoutingTable` is built once for each configuration version. A host enters or
leaves its free list in constant time when its load or its health changes.
"""

from collections import deque
from dataclasses import dataclass, field

from dandelionknot._availability import (
    FleetHealth,
    UnavailableReason,
    unavailable_reason,
)
from dandelionknot._zones import ZoneRamp
from dandelionknot.configuration import Configuration, Host, ZoneState

# Upper bound of `Host.slots` in the schema; stands for "not reported yet".
MAX_SLOTS = 1024


@dataclass(frozen=True, slots=True)
class TaskSize:
    """Processor cores and memory that a task declares."""

    cores: int = 1
    memory_mb: int = 1


# Health comes through `set_excluded`, so only the configuration counts when a
# table is built.
HEALTHY = FleetHealth()


@dataclass(frozen=True, slots=True, kw_only=True)
class HostChoice:
    """The host to which a task is sent, with what its start message names."""

    host_id: str
    address: str
    availability_zone: str
    pool: str
    pool_epoch: int


@dataclass(slots=True, eq=False)
class HostGroup:
    """Hosts of one pool, zone and size that have a free slot, in any order."""

    size: TaskSize
    free: list['HostLoad'] = field(default_factory=list)


@dataclass(slots=True, eq=False, kw_only=True)
class HostLoad:
    """Load of one host as known here; `position` is -1 outside its free list."""

    choice: HostChoice
    group: HostGroup
    slots: int
    configured_slots: int
    reported_slots: int
    configured_reason: UnavailableReason | None
    own_running: int = 0
    other_running: int = 0
    busy_until_ms: int | None = None
    exclusions: set[UnavailableReason] = field(default_factory=set)
    position: int = -1


@dataclass(slots=True, eq=False, kw_only=True)
class PoolRoutes:
    """Free hosts of one pool by zone, and the sizes of all of its hosts."""

    pool: str
    groups_by_zone: dict[str, dict[TaskSize, HostGroup]] = field(default_factory=dict)
    sizes: set[TaskSize] = field(default_factory=set)
    zones_in_service: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False, kw_only=True)
class RoutingTable:
    """Routes of one configuration version, as seen from one zone.

    `busy_hosts` has the ends of busy answers in the order of time.
    """

    version: int
    own_zone_id: str
    ramp_ms: int
    zone_ramp: ZoneRamp
    routes_by_service: dict[str, PoolRoutes]
    hosts_by_id: dict[str, HostLoad]
    busy_hosts: deque[tuple[int, str]]

    @classmethod
    def from_configuration(
        cls,
        configuration: Configuration,
        own_zone_id: str,
        previous: 'RoutingTable | None' = None,
        zone_ramp: ZoneRamp | None = None,
    ) -> 'RoutingTable':
        """Builds the table; loads and exclusions continue from `previous`."""
        routes_by_pool = _routes_by_pool(configuration)
        table = cls(
            version=configuration.version,
            own_zone_id=own_zone_id,
            ramp_ms=configuration.bounds.ramp_ms,
            zone_ramp=zone_ramp or ZoneRamp(),
            routes_by_service={
                service_id: routes_by_pool[service.pool]
                for service_id, service in configuration.services_by_id.items()
            },
            hosts_by_id={},
            busy_hosts=deque(previous.busy_hosts if previous else ()),
        )
        known = previous.hosts_by_id if previous else {}
        for host_id, host in configuration.hosts_by_id.items():
            load = _new_load(configuration, host_id, host, routes_by_pool[host.pool])
            if host_id in known:
                _copy_load(known[host_id], load)
            table.hosts_by_id[host_id] = load
            place(load)
        return table


def _routes_by_pool(configuration: Configuration) -> dict[str, PoolRoutes]:
    """Returns empty routes of each pool, also of those only named by an entry."""
    named = {host.pool for host in configuration.hosts_by_id.values()}
    named |= {service.pool for service in configuration.services_by_id.values()}
    pools = configuration.pools_by_id.keys() | named
    return {pool: PoolRoutes(pool=pool) for pool in pools}


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


def _copy_load(source: HostLoad, target: HostLoad) -> None:
    target.own_running = source.own_running
    target.other_running = source.other_running
    target.busy_until_ms = source.busy_until_ms
    target.exclusions = source.exclusions
    target.reported_slots = source.reported_slots
    target.slots = min(target.configured_slots, target.reported_slots)


def place(load: HostLoad) -> None:
    """Puts a host into its free list or takes it out, as its state demands."""
    is_free = (
        load.configured_reason is None
        and not load.exclusions
        and load.busy_until_ms is None
        and load.own_running + load.other_running < load.slots
    )
    if is_free and load.position < 0:
        insert(load)
    elif not is_free and load.position >= 0:
        remove(load)


def insert(load: HostLoad) -> None:
    """Puts a host at the end of its free list."""
    load.position = len(load.group.free)
    load.group.free.append(load)


def remove(load: HostLoad) -> None:
    """Takes a host out of its free list; the last one takes its position."""
    last = load.group.free.pop()
    if last is not load:
        load.group.free[load.position] = last
        last.position = load.position
    load.position = -1
