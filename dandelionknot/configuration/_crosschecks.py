"""Checks that compare several entries of a configuration with each other."""

from collections import Counter
from collections.abc import Callable, Iterator

from dandelionknot._generated_classes import Configuration
from dandelionknot.addresses import address_problem
from dandelionknot.configuration._faults import FaultKind, FieldFault

# Yields a fault for each violation of the rule that is the name of the function.
Check = Callable[[Configuration], Iterator[FieldFault]]


def find_faults(configuration: Configuration) -> list[FieldFault]:
    """Returns all faults that the schema cannot detect, in the order of `CHECKS`."""
    return [fault for check in CHECKS for fault in check(configuration)]


def _unknown_reference_fault(field: str, label: str, name: str) -> FieldFault:
    return FieldFault(
        kind=FaultKind.UNKNOWN_REFERENCE,
        field=field,
        problem=f'{label} {name!r} does not exist',
    )


def _duplicate_fault(field: str, problem: str) -> FieldFault:
    return FieldFault(kind=FaultKind.DUPLICATE, field=field, problem=problem)


def _out_of_range_fault(field: str, problem: str) -> FieldFault:
    return FieldFault(kind=FaultKind.OUT_OF_RANGE, field=field, problem=problem)


def _hosts_have_zone_and_pool(configuration: Configuration) -> Iterator[FieldFault]:
    for host_id, host in configuration.hosts_by_id.items():
        field = f'hosts_by_id.{host_id}'
        if host.availability_zone not in configuration.availability_zones_by_id:
            yield _unknown_reference_fault(
                f'{field}.availability_zone',
                'availability zone',
                host.availability_zone,
            )
        if host.pool not in configuration.pools_by_id:
            yield _unknown_reference_fault(f'{field}.pool', 'pool', host.pool)


def _addresses_are_valid_and_unique(
    configuration: Configuration,
) -> Iterator[FieldFault]:
    hosts_by_address: dict[str, str] = {}
    for host_id, host in configuration.hosts_by_id.items():
        field = f'hosts_by_id.{host_id}.address'
        problem = address_problem(host.address)
        if problem:
            yield _out_of_range_fault(field, problem)
        other = hosts_by_address.setdefault(host.address, host_id)
        if other != host_id:
            yield _duplicate_fault(field, f'host {other!r} has the same address')


def _racks_are_in_one_zone(configuration: Configuration) -> Iterator[FieldFault]:
    zones_by_rack: dict[str, str] = {}
    for host_id, host in configuration.hosts_by_id.items():
        zone = zones_by_rack.setdefault(host.rack, host.availability_zone)
        if zone != host.availability_zone:
            yield _out_of_range_fault(
                f'hosts_by_id.{host_id}.rack',
                f'rack {host.rack!r} is in availability zone {zone!r}',
            )


def _services_have_pool_and_valid_budget(
    configuration: Configuration,
) -> Iterator[FieldFault]:
    host_counts_by_pool = Counter(
        host.pool for host in configuration.hosts_by_id.values()
    )
    for service_id, service in configuration.services_by_id.items():
        field = f'services_by_id.{service_id}'
        if service.pool not in configuration.pools_by_id:
            yield _unknown_reference_fault(f'{field}.pool', 'pool', service.pool)
        elif service.max_unavailable > host_counts_by_pool[service.pool]:
            yield _out_of_range_fault(
                f'{field}.max_unavailable',
                f'{service.max_unavailable} is more than the '
                f'{host_counts_by_pool[service.pool]} hosts of pool {service.pool!r}',
            )


def _voters_are_unique(configuration: Configuration) -> Iterator[FieldFault]:
    # A change needs the approval of every co-operative. A voter of two co-operatives
    # would approve on behalf of both.
    cooperatives_by_voter: dict[str, str] = {}
    for cooperative_id, cooperative in configuration.cooperatives_by_id.items():
        for index, voter in enumerate(cooperative.voters):
            if voter in cooperatives_by_voter:
                yield _duplicate_fault(
                    f'cooperatives_by_id.{cooperative_id}.voters[{index}]',
                    f'{voter!r} already votes for {cooperatives_by_voter[voter]!r}',
                )
            cooperatives_by_voter.setdefault(voter, cooperative_id)


