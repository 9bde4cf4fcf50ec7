"""Availability budgets: which hosts may stop, and in which order.

This is the only module that counts unavailable hosts. A planned stop is
allowed only while the unavailable hosts of each service that the host serves,
for whatever reason they are unavailable, stay within `max_unavailable`.
"""

import sys
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot._pools import DrainEvidence, check_drained
from dandelionknot.configuration import (
    Configuration,
    Host,
    HostState,
    MaintenancePlan,
    PlanState,
    ZoneState,
)
from dandelionknot.messages import HostList, ListedHostState


class UnavailableReason(StrEnum):
    """Why a host counts as unavailable; the first that applies is named."""

    FAILED = 'failed'
    LEAVING = 'leaving'
    MAINTENANCE = 'maintenance'
    DRAINING = 'draining'
    EJECTED = 'ejected'
    MOVING = 'moving'
    ZONE_OUT = 'zone_out'


# A host that is unavailable for one of these reasons does not return by
# itself, so a planned stop takes nothing more from its service.
LASTING_REASONS = frozenset(
    {
        UnavailableReason.FAILED,
        UnavailableReason.LEAVING,
        UnavailableReason.MAINTENANCE,
        UnavailableReason.DRAINING,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetHealth:
    """Host ids that an entry host knows to be unavailable, by cause."""

    failed_hosts: frozenset[str] = frozenset()
    ejected_hosts: frozenset[str] = frozenset()
    leaving_hosts: frozenset[str] = frozenset()

    @classmethod
    def from_host_list(
        cls, host_list: HostList, failed: Iterable[str], ejected: Iterable[str]
    ) -> 'FleetHealth':
        """Combines the platform's lagging list with the health seen here.

        A host that the list does not name is not counted for that alone,
        because a new host appears in the list late.
        """
        leaving = (
            host_id
            for host_id, state in host_list.states_by_host.items()
            if state is ListedHostState.LEAVING
        )
        return cls(
            failed_hosts=frozenset(failed),
            ejected_hosts=frozenset(ejected),
            leaving_hosts=frozenset(leaving),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAvailability:
    """The unavailable hosts of one service, each once, with the reason."""

    service_id: str
    max_unavailable: int
    hosts: int
    reasons_by_host: dict[str, UnavailableReason]


class StopRefusalKind(StrEnum):
    """Why a planned stop is refused."""

    HOST_NOT_FOUND = 'host_not_found'
    ZONE_NOT_FOUND = 'zone_not_found'
    BUDGET_SPENT = 'budget_spent'


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRefusal:
    """A refused stop, with the service and the hosts that already count."""

    kind: StopRefusalKind
    subject: str
    message: str
    service_id: str | None = None
    max_unavailable: int = 0
    reasons_by_host: dict[str, UnavailableReason] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Hosts to maintain at the same time, and one refusal a pool held back."""

    host_ids: tuple[str, ...]
    held_back: tuple[StopRefusal, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class WavePlan:
    """Waves in order, and the refusals of hosts that fit into no wave."""

    waves: tuple[Wave, ...]
    refused: tuple[StopRefusal, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneExitReport:
    """Services that fall below their budget when a zone is taken out."""

    zone_id: str
    shortfalls: tuple[ServiceAvailability, ...]


class StopStep(StrEnum):
    """Next step of a planned stop."""

    DRAIN = 'drain'
    WAIT = 'wait'
    STOP = 'stop'
    RETURN = 'return'


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAdvice:
    """The next step of a planned stop and the reason for it."""

    step: StopStep
    message: str


def unavailable_reason(
    configuration: Configuration, health: FleetHealth, host_id: str, host: Host
) -> UnavailableReason | None:
    """Returns the first reason why a host counts as unavailable, if any."""
    if host_id in health.failed_hosts:
        return UnavailableReason.FAILED
    if host_id in health.leaving_hosts:
        return UnavailableReason.LEAVING
    if host.state is HostState.MAINTENANCE:
        return UnavailableReason.MAINTENANCE
    if host.state is HostState.DRAINING:
        return UnavailableReason.DRAINING
    if host_id in health.ejected_hosts:
        return UnavailableReason.EJECTED
    if host_id in configuration.moves_by_host:
        return UnavailableReason.MOVING
    zone = configuration.availability_zones_by_id.get(host.availability_zone)
    if zone is None or zone.state is ZoneState.OUT_OF_SERVICE:
        return UnavailableReason.ZONE_OUT
    return None


def unavailable_by_service(
    configuration: Configuration, health: FleetHealth
) -> dict[str, ServiceAvailability]:
    """Counts the unavailable hosts of every service."""
    reasons_by_pool: dict[str, dict[str, UnavailableReason]] = {}
    hosts_by_pool: Counter[str] = Counter()
    for host_id, host in configuration.hosts_by_id.items():
        hosts_by_pool[host.pool] += 1
        reason = unavailable_reason(configuration, health, host_id, host)
        if reason is not None:
            reasons_by_pool.setdefault(host.pool, {})[host_id] = reason
    return {
        service_id: ServiceAvailability(
            service_id=service_id,
            max_unavailable=service.max_unavailable,
            hosts=hosts_by_pool[service.pool],
            reasons_by_host=reasons_by_pool.get(service.pool, {}),
        )
        for service_id, service in configuration.services_by_id.items()
    }


def may_stop(
    configuration: Configuration, health: FleetHealth, host_id: str
) -> Result[None, StopRefusal]:
    """Checks whether a planned stop of a host fits every budget.

    Use it for a drain, a maintenance, the beginning of a move and an ejection.
    A host that is unavailable for a lasting reason may always stop. One that
    would return by itself (ejected, moving, zone out) needs a budget that
    holds with it.
    """
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return _host_not_found(host_id)
    reason = unavailable_reason(configuration, health, host_id, host)
    if reason in LASTING_REASONS:
        return Ok(None)
    return _check_budgets(configuration, health, host_id, host.pool)


def may_assign(
    configuration: Configuration, health: FleetHealth, host_id: str
) -> Result[None, StopRefusal]:
    """Checks whether a moving host may join its new pool.

    A host that is unavailable for another reason than its move counts against
    the budgets of the new pool at once.
    """
    host = configuration.hosts_by_id.get(host_id)
    move = configuration.moves_by_host.get(host_id)
    if host is None or move is None:
        return _host_not_found(host_id)
    moves = dict(configuration.moves_by_host)
    moves.pop(host_id)
    moved = replace(configuration, moves_by_host=moves)
    if unavailable_reason(moved, health, host_id, host) is None:
        return Ok(None)
    return _check_budgets(configuration, health, host_id, move.to_pool)


def may_take_zone_out(
    configuration: Configuration, health: FleetHealth, zone_id: str
) -> Result[ZoneExitReport, StopRefusal]:
    """Reports which services fall below their budget without a zone.

    Operators can take the zone out in spite of the report, so a shortfall is
    no refusal. Services that have no host in the zone are not named.
    """
    zone = configuration.availability_zones_by_id.get(zone_id)
    if zone is None:
        return Err(
            StopRefusal(
                kind=StopRefusalKind.ZONE_NOT_FOUND,
                subject=zone_id,
                message=f'availability zone {zone_id!r} does not exist',
            )
        )
    zone_out = replace(zone, state=ZoneState.OUT_OF_SERVICE)
    zones = {**configuration.availability_zones_by_id, zone_id: zone_out}
    without_zone = replace(configuration, availability_zones_by_id=zones)
    shortfalls = tuple(
        availability
        for availability in unavailable_by_service(without_zone, health).values()
        if len(availability.reasons_by_host) > availability.max_unavailable
        and _has_host_in(configuration, availability, zone_id)
    )
    return Ok(ZoneExitReport(zone_id=zone_id, shortfalls=shortfalls))


def plan_waves(
    configuration: Configuration,
    health: FleetHealth,
    host_ids: Iterable[str],
    max_stopped: int = 0,
) -> WavePlan:
    """Forms maintenance waves from what is unavailable now.

    A wave has at most one host of a rack for each pool, keeps every budget,
    and takes hosts from as many availability zones as it can. It has at most
    `max_stopped` hosts, unless that is 0. Hosts that are unavailable for a
    lasting reason come first, since they need no room.
    """
    pools, refused = _pools_to_plan(configuration, health, host_ids)
    waves: list[list[str]] = []
    uses_by_zone_by_wave: list[Counter[str]] = []
    for pool in pools:
        number = 0
        while pool.waiting_by_rack:
            if number == len(waves):
                waves.append([])
                uses_by_zone_by_wave.append(Counter())
            room = _room_for_stops(max_stopped, len(waves[number]))
            if room > 0:
                zones = uses_by_zone_by_wave[number]
                picked = _pick(pool, zones, frozenset(), room)
                if not picked:
                    refused.extend(_refusals_of_waiting(pool))
                    break
                waves[number].extend(picked)
                _end_stops(pool, picked)
            number += 1
    return WavePlan(
        waves=tuple(Wave(host_ids=tuple(wave)) for wave in waves if wave),
        refused=tuple(refused),
    )


def next_wave(
    plan: MaintenancePlan, configuration: Configuration, health: FleetHealth
) -> Wave:
    """Picks the hosts of a running plan that may begin to drain now.

    Hosts that are draining or in maintenance use up the budget and bar their
    rack, and those of the plan count against its `max_stopped`. A moving host
    waits until its move has ended. `held_back` has one refusal for each pool
    whose hosts all wait for budget. A plan that is not running yields an empty
    wave.
    """
    if plan.state is not PlanState.RUNNING:
        return Wave(host_ids=())
    stopping_hosts = {
        host_id
        for host_id, host in configuration.hosts_by_id.items()
        if host.state is not HostState.ACTIVE
    }
    not_waiting = stopping_hosts | set(plan.done) | configuration.moves_by_host.keys()
    waiting_ids = [host_id for host_id in plan.hosts if host_id not in not_waiting]
    pools, refused = _pools_to_plan(configuration, health, waiting_ids)
    barred_racks = {
        (configuration.hosts_by_id[host_id].pool, _rack_of(configuration, host_id))
        for host_id in stopping_hosts
    }
    uses_by_zone: Counter[str] = Counter()
    picked: list[str] = []
    stopping = len(stopping_hosts.intersection(plan.hosts))
    for pool in pools:
        barred = frozenset(rack for name, rack in barred_racks if name == pool.pool)
        room = _room_for_stops(plan.max_stopped, stopping + len(picked))
        picked_here = _pick(pool, uses_by_zone, barred, room)
        if not picked_here and not _has_room(pool):
            refused.append(_budget_refusal(pool, pool.pool))
        picked.extend(picked_here)
    return Wave(host_ids=tuple(picked), held_back=tuple(refused))


def planned_stop_step(
    configuration: Configuration,
    health: FleetHealth,
    host_id: str,
    evidence: DrainEvidence | None,
    maintained: bool,
) -> Result[StopAdvice, StopRefusal]:
    """Returns the next step of a planned stop: drain, wait, stop, return.

    The drain counts from the version of this configuration, in which the host
    drains, so it needs no record of the version that began it. `maintained`
    tells that the host is back from its maintenance. A drain is given up
    when other hosts fail and the budget no longer holds.
    """
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return _host_not_found(host_id)
    if host.state is HostState.ACTIVE:
        return may_stop(configuration, health, host_id).map(
            lambda _: _advice(StopStep.DRAIN, 'the stop fits the budget')
        )
    if host.state is HostState.MAINTENANCE:
        if maintained:
            return Ok(_advice(StopStep.RETURN, 'the maintenance is finished'))
        return Ok(_advice(StopStep.WAIT, 'the maintenance is not finished'))
    return Ok(_draining_advice(configuration, health, host_id, evidence))


def with_host_state(
    configuration: Configuration, host_id: str, state: HostState
) -> Configuration:
    """Returns the configuration with another state of one host."""
    host = replace(configuration.hosts_by_id[host_id], state=state)
    return replace(
        configuration, hosts_by_id={**configuration.hosts_by_id, host_id: host}
    )


def return_host(
    configuration: Configuration, host_id: str, plan_id: str
) -> Configuration:
    """Returns a maintained host to service and marks it as done in its plan."""
    plan = configuration.maintenance_plans_by_id[plan_id]
    done = list(dict.fromkeys([*plan.done, host_id]))
    state = PlanState.FINISHED if set(plan.hosts) <= set(done) else plan.state
    plans = {
        **configuration.maintenance_plans_by_id,
        plan_id: replace(plan, done=done, state=state),
    }
    active = with_host_state(configuration, host_id, HostState.ACTIVE)
    return replace(active, maintenance_plans_by_id=plans)


def _advice(step: StopStep, message: str) -> StopAdvice:
    return StopAdvice(step=step, message=message)


def _draining_advice(
    configuration: Configuration,
    health: FleetHealth,
    host_id: str,
    evidence: DrainEvidence | None,
) -> StopAdvice:
    host = configuration.hosts_by_id[host_id]
    reason = unavailable_reason(configuration, health, host_id, host)
    if reason is UnavailableReason.DRAINING:
        checked = _check_budgets(configuration, health, host_id, host.pool)
        if isinstance(checked, Err):
            return _advice(StopStep.RETURN, checked.err_value.message)
    if evidence is None:
        return _advice(StopStep.WAIT, 'no usage report since the drain')
    drained = check_drained(configuration, host_id, configuration.version, evidence)
    if isinstance(drained, Err):
        return _advice(StopStep.WAIT, drained.err_value.message)
    return _advice(StopStep.STOP, 'nothing runs and nothing can start')


def _check_budgets(
    configuration: Configuration, health: FleetHealth, host_id: str, pool: str
) -> Result[None, StopRefusal]:
    for availability in unavailable_by_service(configuration, health).values():
        if configuration.services_by_id[availability.service_id].pool != pool:
            continue
        counted = availability.reasons_by_host.keys() | {host_id}
        if len(counted) > availability.max_unavailable:
            return Err(_refusal(availability, host_id))
    return Ok(None)


def _refusal(availability: ServiceAvailability, subject: str) -> StopRefusal:
    counted = ', '.join(
        f'{host_id} ({reason.value})'
        for host_id, reason in sorted(availability.reasons_by_host.items())
    )
    message = (
        f'service {availability.service_id!r} allows '
        f'{availability.max_unavailable} unavailable hosts; '
        f'these already count: {counted or "none"}'
    )
    return StopRefusal(
        kind=StopRefusalKind.BUDGET_SPENT,
        subject=subject,
        message=message,
        service_id=availability.service_id,
        max_unavailable=availability.max_unavailable,
        reasons_by_host=availability.reasons_by_host,
    )


def _host_not_found(host_id: str) -> Err[StopRefusal]:
    return Err(
        StopRefusal(
            kind=StopRefusalKind.HOST_NOT_FOUND,
            subject=host_id,
            message=f'host {host_id!r} does not exist',
        )
    )


def _has_host_in(
    configuration: Configuration, availability: ServiceAvailability, zone_id: str
) -> bool:
    return any(
        configuration.hosts_by_id[host_id].availability_zone == zone_id
        for host_id in availability.reasons_by_host
    )


@dataclass(slots=True, kw_only=True)
class _Rack:
    """Hosts of one rack and pool that wait for maintenance, in order."""

    zone_id: str
    waiting: list[str]


@dataclass(slots=True, kw_only=True)
class _PoolToPlan:
    """State of one pool while its waves are formed.

    `tightest` is the service with the smallest budget, or None if no service
    uses the pool and only the racks limit its waves.
    """

    pool: str
    tightest: ServiceAvailability | None
    reasons_by_host: dict[str, UnavailableReason]
    waiting_by_rack: dict[tuple[str, str], _Rack] = field(default_factory=dict)


def _rack_of(configuration: Configuration, host_id: str) -> tuple[str, str]:
    host = configuration.hosts_by_id[host_id]
    return host.availability_zone, host.rack


def _pools_to_plan(
    configuration: Configuration, health: FleetHealth, host_ids: Iterable[str]
) -> tuple[list[_PoolToPlan], list[StopRefusal]]:
    tightest_by_pool = _tightest_by_pool(configuration, health)
    plans_by_pool: dict[str, _PoolToPlan] = {}
    refused: list[StopRefusal] = []
    for host_id in sorted(dict.fromkeys(host_ids)):
        host = configuration.hosts_by_id.get(host_id)
        if host is None:
            refused.append(_host_not_found(host_id).err_value)
            continue
        plan = plans_by_pool.get(host.pool)
        if plan is None:
            tightest = tightest_by_pool.get(host.pool)
            reasons = dict(tightest.reasons_by_host) if tightest else {}
            plan = _PoolToPlan(
                pool=host.pool, tightest=tightest, reasons_by_host=reasons
            )
            plans_by_pool[host.pool] = plan
        rack = plan.waiting_by_rack.setdefault(
            (host.availability_zone, host.rack),
            _Rack(zone_id=host.availability_zone, waiting=[]),
        )
        rack.waiting.append(host_id)
    for plan in plans_by_pool.values():
        for rack in plan.waiting_by_rack.values():
            # The next host is taken from the end of the list.
            rack.waiting.sort(key=lambda host_id: _rank(plan, host_id), reverse=True)
    # The pool that needs most waves comes first and the small pools fill up the
    # rest of a wave. By pool id, a roll-out of 660 hosts with 66 stopped at once
    # took as long as one in whole waves.
    plans = sorted(plans_by_pool.values(), key=_waves_needed, reverse=True)
    return plans, refused


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
    """Orders hosts by the room that their stop needs: none first."""
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
    """Returns how many more hosts may stop; 0 as the maximum sets no limit."""
    return max_stopped - stopped if max_stopped else sys.maxsize


def _waves_needed(plan: _PoolToPlan) -> float:
    racks = plan.waiting_by_rack.values()
    largest_rack = max(len(rack.waiting) for rack in racks)
    if plan.tightest is None or plan.tightest.max_unavailable == 0:
        return largest_rack
    waiting = sum(len(rack.waiting) for rack in racks)
    return max(largest_rack, waiting / plan.tightest.max_unavailable)


def _end_stops(plan: _PoolToPlan, returned: Collection[str]) -> None:
    plan.reasons_by_host = {
        host_id: reason
        for host_id, reason in plan.reasons_by_host.items()
        if host_id not in returned
    }


def _pick(
    plan: _PoolToPlan,
    uses_by_zone: Counter[str],
    barred_racks: frozenset[tuple[str, str]],
    room: int,
) -> list[str]:
    """Takes at most `room` hosts for one wave out of those that wait.

    Racks with the most waiting hosts come first, since one rack gives one
    host a wave and so bounds the number of waves from below.
    """
    racks = {
        rack: entry
        for rack, entry in plan.waiting_by_rack.items()
        if rack not in barred_racks
    }
    uses_here: Counter[str] = Counter()
    picked: list[str] = []

    def order(item: tuple[tuple[str, str], _Rack]) -> tuple:
        rack, entry = item
        return (
            _rank(plan, entry.waiting[-1]),
            -len(entry.waiting),
            uses_here[entry.zone_id],
            uses_by_zone[entry.zone_id],
            rack,
        )

    while racks and len(picked) < room:
        rack, entry = min(racks.items(), key=order)
        if not _may_pick(plan, entry.waiting[-1], picked):
            break
        del racks[rack]
        picked.append(entry.waiting.pop())
        uses_here[entry.zone_id] += 1
        uses_by_zone[entry.zone_id] += 1
        if not entry.waiting:
            del plan.waiting_by_rack[rack]
    return picked


def _budget_refusal(plan: _PoolToPlan, subject: str) -> StopRefusal:
    assert plan.tightest is not None, 'a pool without services has no budget'
    now = replace(plan.tightest, reasons_by_host=plan.reasons_by_host)
    return _refusal(now, subject)


def _refusals_of_waiting(plan: _PoolToPlan) -> list[StopRefusal]:
    return [
        _budget_refusal(plan, host_id)
        for entry in plan.waiting_by_rack.values()
        for host_id in entry.waiting
    ]
