"""Replaces a running configuration by that of the files.

The files own what exists: zones, pools, hosts, services, teams, shares,
co-operatives, sites and bounds. Once a configuration is in force, the fleet
owns what operators change while it runs: upper limits, keys, the state of
zones and hosts, the pool of a host, moves, proposals and maintenance plans.
Files that are older than such a change therefore cannot undo it. Once there
are voters, co-operatives change by a vote only; files that state others are
refused, since who agreed on them is not known.
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
    needs_vote_problem,
    voters_changed_without_vote,
)
from dandelionknot.operators._edit_errors import EditError, EditErrorKind, refuse

# Tasks run at the address, and their availability budget depends on the zone.
PLACE_FIELDS = ('address', 'availability_zone')


def replace_configuration(
    current: Configuration, offered: Configuration
) -> Result[Configuration, EditError]:
    """Returns the offered configuration with what the fleet owns kept.

    In the first configuration (the current version is 0) everything counts.
    Later, a new team has the upper limit 0 until the co-operatives vote.
    """
    combined = offered
    if current.version > 0:
        problem = _host_problem(current, offered)
        if problem:
            return refuse(EditErrorKind.WRONG_STATE, problem)
        combined = _keep_owned(current, offered)
    voters_fields = voters_changed_without_vote(current, offered)
    if voters_fields:
        return refuse(EditErrorKind.NEEDS_VOTE, needs_vote_problem(voters_fields))
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
    """Returns where the result of a replacement differs from the files."""
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
    """Returns why a host cannot leave or change its place, or an empty string."""
    for host_id, host in current.hosts_by_id.items():
        new = offered.hosts_by_id.get(host_id)
        if new is None and host_id in current.moves_by_host:
            return f'host {host_id!r} is moving and cannot be removed'
        if host.state is not HostState.ACTIVE:
            continue
        if new is None:
            return f'host {host_id!r} is active; drain it before it is removed'
        for name in PLACE_FIELDS:
            if getattr(host, name) != getattr(new, name):
                return f'host {host_id!r} is active; drain it before {name} changes'
    return ''


def _keep_owned(current: Configuration, offered: Configuration) -> Configuration:
    return replace(
        offered,
        excluded_members=current.excluded_members,
        gone_members=current.gone_members,
        availability_zones_by_id=_kept_zones(
            current.availability_zones_by_id, offered.availability_zones_by_id
        ),
        hosts_by_id=_kept_hosts(current.hosts_by_id, offered.hosts_by_id),
        teams_by_id=_kept_teams(current.teams_by_id, offered.teams_by_id),
        maintenance_plans_by_id=_kept_plans(current, offered),
    )


def _kept_plans(
    current: Configuration, offered: Configuration
) -> dict[str, MaintenancePlan]:
    """Returns all plans without hosts that leave and without finished plans.

    A finished plan stays only while the files state it.
    """
    plans_by_id = dict(offered.maintenance_plans_by_id)
    for plan_id, plan in current.maintenance_plans_by_id.items():
        hosts = [host for host in plan.hosts if host in offered.hosts_by_id]
        done = [host for host in plan.done if host in offered.hosts_by_id]
        if plan_id in plans_by_id or (hosts and plan.state is not PlanState.FINISHED):
            plans_by_id[plan_id] = replace(plan, hosts=hosts, done=done)
    return plans_by_id


def _kept_zones(
    current: Mapping[str, AvailabilityZone], offered: Mapping[str, AvailabilityZone]
) -> dict[str, AvailabilityZone]:
    return {
        zone_id: replace(zone, state=current[zone_id].state)
        if zone_id in current
        else zone
        for zone_id, zone in offered.items()
    }


def _kept_hosts(
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


def _kept_teams(
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