def _cooperatives_have_voters(configuration: Configuration) -> Iterator[FieldFault]:
    # Every vote needs a majority in each co-operative. If one co-operative had voters
    # and another had none, all votes would be blocked permanently.
    cooperatives_by_id = configuration.cooperatives_by_id
    if any(cooperative.voters for cooperative in cooperatives_by_id.values()):
        for cooperative_id, cooperative in cooperatives_by_id.items():
            if not cooperative.voters:
                yield _out_of_range_fault(
                    f'cooperatives_by_id.{cooperative_id}.voters',
                    'is empty, so no vote could pass: each co-operative must approve',
                )


def _plans_list_hosts_once(configuration: Configuration) -> Iterator[FieldFault]:
    for plan_id, plan in configuration.maintenance_plans_by_id.items():
        field = f'maintenance_plans_by_id.{plan_id}'
        seen: set[str] = set()
        for index, host_id in enumerate(plan.hosts):
            if host_id not in configuration.hosts_by_id:
                yield _unknown_reference_fault(
                    f'{field}.hosts[{index}]', 'host', host_id
                )
            elif host_id in seen:
                yield _duplicate_fault(
                    f'{field}.hosts[{index}]', f'host {host_id!r} is listed twice'
                )
            seen.add(host_id)
        for index, host_id in enumerate(plan.done):
            if host_id not in seen:
                yield _unknown_reference_fault(
                    f'{field}.done[{index}]', 'host of the plan', host_id
                )


def _sites_are_disjoint(configuration: Configuration) -> Iterator[FieldFault]:
    sites_by_zone: dict[str, str] = {}
    sites_by_team: dict[str, str] = {}
    for site_id, site in configuration.sites_by_id.items():
        field = f'sites_by_id.{site_id}'
        for index, zone in enumerate(site.availability_zones):
            path = f'{field}.availability_zones[{index}]'
            if zone not in configuration.availability_zones_by_id:
                yield _unknown_reference_fault(path, 'availability zone', zone)
            elif zone in sites_by_zone:
                yield _duplicate_fault(
                    path,
                    f'availability zone {zone!r} belongs to {sites_by_zone[zone]!r}',
                )
            sites_by_zone.setdefault(zone, site_id)
        for index, team in enumerate(site.teams):
            path = f'{field}.teams[{index}]'
            if team not in configuration.teams_by_id:
                yield _unknown_reference_fault(path, 'team', team)
            elif team in sites_by_team:
                yield _duplicate_fault(
                    path, f'team {team!r} belongs to {sites_by_team[team]!r}'
                )
            sites_by_team.setdefault(team, site_id)


def _moves_and_proposals_refer_to_entries(
    configuration: Configuration,
) -> Iterator[FieldFault]:
    for host_id, move in configuration.moves_by_host.items():
        field = f'moves_by_host.{host_id}'
        if host_id not in configuration.hosts_by_id:
            yield _unknown_reference_fault(field, 'host', host_id)
        for name, pool in (('from_pool', move.from_pool), ('to_pool', move.to_pool)):
            if pool not in configuration.pools_by_id:
                yield _unknown_reference_fault(f'{field}.{name}', 'pool', pool)
    for proposal_id, proposal in configuration.limit_proposals_by_id.items():
        if proposal.team not in configuration.teams_by_id:
            yield _unknown_reference_fault(
                f'limit_proposals_by_id.{proposal_id}.team', 'team', proposal.team
            )


CHECKS: tuple[Check, ...] = (
    _hosts_have_zone_and_pool,
    _addresses_are_valid_and_unique,
    _racks_are_in_one_zone,
    _services_have_pool_and_valid_budget,
    _voters_are_unique,
    _cooperatives_have_voters,
    _plans_list_hosts_once,
    _sites_are_disjoint,
    _moves_and_proposals_refer_to_entries,
)
