"""Merges the base file with the overlays of the sites.

The rules are described in `docs/configuration.md`.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot._generated_classes import (
    AvailabilityZone,
    Configuration,
    Host,
    HostOverlay,
    KeyRecord,
    MaintenancePlan,
    PlanOverlay,
    SiteOverlay,
    Team,
)
from dandelionknot.configuration._configuration_files import (
    BaseFile,
    OverlayFile,
    load_base,
    load_overlay,
)
from dandelionknot.configuration._crosschecks import find_faults
from dandelionknot.configuration._faults import (
    ConfigurationFault,
    FaultKind,
    FieldFault,
    locate_in,
)

__all__ = ['BaseFile', 'OverlayFile', 'load_base', 'load_overlay', 'merge']

REQUIRED_HOST_FIELDS = ('availability_zone', 'rack', 'pool', 'address')


@dataclass(slots=True, kw_only=True)
class _MergeState:
    """The entries merged so far and the faults of the overlay that is being merged.

    `sites_by_changed_field` has the site whose overlay changes an entry, by the path
    of the entry.
    """

    zones_by_id: dict[str, AvailabilityZone]
    hosts_by_id: dict[str, Host]
    teams_by_id: dict[str, Team]
    plans_by_id: dict[str, MaintenancePlan]
    sites_by_changed_field: dict[str, str] = field(default_factory=dict)
    faults: list[FieldFault] = field(default_factory=list)


def merge(
    base: BaseFile, overlays: Sequence[OverlayFile]
) -> Result[Configuration, list[ConfigurationFault]]:
    """Returns the merged configuration with version 0, or the faults found.

    The order of the overlays does not matter, since no two of them may change the
    same entry.
    """
    configuration = base.configuration
    state = _MergeState(
        zones_by_id=dict(configuration.availability_zones_by_id),
        hosts_by_id=dict(configuration.hosts_by_id),
        teams_by_id=dict(configuration.teams_by_id),
        plans_by_id=dict(configuration.maintenance_plans_by_id),
    )
    faults: list[ConfigurationFault] = []
    # Each section is merged for all overlays before the next one. Maintenance plans
    # come after the hosts, since a plan may list hosts that an overlay adds.
    for merge_section in (
        _merge_header,
        _merge_zones,
        _merge_hosts,
        _merge_teams,
        _merge_plans,
    ):
        if faults and merge_section is _merge_zones:
            # If the site in the header is not valid, every entry of the overlay would
            # be reported as a fault too.
            return Err(faults)
        for file in overlays:
            merge_section(state, configuration, file.overlay)
            locate = locate_in([file.source, base.source])
            faults.extend(locate(fault) for fault in state.faults)
            state.faults.clear()
    if faults:
        return Err(faults)
    merged = replace(
        configuration,
        availability_zones_by_id=state.zones_by_id,
        hosts_by_id=state.hosts_by_id,
        teams_by_id=state.teams_by_id,
        maintenance_plans_by_id=state.plans_by_id,
    )
    return _check_merged(merged, base, overlays)


def _check_merged(
    merged: Configuration, base: BaseFile, overlays: Sequence[OverlayFile]
) -> Result[Configuration, list[ConfigurationFault]]:
    locate = locate_in([*(file.source for file in overlays), base.source])
    found = find_faults(merged)
    # Files that are each valid can exceed a limit of the schema once merged, for
    # example on the number of entries.
    checked = codec.check_fields(codec.to_data(merged), Configuration)
    if isinstance(checked, Err):
        problem = checked.err_value
        found.append(_fault(FaultKind.MALFORMED, problem.field, problem.problem))
    if found:
        return Err([locate(fault) for fault in found])
    return Ok(merged)


def _fault(kind: FaultKind, path: str, problem: str) -> FieldFault:
    return FieldFault(kind=kind, field=path, problem=problem)


def _not_of_site_fault(path: str, subject: str, site: str) -> FieldFault:
    return _fault(
        FaultKind.NOT_OF_SITE, path, f'{subject} does not belong to site {site!r}'
    )


def _merge_header(
    state: _MergeState, configuration: Configuration, overlay: SiteOverlay
) -> None:
    site = configuration.sites_by_id.get(overlay.site)
    if site is None:
        problem = f'the base file has no site {overlay.site!r}'
        state.faults.append(_fault(FaultKind.UNKNOWN_REFERENCE, 'site', problem))
    elif set(site.availability_zones) != set(overlay.availability_zones):
        problem = 'must be those of the base file: ' + ', '.join(
            site.availability_zones
        )
        state.faults.append(
            _fault(FaultKind.NOT_OF_SITE, 'availability_zones', problem)
        )
    _register_change(state, 'site', overlay.site, overlay.site)


def _zones_of_site(configuration: Configuration, overlay: SiteOverlay) -> set[str]:
    """Returns the zones that the base file, not the overlay, lists for the site."""
    site = configuration.sites_by_id.get(overlay.site)
    return set(site.availability_zones) if site else set()


def _register_change(state: _MergeState, path: str, name: str, site: str) -> bool:
    """Records that the overlay of a site changes an entry.

    Returns False and adds a fault if another overlay has changed the entry already.
    """
    key = f'{path}.{name}'
    if key in state.sites_by_changed_field:
        other = state.sites_by_changed_field[key]
        problem = f'an overlay of site {other!r} also contains {name!r}'
        field_path = path if path == 'site' else key
        state.faults.append(_fault(FaultKind.DUPLICATE, field_path, problem))
        return False
    state.sites_by_changed_field[key] = site
    return True


def _merge_zones(
    state: _MergeState, configuration: Configuration, overlay: SiteOverlay
) -> None:
    zones = _zones_of_site(configuration, overlay)
    for zone_id, change in overlay.availability_zones_by_id.items():
        path = f'availability_zones_by_id.{zone_id}'
        if zone_id not in zones or zone_id not in state.zones_by_id:
            subject = f'availability zone {zone_id!r}'
            state.faults.append(_not_of_site_fault(path, subject, overlay.site))
            continue
        zone = state.zones_by_id[zone_id]
        state.zones_by_id[zone_id] = replace(zone, state=change.state)


def _merge_hosts(
    state: _MergeState, configuration: Configuration, overlay: SiteOverlay
) -> None:
    zones = _zones_of_site(configuration, overlay)
    for host_id, change in overlay.hosts_by_id.items():
        path = f'hosts_by_id.{host_id}'
        if not _register_change(state, 'hosts_by_id', host_id, overlay.site):
            continue
        current = state.hosts_by_id.get(host_id)
        if current is not None and current.availability_zone not in zones:
            subject = f'host {host_id!r}'
            state.faults.append(_not_of_site_fault(path, subject, overlay.site))
        elif change is None:
            _remove(state, state.hosts_by_id, host_id, path, 'host')
        else:
            _change_host(state, host_id, change, zones, overlay.site)


def _remove(
    state: _MergeState, entries_by_id: dict, entry_id: str, path: str, kind: str
) -> None:
    """Removes an entry that is null in the overlay; adds a fault if it is absent."""
    if entry_id in entries_by_id:
        del entries_by_id[entry_id]
        return
    problem = f'null removes a {kind}, but the base file has no such {kind}'
    state.faults.append(_fault(FaultKind.UNKNOWN_REFERENCE, path, problem))


def _change_host(
    state: _MergeState, host_id: str, change: HostOverlay, zones: set[str], site: str
) -> None:
    path = f'hosts_by_id.{host_id}'
    changed_fields = _fields_set_in(change)
    zone = changed_fields.get('availability_zone')
    if zone is not None and zone not in zones:
        subject = f'availability zone {zone!r}'
        state.faults.append(
            _not_of_site_fault(f'{path}.availability_zone', subject, site)
        )
        return
    current = state.hosts_by_id.get(host_id)
    if current is not None:
        state.hosts_by_id[host_id] = replace(current, **changed_fields)
        return
    missing = [name for name in REQUIRED_HOST_FIELDS if name not in changed_fields]
    for name in missing:
        state.faults.append(
            _fault(FaultKind.MALFORMED, f'{path}.{name}', 'is missing for a new host')
        )
    if not missing:
        state.hosts_by_id[host_id] = Host(**changed_fields)


def _fields_set_in(change: HostOverlay | PlanOverlay) -> dict:
    """Returns the fields that an overlay sets, by name; None means not set."""
    values = {name: getattr(change, name) for name in type(change).__slots__}
    return {name: value for name, value in values.items() if value is not None}


def _merge_teams(
    state: _MergeState, configuration: Configuration, overlay: SiteOverlay
) -> None:
    site = configuration.sites_by_id.get(overlay.site)
    teams = set(site.teams) if site else set()
    for team_id, change in overlay.teams_by_id.items():
        path = f'teams_by_id.{team_id}'
        if team_id not in teams or team_id not in state.teams_by_id:
            subject = f'team {team_id!r}'
            state.faults.append(_not_of_site_fault(path, subject, overlay.site))
            continue
        team = state.teams_by_id[team_id]
        keys_by_id = dict(team.keys_by_id)
        for key_id, record in change.keys_by_id.items():
            _change_key(state, keys_by_id, key_id, record, f'{path}.keys_by_id')
        state.teams_by_id[team_id] = replace(team, keys_by_id=keys_by_id)


def _change_key(
    state: _MergeState,
    keys_by_id: dict[str, KeyRecord],
    key_id: str,
    record: KeyRecord | None,
    path: str,
) -> None:
    if record is None:
        _remove(state, keys_by_id, key_id, f'{path}.{key_id}', 'key')
    else:
        keys_by_id[key_id] = record


def _merge_plans(
    state: _MergeState, configuration: Configuration, overlay: SiteOverlay
) -> None:
    zones = _zones_of_site(configuration, overlay)
    for plan_id, change in overlay.maintenance_plans_by_id.items():
        path = f'maintenance_plans_by_id.{plan_id}'
        if not _register_change(
            state, 'maintenance_plans_by_id', plan_id, overlay.site
        ):
            continue
        current = state.plans_by_id.get(plan_id)
        if current is not None and not _hosts_are_in(state, current, zones):
            subject = f'maintenance plan {plan_id!r}'
            state.faults.append(_not_of_site_fault(path, subject, overlay.site))
        elif change is None:
            _remove(state, state.plans_by_id, plan_id, path, 'plan')
        else:
            _change_plan(state, plan_id, change, zones, overlay.site)


def _hosts_are_in(state: _MergeState, plan: MaintenancePlan, zones: set[str]) -> bool:
    """Returns whether no host of the plan is in a zone outside of `zones`."""
    hosts = [state.hosts_by_id.get(host_id) for host_id in plan.hosts]
    return all(host is None or host.availability_zone in zones for host in hosts)


def _change_plan(
    state: _MergeState, plan_id: str, change: PlanOverlay, zones: set[str], site: str
) -> None:
    path = f'maintenance_plans_by_id.{plan_id}'
    changed_fields = _fields_set_in(change)
    current = state.plans_by_id.get(plan_id)
    if current is None and change.hosts is None:
        state.faults.append(
            _fault(FaultKind.MALFORMED, f'{path}.hosts', 'is missing for a new plan')
        )
        return
    plan = (
        replace(current, **changed_fields)
        if current
        else MaintenancePlan(**changed_fields)
    )
    if not _hosts_are_in(state, plan, zones):
        subject = 'a host of the plan'
        state.faults.append(_not_of_site_fault(f'{path}.hosts', subject, site))
        return
    state.plans_by_id[plan_id] = plan
