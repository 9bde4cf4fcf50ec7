"""Rules for taking availability zones out of service and returning them."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, ZoneState
from dandelionknot.decisions._budgets import (
    FleetHealth,
    ServiceAvailability,
    may_take_zone_out,
)

# Fraction of its full weight that a zone has as soon as it returns. It is not 0, so
# that a service whose other zones are all out of service can use the zone at once.
MIN_RAMP_FRACTION = 0.05


@dataclass(slots=True)
class ZoneRamp:
    """Zones that this entry host has seen go out of service or return.

    `returned_at_ms_by_zone` has the time on this entry host's clock at which it saw
    each zone return to service.
    """

    out_of_service_zones: set[str] = field(default_factory=set)
    returned_at_ms_by_zone: dict[str, int] = field(default_factory=dict)


def observe_zones(ramp: ZoneRamp, configuration: Configuration, now_ms: int) -> None:
    """Records which zones a new configuration took out of service or returned to it.

    A zone that is in service when an entry host starts gets its full weight at once.
    If a zone was removed from the configuration while out of service, its weight
    grows gradually after it has been added again.
    """
    for zone_id, zone in configuration.availability_zones_by_id.items():
        if zone.state is ZoneState.OUT_OF_SERVICE:
            ramp.out_of_service_zones.add(zone_id)
            ramp.returned_at_ms_by_zone.pop(zone_id, None)
        elif zone_id in ramp.out_of_service_zones:
            ramp.out_of_service_zones.discard(zone_id)
            ramp.returned_at_ms_by_zone[zone_id] = now_ms
    known = configuration.availability_zones_by_id.keys()
    for zone_id in ramp.returned_at_ms_by_zone.keys() - known:
        del ramp.returned_at_ms_by_zone[zone_id]


def zone_weight_fraction(
    ramp: ZoneRamp, zone_id: str, ramp_ms: int, now_ms: int
) -> float:
    """Returns the fraction of its full weight that a zone in service has now."""
    returned_at_ms = ramp.returned_at_ms_by_zone.get(zone_id)
    return ramped_weight_fraction(returned_at_ms, ramp_ms, now_ms)


def ramped_weight_fraction(
    returned_at_ms: int | None, ramp_ms: int, now_ms: int
) -> float:
    """Returns a fraction that grows to 1.0 over `ramp_ms` after a zone's return.

    The fraction is at least `MIN_RAMP_FRACTION`. Without a time of return it is 1.0.
    """
    if returned_at_ms is None:
        return 1.0
    elapsed_ms = now_ms - returned_at_ms
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
    """Checks that no availability budget is exceeded without a zone.

    An operator can force the exit of the zone even if budgets would be exceeded.
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
        f'without availability zone {zone_id!r}, the unavailable hosts of these '
        f'services would exceed the availability budget: {counts}'
    )
    return Err(ZoneExitRefusal(zone_id=zone_id, message=message, shortfalls=shortfalls))
