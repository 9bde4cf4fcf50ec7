"""Replaces the configuration in force with the configuration of the files.

The files determine what exists: zones, pools, hosts, services, teams, shares,
co-operatives, sites and bounds. Once a configuration is in force, the fleet owns
what operators change while it runs: upper limits, keys, the state of zones and
hosts, the pool of a host, moves, proposals and maintenance plans. These are taken
from the running configuration, so that files older than such a change cannot undo
it. Once there are voters, co-operatives change only by a vote. Files with other
co-operatives are refused, since they do not show who approved the change.
"""

from collections.abc import Mapping
from dataclasses import replace

from result import Ok, Result

from dandelionknot._generated_classes import (
    AvailabilityZone,
    Configuration,
    Host,
    HostState,
    MaintenancePlan,
    PlanState,
    Team,
)
from dandelionknot.configuration._crosschecks import find_faults
from dandelionknot.configuration._diff import ConfigurationChange, diff
from dandelionknot.decisions._votes import (
    vote_required_message,
    voters_changed_without_vote,
)
from dandelionknot.operators._edit_errors import EditError, EditErrorKind, refuse

# Fields that files may change only while the host is not active: its tasks run at the
# address, and the availability budgets depend on its zone.
LOCATION_FIELDS = ('address', 'availability_zone')


def replace_configuration(
    current: Configuration, offered: Configuration
) -> Result[Configuration, EditError]:
    """Returns the offered configuration with the fleet's fields of the current one.

    The first configuration (the current version is 0) is taken over with its upper
    limits, keys, states and plans. Later, a new team gets the upper limit 0 until the
    co-operatives vote on another.
    """
    combined = offered
    if current.version > 0:
        problem = _host_problem(current, offered)
        if problem:
            return refuse(EditErrorKind.WRONG_STATE, problem)
        combined = _with_fleet_fields(current, offered)
    voters_fields = voters_changed_without_vote(current, offered)
    if voters_fields:
        return refuse(EditErrorKind.NEEDS_VOTE, vote_required_message(voters_fields))
    combined = replace(
        combined,
        version=current.version,
        change_ids=current.change_ids,
        moves_by_host=current.moves_by_host,
        limit_proposals_by_id=current.limit_proposals_by_id,
        voters_proposals_by_id=current.voters_proposals_by_id,
    )
    faults = find_faults(combined)
    if faults:
        first = f'{faults[0].field}: {faults[0].problem}'
        more = f' (and {len(faults) - 1} more)' if len(faults) > 1 else ''
        return refuse(EditErrorKind.INCONSISTENT, first + more)
    return Ok(combined)


def differences_from_files(
    offered: Configuration, combined: Configuration
) -> list[ConfigurationChange]:
    """Returns where the configuration after a replacement differs from the files.

    Fields that only the fleet writes, and plans that the files do not contain, are not
    compared.
    """
    plans_by_id = combined.maintenance_plans_by_id | offered.maintenance_plans_by_id
    comparable = replace(
        offered,
        excluded_members=combined.excluded_members,
        gone_members=combined.gone_members,
        moves_by_host=combined.moves_by_host,
        limit_proposals_by_id=combined.limit_proposals_by_id,
        voters_proposals_by_id=combined.voters_proposals_by_id,
        maintenance_plans_by_id=plans_by_id,
    )
    return diff(comparable, combined)


def _host_problem(current: Configuration, offered: Configuration) -> str:
    """Returns why a host cannot be removed or relocated, or an empty string."""
    for host_id, host in current.hosts_by_id.items():
        new = offered.hosts_by_id.get(host_id)
        if new is None and host_id in current.moves_by_host:
            return f'host {host_id!r} is moving and cannot be removed'
        if host.state is not HostState.ACTIVE:
            continue
        if new is None:
            return f'host {host_id!r} is active; drain it before it is removed'
        for name in LOCATION_FIELDS:
            if getattr(host, name) != getattr(new, name):
                return f'host {host_id!r} is active; drain it before {name} changes'
    return ''


def _with_fleet_fields(current: Configuration, offered: Configuration) -> Configuration:
    return replace(
        offered,
        excluded_members=current.excluded_members,
        gone_members=current.gone_members,
        availability_zones_by_id=_combine_zones(
            current.availability_zones_by_id, offered.availability_zones_by_id
        ),
        hosts_by_id=_combine_hosts(current.hosts_by_id, offered.hosts_by_id),
        teams_by_id=_combine_teams(current.teams_by_id, offered.teams_by_id),
        maintenance_plans_by_id=_combine_plans(current, offered),
    )


def _combine_plans(
    current: Configuration, offered: Configuration
) -> dict[str, MaintenancePlan]:
    """Returns the offered plans and the unfinished ones of the current configuration.

    A plan of the current configuration keeps its state and loses the hosts that the
    files remove. If the files do not contain the plan, it is dropped once it is
    finished or has no hosts left.
    """
    plans_by_id = dict(offered.maintenance_plans_by_id)
    for plan_id, plan in current.maintenance_plans_by_id.items():
        hosts = [host for host in plan.hosts if host in offered.hosts_by_id]
        done = [host for host in plan.done if host in offered.hosts_by_id]
        if plan_id in plans_by_id or (hosts and plan.state is not PlanState.FINISHED):
            plans_by_id[plan_id] = replace(plan, hosts=hosts, done=done)
    return plans_by_id


def _combine_zones(
    current: Mapping[str, AvailabilityZone], offered: Mapping[str, AvailabilityZone]
) -> dict[str, AvailabilityZone]:
    return {
        zone_id: replace(zone, state=current[zone_id].state)
        if zone_id in current
        else zone
        for zone_id, zone in offered.items()
    }


def _combine_hosts(
    current: Mapping[str, Host], offered: Mapping[str, Host]
) -> dict[str, Host]:
    return {
        host_id: replace(
            host,
            state=current[host_id].state,
            pool=current[host_id].pool,
            pool_epoch=current[host_id].pool_epoch,
        )
        if host_id in current
        else host
        for host_id, host in offered.items()
    }


def _combine_teams(
    current: Mapping[str, Team], offered: Mapping[str, Team]
) -> dict[str, Team]:
    return {
        team_id: replace(
            team,
            upper_limit=current[team_id].upper_limit,
            keys_by_id=current[team_id].keys_by_id,
        )
        if team_id in current
        else replace(team, upper_limit=0)
        for team_id, team in offered.items()
    }
