"""Choice of the hosts of a maintenance plan that stop together in waves."""

import sys
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from itertools import count

from dandelionknot.configuration import (
    Configuration,
    Host,
    HostState,
    MaintenancePlan,
    PlanState,
)
from dandelionknot.decisions._availability import (
    LASTING_REASONS,
    FleetHealth,
    ServiceAvailability,
    StopRefusal,
    UnavailableReason,
    budget_spent,
    host_not_found,
    unavailable_by_service,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Hosts to maintain at the same time.

    `held_back` has one refusal for each pool whose hosts all wait for the budget, and
    one for each host that does not exist.
    """

    host_ids: tuple[str, ...]
    held_back: tuple[StopRefusal, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class WavePlan:
    """Waves in order, and refusals for the hosts that fit into no wave."""

    waves: tuple[Wave, ...]
    refused: tuple[StopRefusal, ...]


@dataclass(frozen=True, slots=True, order=True)
class _RackId:
    """A rack, whose name is unique only within its availability zone."""

    zone_id: str
    rack: str

    @classmethod
    def from_host(cls, host: Host) -> '_RackId':
        return cls(zone_id=host.availability_zone, rack=host.rack)


@dataclass(slots=True, kw_only=True)
class _PoolToPlan:
    """State of one pool while its waves are formed.

    `tightest` is the service with the smallest budget. It is None if no service
    uses the pool, so that only the racks limit its waves. The waiting hosts of a
    rack are picked from the end of their list.
    """

    pool: str
    tightest: ServiceAvailability | None
    reasons_by_host: dict[str, UnavailableReason]
    waiting_by_rack: dict[_RackId, list[str]] = field(default_factory=dict)


@dataclass(slots=True)
class _FormingWave:
    """Hosts picked for one wave so far, and their number in each availability zone."""

    host_ids: list[str] = field(default_factory=list)
    count_by_zone: Counter[str] = field(default_factory=Counter)


def plan_waves(
    configuration: Configuration,
    health: FleetHealth,
    host_ids: Iterable[str],
    max_stopped: int = 0,
) -> WavePlan:
    """Plans maintenance waves, given the hosts that are unavailable now.

    For each pool, a wave has at most one host of a rack. It stays within every
    availability budget and is spread over as many availability zones as possible.
    It has at most `max_stopped` hosts, where 0 means no maximum. Hosts that are
    unavailable for a lasting reason come first, since the budget already counts
    them.
    """
    pools, refused = _pools_to_plan(configuration, health, host_ids)
    waves: list[_FormingWave] = []
    for pool in pools:
        refused.extend(_spread_over_waves(pool, waves, max_stopped))
    return WavePlan(
        waves=tuple(
            Wave(host_ids=tuple(wave.host_ids)) for wave in waves if wave.host_ids
        ),
        refused=tuple(refused),
    )


def _spread_over_waves(
    pool: _PoolToPlan, waves: list[_FormingWave], max_stopped: int
) -> list[StopRefusal]:
    """Adds the hosts of a pool to the waves; returns refusals of hosts left over."""
    for wave in _waves_and_new_ones(waves):
        if not pool.waiting_by_rack:
            break
        room = _room_for_stops(max_stopped, len(wave.host_ids))
        if room <= 0:
            continue
        picked = _pick(pool, wave.count_by_zone, frozenset(), room)
        if not picked:
            return _refusals_of_waiting(pool)
        wave.host_ids.extend(picked)
        _mark_returned(pool, picked)
    return []


def _waves_and_new_ones(waves: list[_FormingWave]) -> Iterator[_FormingWave]:
    for number in count():
        if number == len(waves):
            waves.append(_FormingWave())
        yield waves[number]


def next_wave(
    plan: MaintenancePlan, configuration: Configuration, health: FleetHealth
) -> Wave:
    """Picks the hosts of a running maintenance plan that may begin to drain now.

    Hosts that are draining or in maintenance count against the budget, and no other
    host of their pool and rack may stop. Those that belong to the plan also count
    against its `max_stopped`. A moving host waits until its move has ended.
    `held_back` has one refusal for each pool whose hosts all wait for the budget,
    and one for each host that does not exist. The wave of a plan that is not running
    is empty.
    """
    if plan.state is not PlanState.RUNNING:
        return Wave(host_ids=())
    stopping = _stopping_hosts(configuration)
    waiting = _waiting_hosts(plan, configuration, stopping)
    pools, refused = _pools_to_plan(configuration, health, waiting)
    stopped = len(stopping.intersection(plan.hosts))
    count_by_zone: Counter[str] = Counter()
    picked: list[str] = []
    for pool in pools:
        excluded = _racks_with_stopping_hosts(configuration, stopping, pool.pool)
        room = _room_for_stops(plan.max_stopped, stopped + len(picked))
        picked_here = _pick(pool, count_by_zone, excluded, room)
        if not picked_here and not _has_room(pool):
            refused.append(_budget_refusal(pool, pool.pool))
        picked.extend(picked_here)
    return Wave(host_ids=tuple(picked), held_back=tuple(refused))


def _stopping_hosts(configuration: Configuration) -> set[str]:
    return {
        host_id
        for host_id, host in configuration.hosts_by_id.items()
        if host.state is not HostState.ACTIVE
    }


def _waiting_hosts(
    plan: MaintenancePlan, configuration: Configuration, stopping: set[str]
) -> list[str]:
    not_waiting = stopping | set(plan.done) | configuration.moves_by_host.keys()
    return [host_id for host_id in plan.hosts if host_id not in not_waiting]


def _racks_with_stopping_hosts(
    configuration: Configuration, stopping: set[str], pool: str
) -> frozenset[_RackId]:
    hosts = [configuration.hosts_by_id[host_id] for host_id in stopping]
    return frozenset(_RackId.from_host(host) for host in hosts if host.pool == pool)


def _pools_to_plan(
    configuration: Configuration, health: FleetHealth, host_ids: Iterable[str]
) -> tuple[list[_PoolToPlan], list[StopRefusal]]:
    """Groups hosts by pool and rack, and returns refusals of those that do not exist.

    The pool that needs the most waves comes first, and smaller pools fill the
    remaining places of a wave. With pools in the order of their ids, a roll-out over
    660 hosts with at most 66 stopped at once took as long as one in which each wave
    had to finish before the next.
    """
    tightest_by_pool = _tightest_by_pool(configuration, health)
    plans_by_pool: dict[str, _PoolToPlan] = {}
    refused: list[StopRefusal] = []
    for host_id in sorted(set(host_ids)):
        host = configuration.hosts_by_id.get(host_id)
        if host is None:
            refused.append(host_not_found(host_id).err_value)
            continue
        if host.pool not in plans_by_pool:
            tightest = tightest_by_pool.get(host.pool)
            plans_by_pool[host.pool] = _pool_to_plan(host.pool, tightest)
        waiting_by_rack = plans_by_pool[host.pool].waiting_by_rack
        waiting_by_rack.setdefault(_RackId.from_host(host), []).append(host_id)
    for plan in plans_by_pool.values():
        _sort_waiting(plan)
    plans = sorted(plans_by_pool.values(), key=_waves_needed, reverse=True)
    return plans, refused


def _pool_to_plan(pool: str, tightest: ServiceAvailability | None) -> _PoolToPlan:
    reasons = dict(tightest.reasons_by_host) if tightest else {}
    return _PoolToPlan(pool=pool, tightest=tightest, reasons_by_host=reasons)


def _sort_waiting(plan: _PoolToPlan) -> None:
    for waiting in plan.waiting_by_rack.values():
        # Hosts are picked from the end of the list.
        waiting.sort(key=lambda host_id: _rank(plan, host_id), reverse=True)


def _tightest_by_pool(
    configuration: Configuration, health: FleetHealth
) -> dict[str, ServiceAvailability]:
    tightest: dict[str, ServiceAvailability] = {}
    for availability in unavailable_by_service(configuration, health).values():
        pool = configuration.services_by_id[availability.service_id].pool
        known = tightest.get(pool)
        if known is None or availability.max_unavailable < known.max_unavailable:
            tightest[pool] = availability
    return tightest


def _rank(plan: _PoolToPlan, host_id: str) -> int:
    """Returns the sort key of a host; hosts that need no further budget come first."""
    reason = plan.reasons_by_host.get(host_id)
    if reason is None:
        return 2
    return 0 if reason in LASTING_REASONS else 1


def _has_room(plan: _PoolToPlan) -> bool:
    if plan.tightest is None:
        return True
    return len(plan.reasons_by_host) < plan.tightest.max_unavailable


def _may_pick(plan: _PoolToPlan, host_id: str, picked: Collection[str]) -> bool:
    if plan.tightest is None or _rank(plan, host_id) == 0:
        return True
    counted = plan.reasons_by_host.keys() | set(picked) | {host_id}
    return len(counted) <= plan.tightest.max_unavailable


def _room_for_stops(max_stopped: int, stopped: int) -> int:
    """Returns how many more hosts may stop; `max_stopped` 0 means no maximum."""
    return max_stopped - stopped if max_stopped else sys.maxsize


def _waves_needed(plan: _PoolToPlan) -> float:
    sizes = [len(waiting) for waiting in plan.waiting_by_rack.values()]
    if plan.tightest is None or plan.tightest.max_unavailable == 0:
        return max(sizes)
    return max(*sizes, sum(sizes) / plan.tightest.max_unavailable)


def _mark_returned(plan: _PoolToPlan, returned: Collection[str]) -> None:
    """Stops counting hosts as unavailable, since they return after their wave."""
    plan.reasons_by_host = {
        host_id: reason
        for host_id, reason in plan.reasons_by_host.items()
        if host_id not in returned
    }


def _pick(
    plan: _PoolToPlan,
    count_by_zone: Counter[str],
    excluded_racks: frozenset[_RackId],
    room: int,
) -> list[str]:
    """Picks and removes at most `room` waiting hosts of a pool for one wave.

    Racks with the most waiting hosts come first. A wave has at most one host of each
    rack, so the largest rack determines the least possible number of waves.
    """
    racks = plan.waiting_by_rack.keys() - excluded_racks
    pool_count_by_zone: Counter[str] = Counter()
    picked: list[str] = []

    def order(rack: _RackId) -> tuple:
        waiting = plan.waiting_by_rack[rack]
        return (
            _rank(plan, waiting[-1]),
            -len(waiting),
            pool_count_by_zone[rack.zone_id],
            count_by_zone[rack.zone_id],
            rack,
        )

    while racks and len(picked) < room:
        rack = min(racks, key=order)
        if not _may_pick(plan, plan.waiting_by_rack[rack][-1], picked):
            break
        racks.discard(rack)
        picked.append(_take_host(plan, rack))
        pool_count_by_zone[rack.zone_id] += 1
        count_by_zone[rack.zone_id] += 1
    return picked


def _take_host(plan: _PoolToPlan, rack: _RackId) -> str:
    waiting = plan.waiting_by_rack[rack]
    host_id = waiting.pop()
    if not waiting:
        del plan.waiting_by_rack[rack]
    return host_id


def _budget_refusal(plan: _PoolToPlan, subject: str) -> StopRefusal:
    assert plan.tightest is not None, 'a pool without services has no budget'
    current = replace(plan.tightest, reasons_by_host=plan.reasons_by_host)
    return budget_spent(current, subject)


def _refusals_of_waiting(plan: _PoolToPlan) -> list[StopRefusal]:
    return [
        _budget_refusal(plan, host_id)
        for waiting in plan.waiting_by_rack.values()
        for host_id in waiting
    ]
