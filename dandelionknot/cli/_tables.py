"""Summaries of the fleet's status, and the formatting of text tables."""

from collections.abc import Sequence
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from dandelionknot.configuration import Configuration, ZoneState
from dandelionknot.operators import FleetStatus, HostCondition, HostStatus

COLUMN_GAP = '  '


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSummary:
    """Numbers of hosts, slots and running tasks of a pool."""

    pool: str
    spare: bool
    hosts: int
    available: int
    running: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneSummary:
    """Numbers of hosts, slots and running tasks of an availability zone."""

    availability_zone: str
    state: ZoneState
    hosts: int
    available: int
    running: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamSummary:
    """Share, upper limit, running tasks and number of keys of a team."""

    team: str
    share: int
    upper_limit: int
    running: int
    keys: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSummary:
    """Queued requests and unavailable hosts of a service, with their limits."""

    service: str
    queued: int
    queue_limit: int
    unavailable: int
    max_unavailable: int


def pool_summaries(
    status: FleetStatus, configuration: Configuration
) -> list[PoolSummary]:
    """Returns one row for each pool."""
    return [
        PoolSummary(
            pool=pool_id,
            spare=pool.spare,
            **_totals([host for host in status.hosts if host.pool == pool_id]),
        )
        for pool_id, pool in configuration.pools_by_id.items()
    ]


def zone_summaries(
    status: FleetStatus, configuration: Configuration
) -> list[ZoneSummary]:
    """Returns one row for each availability zone."""
    return [
        ZoneSummary(
            availability_zone=zone_id,
            state=zone.state,
            **_totals([h for h in status.hosts if h.availability_zone == zone_id]),
        )
        for zone_id, zone in configuration.availability_zones_by_id.items()
    ]


def _totals(hosts: Sequence[HostStatus]) -> dict[str, Any]:
    available = [h for h in hosts if h.condition is HostCondition.AVAILABLE]
    return {
        'hosts': len(hosts),
        'available': len(available),
        'running': sum(host.running for host in hosts),
        'slots': sum(host.slots for host in hosts),
    }


def team_summaries(
    status: FleetStatus, configuration: Configuration
) -> list[TeamSummary]:
    """Returns one row for each team."""
    return [
        TeamSummary(
            team=team_id,
            share=team.share,
            upper_limit=team.upper_limit,
            running=status.running_by_team.get(team_id, 0),
            keys=len(team.keys_by_id),
        )
        for team_id, team in configuration.teams_by_id.items()
    ]


def service_summaries(
    status: FleetStatus, configuration: Configuration
) -> list[ServiceSummary]:
    """Returns one row for each service."""
    return [
        ServiceSummary(
            service=service_id,
            queued=status.queued_by_service.get(service_id, 0),
            queue_limit=service.queue_limit,
            unavailable=status.unavailable_by_service.get(service_id, 0),
            max_unavailable=service.max_unavailable,
        )
        for service_id, service in configuration.services_by_id.items()
    ]


def table_lines(rows: Sequence[Any]) -> list[str]:
    """Returns aligned lines with the field names of the rows as the header line."""
    if not rows:
        return ['(none)']
    names = [item.name for item in fields(rows[0])]
    cells = [names] + [
        [_format_cell(getattr(row, name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        COLUMN_GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _format_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, list):
        return ','.join(map(str, value)) or '-'
    return str(value)
