"""Availability budgets: whether a host may stop, and the steps of a planned stop.

A planned stop is allowed only if each service that the host serves then has at
most `max_unavailable` unavailable hosts, for whatever reason they are
unavailable. `_availability` counts unavailable hosts, and `_waves` orders the
stops of a maintenance plan.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, HostState, PlanState, ZoneState
from dandelionknot.decisions._availability import (
    LASTING_REASONS,
    FleetHealth,
    ServiceAvailability,
    StopRefusal,
    StopRefusalKind,
    UnavailableReason,
    budget_spent,
    host_not_found,
    unavailable_by_service,
    unavailable_reason,
)
from dandelionknot.decisions._pools import DrainEvidence, check_drained
from dandelionknot.decisions._waves import Wave, WavePlan, next_wave, plan_waves

__all__ = [
    'LASTING_REASONS',
    'FleetHealth',
    'ServiceAvailability',
    'StopAdvice',
    'StopRefusal',
    'StopRefusalKind',
    'StopStep',
    'UnavailableReason',
    'Wave',
    'WavePlan',
    'ZoneExitReport',
    'may_assign',
    'may_stop',
    'may_take_zone_out',
    'next_wave',
    'plan_waves',
    'planned_stop_step',
    'return_host',
    'unavailable_by_service',
    'unavailable_reason',
    'with_host_state',
]


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneExitReport:
    """Services whose budget would be exceeded if a given zone were out of service."""

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


def may_stop(
    configuration: Configuration, health: FleetHealth, host_id: str
) -> Result[None, StopRefusal]:
    """Checks whether a planned stop of a host stays within all availability budgets.

    Call it before draining, maintaining, moving or ejecting a host. A host that is
    already unavailable for a lasting reason may always stop. Any other host counts
    as unavailable for this check, even if it is only temporarily unavailable
    (ejected, moving, zone out of service), and may stop only if no budget is
    exceeded.
    """
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return host_not_found(host_id)
    reason = unavailable_reason(configuration, health, host_id, host)
    if reason in LASTING_REASONS:
        return Ok(None)
    return _check_budgets(configuration, health, host_id, host.pool)


def may_assign(
    configuration: Configuration, health: FleetHealth, host_id: str
) -> Result[None, StopRefusal]:
    """Checks whether a moving host may be assigned to its new pool.

    A host that is unavailable for a reason other than its move counts against the
    budgets of the new pool as soon as it is assigned.
    """
    host = configuration.hosts_by_id.get(host_id)
    move = configuration.moves_by_host.get(host_id)
    if host is None or move is None:
        return host_not_found(host_id)
    moves = dict(configuration.moves_by_host)
    moves.pop(host_id)
    without_move = replace(configuration, moves_by_host=moves)
    if unavailable_reason(without_move, health, host_id, host) is None:
        return Ok(None)
    return _check_budgets(configuration, health, host_id, move.to_pool)


def may_take_zone_out(
    configuration: Configuration, health: FleetHealth, zone_id: str
) -> Result[ZoneExitReport, StopRefusal]:
    """Reports the services whose budget is exceeded if a zone is taken out of service.

    A shortfall is not returned as an error, because operators can take the zone out
    of service anyway. Services without hosts in the zone are not reported.
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
    # In this configuration, all hosts of the zone count as unavailable.
    without_zone = replace(configuration, availability_zones_by_id=zones)
    shortfalls = tuple(
        availability
        for availability in unavailable_by_service(without_zone, health).values()
        if len(availability.reasons_by_host) > availability.max_unavailable
        and _has_unavailable_host_in(configuration, availability, zone_id)
    )
    return Ok(ZoneExitReport(zone_id=zone_id, shortfalls=shortfalls))


def planned_stop_step(
    configuration: Configuration,
    health: FleetHealth,
    host_id: str,
    evidence: DrainEvidence | None,
    is_maintenance_done: bool,
) -> Result[StopAdvice, StopRefusal]:
    """Returns the next step of a planned stop: drain, wait, stop or return.

    It is enough that the current configuration version has been accepted, because
    the host is already draining in it. The version in which the drain began is
    therefore not stored. `is_maintenance_done` is true once maintenance of the host
    has finished. If other hosts fail during the drain so that a budget is exceeded,
    the step is `RETURN`.
    """
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return host_not_found(host_id)
    if host.state is HostState.ACTIVE:
        return may_stop(configuration, health, host_id).map(
            lambda _: _advice(
                StopStep.DRAIN, 'the stop is within the availability budgets'
            )
        )
    if host.state is HostState.MAINTENANCE:
        if is_maintenance_done:
            return Ok(_advice(StopStep.RETURN, 'the maintenance is finished'))
        return Ok(_advice(StopStep.WAIT, 'the maintenance is not finished'))
    return Ok(_draining_advice(configuration, health, host_id, evidence))


def with_host_state(
    configuration: Configuration, host_id: str, state: HostState
) -> Configuration:
    """Returns the configuration with the state of one host changed."""
    host = replace(configuration.hosts_by_id[host_id], state=state)
    return replace(
        configuration, hosts_by_id={**configuration.hosts_by_id, host_id: host}
    )


def return_host(
    configuration: Configuration, host_id: str, plan_id: str
) -> Configuration:
    """Returns a host to service after maintenance and marks it as done in its plan.

    The plan is finished when all its hosts are done.
    """
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
    # A host that has failed or is leaving would stay unavailable if it returned.
    if reason is UnavailableReason.DRAINING:
        checked = _check_budgets(configuration, health, host_id, host.pool)
        if isinstance(checked, Err):
            return _advice(StopStep.RETURN, checked.err_value.message)
    if evidence is None:
        return _advice(
            StopStep.WAIT,
            'no usage report of the host, or this configuration version is not '
            'accepted yet',
        )
    drained = check_drained(configuration, host_id, configuration.version, evidence)
    if isinstance(drained, Err):
        return _advice(StopStep.WAIT, drained.err_value.message)
    return _advice(StopStep.STOP, 'no task runs on the host and none can start')


def _check_budgets(
    configuration: Configuration, health: FleetHealth, host_id: str, pool: str
) -> Result[None, StopRefusal]:
    for availability in unavailable_by_service(configuration, health).values():
        if configuration.services_by_id[availability.service_id].pool != pool:
            continue
        counted = availability.reasons_by_host.keys() | {host_id}
        if len(counted) > availability.max_unavailable:
            return Err(budget_spent(availability, host_id))
    return Ok(None)


def _has_unavailable_host_in(
    configuration: Configuration, availability: ServiceAvailability, zone_id: str
) -> bool:
    return any(
        configuration.hosts_by_id[host_id].availability_zone == zone_id
        for host_id in availability.reasons_by_host
    )
