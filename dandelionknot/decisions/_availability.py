"""Counts of the unavailable hosts of each service, and refusals that name them.

This is the only module that counts unavailable hosts. A host counts once, even if
it is unavailable for several reasons.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err

from dandelionknot.configuration import Configuration, Host, HostState, ZoneState
from dandelionknot.messages import HostList, ListedHostState


class UnavailableReason(StrEnum):
    """Why a host counts as unavailable; the first reason that applies is named."""

    FAILED = 'failed'
    LEAVING = 'leaving'
    MAINTENANCE = 'maintenance'
    DRAINING = 'draining'
    EJECTED = 'ejected'
    MOVING = 'moving'
    ZONE_OUT = 'zone_out'


# A host that is unavailable for one of these reasons is expected to stay unavailable,
# so a planned stop of it does not reduce the number of available hosts any further.
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
    """Ids of the hosts that an entry host knows to be unavailable, by cause."""

    failed_hosts: frozenset[str] = frozenset()
    ejected_hosts: frozenset[str] = frozenset()
    leaving_hosts: frozenset[str] = frozenset()

    @classmethod
    def from_host_list(
        cls, host_list: HostList, failed: Iterable[str], ejected: Iterable[str]
    ) -> 'FleetHealth':
        """Combines the platform's host list with the health seen by this entry host.

        The list lags behind. A host that is missing from it does not count as
        unavailable for that alone, because new hosts appear in the list late.
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
    """The unavailable hosts of one service, each with its first reason.

    `hosts` is the number of all hosts of the service.
    """

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
    """A refused stop, with the service and its hosts that are already unavailable."""

    kind: StopRefusalKind
    subject: str
    message: str
    service_id: str | None = None
    max_unavailable: int = 0
    reasons_by_host: dict[str, UnavailableReason] = field(default_factory=dict)


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


def budget_spent(availability: ServiceAvailability, subject: str) -> StopRefusal:
    """Returns the refusal of a stop that would exceed the budget of a service."""
    counted = ', '.join(
        f'{host_id} ({reason.value})'
        for host_id, reason in sorted(availability.reasons_by_host.items())
    )
    message = (
        f'service {availability.service_id!r} allows '
        f'{availability.max_unavailable} unavailable hosts; '
        f'already unavailable: {counted or "none"}'
    )
    return StopRefusal(
        kind=StopRefusalKind.BUDGET_SPENT,
        subject=subject,
        message=message,
        service_id=availability.service_id,
        max_unavailable=availability.max_unavailable,
        reasons_by_host=availability.reasons_by_host,
    )


def host_not_found(host_id: str) -> Err[StopRefusal]:
    """Returns the refusal for a host that is not in the configuration."""
    return Err(
        StopRefusal(
            kind=StopRefusalKind.HOST_NOT_FOUND,
            subject=host_id,
            message=f'host {host_id!r} does not exist',
        )
    )
