"""Rules for availability zones that operators take out of and return to service."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, ZoneState
from dandelionknot.decisions._budgets import (
    FleetHealth,
    ServiceAvailability,
    may_take_zone_out,
)

# Fraction of its full weight that a zone has as soon as it returns, so that a service
# whose other zones are out of service does not wait for the ramp.
MIN_RAMP_FRACTION = 0.05


@dataclass(slots=True)
class ZoneRamp:
    """Zones that are out of service or have returned, as one entry host has seen.

    `returned_since_by_zone` has the time, on this entry host's clock in
    milliseconds, at which it saw each zone return to service.
    """

    out_zones: set[str] = field(default_factory=set)
    returned_since_by_zone: dict[str, int] = field(default_factory=dict)


def observe_zones(ramp: ZoneRamp, configuration: Configuration, now_ms: int) -> None:
    """Records the zones that left or returned to service in a newly adopted version.

    A zone that is in service when an entry host starts has no ramp. A zone that
    was removed while out of service has a ramp when it is defined again.
    """
    for zone_id, zone in configuration.availability_zones_by_id.items():
        if zone.state is ZoneState.OUT_OF_SERVICE:
            ramp.out_zones.add(zone_id)
            ramp.returned_since_by_zone.pop(zone_id, None)
        elif zone_id in ramp.out_zones:
            ramp.out_zones.discard(zone_id)
            ramp.returned_since_by_zone[zone_id] = now_ms
    known = configuration.availability_zones_by_id.keys()
    for zone_id in ramp.returned_since_by_zone.keys() - known:
        del ramp.returned_since_by_zone[zone_id]


def zone_fraction(ramp: ZoneRamp, zone_id: str, ramp_ms: int, now_ms: int) -> float:
    """Returns the fraction of its full weight that a zone in service has now."""
    since_ms = ramp.returned_since_by_zone.get(zone_id)
    return ramp_fraction(since_ms, ramp_ms, now_ms)


def ramp_fraction(returned_since_ms: int | None, ramp_ms: int, now_ms: int) -> float:
    """Returns a weight that grows to 1.0 over `ramp_ms` after a zone's return.

    It is at least `MIN_RAMP_FRACTION`.
    """
    if returned_since_ms is None:
        return 1.0
    elapsed_ms = now_ms - returned_since_ms
    if elapsed_ms >= ramp_ms:
        return 1.0
    return max(MIN_RAMP_FRACTION, elapsed_ms / ramp_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneExitRefusal:
    """A refused zone exit, with the services whose budget would be exceeded."""

    zone_id: str
    message: str
    shortfalls: tuple[ServiceAvailability, ...] = ()


def check_exit(
    configuration: Configuration, health: FleetHealth, zone_id: str
) -> Result[None, ZoneExitRefusal]:
    """Checks whether the availability budgets of all services hold without a zone.

    An operator can still force the exit and is then responsible for the budgets.
    """
    reported = may_take_zone_out(configuration, health, zone_id)
    if isinstance(reported, Err):
        message = reported.err_value.message
        return Err(ZoneExitRefusal(zone_id=zone_id, message=message))
    shortfalls = reported.ok_value.shortfalls
    if not shortfalls:
        return Ok(None)
    counts = ', '.join(
        f'{each.service_id!r} {len(each.reasons_by_host)} of {each.hosts} '
        f'(at most {each.max_unavailable})'
        for each in shortfalls
    )
    message = (
        f'without availability zone {zone_id!r}, more hosts than the availability '
        f'budget allows would be unavailable for service {counts}'
    )
    return Err(ZoneExitRefusal(zone_id=zone_id, message=message, shortfalls=shortfalls))
