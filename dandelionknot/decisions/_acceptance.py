"""Acceptance of a configuration version once no member acts on an older one."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, FleetBounds
from dandelionknot.messages import Member


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """No member acts on an older version any more."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Pending:
    """Some members, given by `names`, may still act on an older version."""

    version: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """What one entry host knows about the members and their confirmed versions.

    `members_by_id` contains every recorded member, from one read. `bounds` are
    those of the version; a member that still applies older, longer ones states them
    in its record. `first_seen_confirmed_ms_by_member` is the result of
    `observe_confirmations`.
    """

    version: int
    members_by_id: Mapping[str, Member]
    first_seen_confirmed_ms_by_member: Mapping[str, int]
    bounds: FleetBounds
    now_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordNeeded:
    """Reason why a membership record must not be deleted yet."""

    member_id: str
    reason: str


def observe_confirmations(
    first_seen_confirmed_ms_by_member: Mapping[str, int],
    version: int,
    members_by_id: Mapping[str, Member],
    now_ms: int,
) -> dict[str, int]:
    """Returns when the observer first saw each member's confirmation of a version.

    `now_ms` is when the answer with the member records arrived. The result applies
    to this version only.
    """
    seen = dict(first_seen_confirmed_ms_by_member)
    for member_id, member in members_by_id.items():
        if member.confirmed_version >= version:
            seen.setdefault(member_id, now_ms)
    return seen


def acceptance(
    observed: Observation, affected_zones: frozenset[str] | None = None
) -> Accepted | Pending:
    """Decides whether a version is in force everywhere.

    An unresponsive member of an affected zone may serve its open queues until the
    isolation bound. None means that every zone is affected (see
    `affected_open_queue_zones`).
    """
    names = sorted(
        member.member_id
        for member in observed.members_by_id.values()
        if member.confirmed_version < observed.version
        and not _has_stopped(observed, member, affected_zones)
    )
    if names or not observed.members_by_id:
        return Pending(version=observed.version, names=tuple(names))
    return Accepted(version=observed.version)


def stop_wait_ms(
    member: Member, bounds: FleetBounds, affected_zones: frozenset[str] | None
) -> int:
    """Returns for how long an unresponsive member may act on an older version.

    A start token that was issued just before the bound can be used up to
    `start_token_ms` later. `drift_margin_ms` covers clocks that run at different
    rates.
    """
    widest = widest_bounds([bounds, member.confirmed_bounds or bounds])
    wait_ms = widest.freshness_bound_ms + widest.start_token_ms + widest.drift_margin_ms
    if affected_zones is None or member.availability_zone in affected_zones:
        wait_ms += widest.isolation_bound_ms
    return wait_ms


def may_delete_record(
    observed: Observation, member_id: str, *, holds_grants: bool, owns_slices: bool
) -> Result[None, RecordNeeded]:
    """Decides whether another member's record may be deleted.

    Only with a version that the member has not confirmed can it be proved that the
    member has stopped, so a fleet without changes first writes a new version. The
    wait includes the isolation bound, since later zone exits do not wait for a
    deleted member. A deleted member that keeps running on newer versions received
    from peers stops within the freshness bound of the next change. The deletion must
    be a compare-and-swap on the record that was examined, so that it fails if the
    member has written the record again.
    """
    reason = _reason_to_keep(observed, observed.members_by_id.get(member_id))
    if reason is None and holds_grants:
        reason = 'its grants have not been taken over by another member'
    if reason is None and owns_slices:
        reason = 'its slices have not been taken over by another member'
    if reason is None:
        return Ok(None)
    return Err(RecordNeeded(member_id=member_id, reason=reason))


def _reason_to_keep(observed: Observation, member: Member | None) -> str | None:
    if member is None:
        return 'it has no record'
    if member.confirmed_version >= observed.version:
        return f'it confirmed version {observed.version}'
    if not _has_stopped(observed, member, None):
        return f'it may still act on a version before {observed.version}'
    return None


def affected_open_queue_zones(old: Configuration, new: Configuration) -> frozenset[str]:
    """Returns the zones in which a change can affect starts of open queues.

    A change of services, pools or bounds affects every zone.
    """
    for field in ('services_by_id', 'pools_by_id', 'bounds'):
        if getattr(old, field) != getattr(new, field):
            return _zones(old) | _zones(new)
    changed = _changed_names(old.availability_zones_by_id, new.availability_zones_by_id)
    changed_hosts = _changed_names(old.hosts_by_id, new.hosts_by_id)
    changed_hosts |= _changed_names(old.moves_by_host, new.moves_by_host)
    for configuration in (old, new):
        for host_id in changed_hosts & configuration.hosts_by_id.keys():
            changed.add(configuration.hosts_by_id[host_id].availability_zone)
    return frozenset(changed)


def widest_bounds(candidates: Iterable[FleetBounds]) -> FleetBounds:
    """Returns the maximum of each bound, for versions of which any may be in use."""
    bounds = list(candidates)
    names = FleetBounds.__dataclass_fields__
    return FleetBounds(
        **{name: max(getattr(b, name) for b in bounds) for name in names}
    )


def _has_stopped(
    observed: Observation, member: Member, affected_zones: frozenset[str] | None
) -> bool:
    """Returns whether a member has provably stopped acting on older versions.

    It cannot complete a full round any more once a member of its own list answers
    with the newer version. A list revision of 0 means that it has read no list.
    """
    wait_ms = stop_wait_ms(member, observed.bounds, affected_zones)
    for witness_id, seen_ms in observed.first_seen_confirmed_ms_by_member.items():
        witness = observed.members_by_id.get(witness_id)
        if witness is None or witness.confirmed_version < observed.version:
            continue
        is_listed = 0 < witness.joined_revision <= member.members_revision
        if is_listed and observed.now_ms - seen_ms >= wait_ms:
            return True
    return False


def _zones(configuration: Configuration) -> frozenset[str]:
    hosts = configuration.hosts_by_id.values()
    zones = {host.availability_zone for host in hosts}
    return frozenset(zones | configuration.availability_zones_by_id.keys())


def _changed_names(old: Mapping[str, object], new: Mapping[str, object]) -> set[str]:
    return {name for name in old.keys() | new.keys() if old.get(name) != new.get(name)}
