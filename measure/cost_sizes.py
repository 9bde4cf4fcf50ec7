"""Fleet sizes at which costs are measured, and configurations of these sizes."""

import os
from dataclasses import dataclass

from dandelionknot import decisions
from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    Pool,
    Service,
    Team,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Numbers of hosts, members and so on in a fleet; each pool has one service."""

    hosts: int = 80
    members: int = 3
    pools: int = 36
    teams: int = 4
    zones: int = 3


# All dimensions grow together.
SCALED = (
    Size(),
    Size(hosts=160, members=6, pools=71, teams=8),
    Size(hosts=330, members=12, pools=142, teams=16),
    Size(hosts=660, members=24, pools=284, teams=33),
)
# The present fleet, and the one expected in two years.
TODAY = Size(hosts=40, members=9, pools=5, teams=6, zones=4)
IN_TWO_YEARS = Size(hosts=660, members=24, pools=284, teams=33, zones=6)
SIZES_WITH_LOAD = (SCALED[0], TODAY, IN_TWO_YEARS)
# One dimension grows, the others stay at their defaults.
ALONE = {
    'hosts': (Size(hosts=160), Size(hosts=330), Size(hosts=660)),
    'members': (Size(members=6), Size(members=12), Size(members=24)),
    'pools': (Size(pools=142), Size(pools=284)),
    'teams': (Size(teams=16), Size(teams=33)),
}


def zone_of(size: Size, number: int) -> str:
    """Returns the availability zone of the host or entry host with this number."""
    return f'zone-{number % size.zones}'


def configuration_of(size: Size, addresses: list[str]) -> tuple[Configuration, str]:
    """Returns a configuration of this size and the key of its first team.

    `addresses` has one address for each host.
    """
    keys_by_team = {
        f'team-{number}': decisions.keys.issue_key(
            f'team-{number}', 'key-1', os.urandom(48)
        ).unwrap()
        for number in range(size.teams)
    }
    configuration = Configuration(
        version=1,
        availability_zones_by_id={
            zone_of(size, number): AvailabilityZone(region='region-1')
            for number in range(size.zones)
        },
        pools_by_id={f'pool-{number}': Pool() for number in range(size.pools)},
        hosts_by_id={
            f'host-{number}': Host(
                availability_zone=zone_of(size, number),
                rack=f'rack-{number // (4 * size.zones)}-{number % size.zones}',
                pool=f'pool-{number % size.pools}',
                address=address,
            )
            for number, address in enumerate(addresses)
        },
        services_by_id={
            f'service-{number}': Service(pool=f'pool-{number}')
            for number in range(size.pools)
        },
        teams_by_id={
            team_id: Team(upper_limit=200, keys_by_id={'key-1': issued.record})
            for team_id, issued in keys_by_team.items()
        },
    )
    return configuration, keys_by_team['team-0'].key
