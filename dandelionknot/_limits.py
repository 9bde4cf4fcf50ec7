"""Upper limits of teams, split into grants that entry hosts hold.

A team's record on the platform states the grant of each holder, how much more each
holder asks for, and the upper limit that these numbers obey. Records are written by
compare-and-swap and never deleted, so revisions only grow.

Safety rests on four rules:

- Only a holder lowers its own grant, and it stops using it before it sends the write.
  The exceptions, `reclaim` and `adopt`, need the proof that the holder has stopped.
- New grant is used once a read or a write's answer shows it. After a lost answer the
  lower of both grants counts until a newer revision is seen: a compare-and-swap
  against an older revision can no longer take effect.
- The limit in the record carries the configuration version of its writer. After a
  limit was lowered, an entry host starts nothing until it has seen a record that
  states this or a later limit and whose grants fit it. From that record on, nobody
  takes grant under the old limit.
- A holder id ends when its process ends or learns that it was removed from the member
  list. An entry host that restarts or joins again is a new holder, as tasks of the
  former one may still run, and a `reclaim` of its grant may be under way.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import ErrorCode, GrantRecord, Refusal, RunState

TRANSFER_INTERVAL_MS = 1000
"""Least time between two writes of one holder to one team's record."""

SMALL_TRANSFER_INTERVAL_MS = 3000
"""Least time before a transfer within the deadband."""

DEADBAND_DIVISOR = 4
"""Changes up to a quarter of the grant, or half of an even part, are small."""

ROTATION_TURN_MS = 1000
"""How long a holder keeps its last slot while holders without any slot wait."""


@dataclass(slots=True)
class TeamGrant:
    """What this holder knows of one team.

    `granted` is what may run now: the grant in the newest record seen, less what a
    write under way gives away. `running` counts starts from `try_start` until they are
    known to have ended or not to have run. `wanted` counts the slots that could be
    used now, those of running tasks included.
    """

    granted: int = 0
    running: int = 0
    wanted: int = 0
    upper_limit: int = 0
    limit_version: int = 0
    lowered_version: int = 0
    record: GrantRecord | None = None
    revision: int = 0
    pending: GrantRecord | None = None
    ceiling: int | None = None
    next_write_ms: int = 0
    last_transfer_ms: int | None = None
    former_transfer_ms: int | None = None
    gained_ms: int | None = None


@dataclass(slots=True)
class LocalGrants:
    """Grants of one holder, by team."""

    teams_by_id: dict[str, TeamGrant] = field(default_factory=dict)
    stopping: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantWrite:
    """A record to write if the key still has the expected revision."""

    record: GrantRecord
    expected_revision: int


def holder_id(member_id: str, incarnation: str) -> str:
    """Returns the id under which one run of an entry host holds grants."""
    return f'{member_id}/{incarnation}'


def set_limit(
    local: LocalGrants,
    member_id: str,
    team_id: str,
    upper_limit: int,
    version: int,
    lowered_version: int = 0,
) -> None:
    """Adopts a limit; call it before the configuration version is confirmed.

    `lowered_version` is the version in which the limit was last lowered. An entry host
    that skipped versions cannot see from the values alone that it was raised and
    lowered in between.
    """
    team = local.teams_by_id.setdefault(team_id, TeamGrant())
    if version < team.limit_version:
        return
    if upper_limit < team.upper_limit:
        lowered_version = version
    team.lowered_version = max(team.lowered_version, lowered_version)
    team.upper_limit = upper_limit
    team.limit_version = version
    _update_granted(team, member_id)


def set_wanted(local: LocalGrants, team_id: str, wanted: int) -> None:
    """Sets how many slots the team could use here now, running tasks included."""
    local.teams_by_id.setdefault(team_id, TeamGrant()).wanted = wanted


def try_start(local: LocalGrants, team_id: str) -> Result[None, Refusal]:
    """Counts one more running task, or refuses with `team_limit_reached`."""
    team = local.teams_by_id.get(team_id)
    if team is None or local.stopping or not may_start(team):
        return Err(_limit_refusal(team_id, team))
    team.running += 1
    return Ok(None)


def may_start(team: TeamGrant) -> bool:
    """Tells whether one more task fits the grant, without counting it."""
    ceiling = team.granted if team.ceiling is None else team.ceiling
    return team.running < min(team.granted, ceiling)


def finished(local: LocalGrants, team_id: str) -> None:
    """Counts a task that has ended, was refused, or whose lease ran out."""
    team = local.teams_by_id[team_id]
    if team.running == 0:
        raise AssertionError(f'team {team_id!r} has no running task to finish')
    team.running -= 1


def observe_record(
    local: LocalGrants,
    member_id: str,
    record: GrantRecord,
    revision: int,
    now_ms: int,
) -> None:
    """Takes over a record that a read, a watch or the answer to a write showed.

    Records older than the newest one seen are ignored. A newer one settles a write
    whose answer was lost.
    """
    team = local.teams_by_id.setdefault(record.team, TeamGrant())
    if revision <= team.revision:
        return
    if _held(record, member_id) > _held(team.record, member_id):
        team.gained_ms = now_ms
    team.record = record
    team.revision = revision
    team.pending = None
    team.ceiling = None
    _update_granted(team, member_id)


def next_write(
    local: LocalGrants,
    member_id: str,
    team_id: str,
    now_ms: int,
    live_members: Collection[str],
    interval_ms: int = TRANSFER_INTERVAL_MS,
) -> GrantWrite | None:
    """Returns the write to send now, and stops using the grant that it gives up.

    Call it after each observed record, each finished task, each change of demand and
    once a second. Send the write at once; pass the answer, or a read after a conflict
    or a lost answer, to `observe_record`. A write that is not settled after the
    interval is returned again unchanged. A longer interval saves writes while the
    platform is slow.
    """
    team = local.teams_by_id[team_id]
    if now_ms < team.next_write_ms:
        return None
    if team.pending is None:
        team.pending = _plan(local, team, member_id, team_id, now_ms, live_members)
    if team.pending is None:
        return None
    team.next_write_ms = now_ms + interval_ms
    team.former_transfer_ms = team.last_transfer_ms
    team.last_transfer_ms = now_ms
    _update_granted(team, member_id)
    return GrantWrite(record=team.pending, expected_revision=team.revision)


def write_conflicted(local: LocalGrants, team_id: str, retry_at_ms: int) -> None:
    """Allows the next write at `retry_at_ms`, since the last one did not take effect.

    Draw the time at random within some hundred milliseconds.
    """
    team = local.teams_by_id[team_id]
    team.next_write_ms = retry_at_ms
    team.last_transfer_ms = team.former_transfer_ms


def initial_record(
    team_id: str, live_members: Iterable[str], upper_limit: int, limit_version: int
) -> GrantRecord:
    """Splits the limit evenly; the remainder stays free until someone asks.

    An even split lets every entry host start work of the team without a further write,
    also during a platform outage.
    """
    members = sorted(set(live_members))
    each = upper_limit // len(members) if members else 0
    return GrantRecord(
        team=team_id,
        grants_by_member={member: each for member in members if each},
        upper_limit=upper_limit,
        limit_version=limit_version,
    )


def plan_transfer(
    record: GrantRecord,
    member_id: str,
    running: int,
    wanted: int,
    upper_limit: int,
    now_ms: int,
    last_transfer_ms: int | None,
    *,
    limit_version: int,
    lowered_version: int = 0,
    gained_ms: int | None = None,
    live_members: Collection[str] | None = None,
) -> GrantRecord | None:
    """Returns the record to write by compare-and-swap, or None if nothing changes.

    The holder takes free grant, asks for what is missing, gives idle grant to those who
    ask, and evens out its grant with theirs. Above the limit it only gives up grant
    that it does not use. Only live members are given grant, if they are known.
    """
    if last_transfer_ms is not None and (
        now_ms - last_transfer_ms < TRANSFER_INTERVAL_MS
    ):
        return None
    stated = _with_limit(record, upper_limit, limit_version, lowered_version)
    band = _deadband(stated, member_id, now_ms, last_transfer_ms, live_members)
    target = fair_target(
        stated, member_id, wanted, now_ms, gained_ms, band, live_members
    )
    return _transfer(
        record, stated, member_id, running, wanted, target, band, live_members
    )


def fair_target(
    record: GrantRecord,
    member_id: str,
    wanted: int,
    now_ms: int,
    gained_ms: int | None,
    band: int,
    live_members: Collection[str] | None,
) -> int:
    """Returns the grant to which this holder should come down, at most what it holds.

    The holder and those who ask share its grant and the free grant by max-min. A
    holder gives its last slot to one that has none after a turn, so that small
    limits rotate. The turn grows with the slots per waiting holder: that keeps the
    rotation near one write per waiting holder and second.
    """
    held = _held(record, member_id)
    requests = _open_requests(record, member_id, live_members)
    if not requests or not held:
        return held
    grants = {member: _held(record, member) for member in requests}
    starving = sum(1 for grant in grants.values() if grant == 0)
    turn_ms = ROTATION_TURN_MS * max(1, record.upper_limit // max(1, starving))
    turn_over = gained_ms is None or now_ms - gained_ms >= turn_ms
    rotates = starving > 0 and turn_over
    order = _cyclic(requests, record.last_served)
    order = [*order, member_id] if rotates else [member_id, *order]
    pot = held + _free(record)
    left = _deal(grants | {member_id: 0}, requests | {member_id: wanted}, pot, order)
    target = left.grants_by_member[member_id] + left.free
    if not rotates and wanted:
        target = max(target, 1)
    return held if held - target <= band else target


def reclaim(
    record: GrantRecord,
    stopped_member_id: str,
    stopped_since_ms: int,
    bounds: FleetBounds,
    now_ms: int,
) -> GrantRecord | None:
    """Frees the grant of a stopped holder, or returns None while it may have tasks.

    `stopped_since_ms` is when this entry host learned that another one had confirmed a
    member list without the holder. From then on the holder cannot be fresh without
    seeing that it was removed. The wait covers its freshness, its last start token, the
    time for which a holder that is not fresh renews leases (`isolation_bound_ms`), and
    the lease itself.
    """
    wait_ms = (
        bounds.freshness_bound_ms
        + bounds.start_token_ms
        + bounds.isolation_bound_ms
        + bounds.task_lease_ms
        + bounds.drift_margin_ms
    )
    if now_ms - stopped_since_ms < wait_ms:
        return None
    known = {*record.grants_by_member, *record.requests_by_member}
    if stopped_member_id not in known:
        return None
    return replace(
        record,
        grants_by_member=_without(record.grants_by_member, stopped_member_id),
        requests_by_member=_without(record.requests_by_member, stopped_member_id),
    )


def adopt(
    record: GrantRecord, from_member: str, to_member: str, count: int
) -> GrantRecord | None:
    """Moves the grant of `count` running tasks to the holder that takes them over.

    The former holder must have stopped starting work: the wait of `reclaim` without
    the task lease. Returns None if it no longer holds that much grant; the tasks must
    then be left to their leases.
    """
    held = _held(record, from_member)
    if count < 1 or held < count or from_member == to_member:
        return None
    grants = _without(record.grants_by_member, from_member)
    if held > count:
        grants[from_member] = held - count
    grants[to_member] = _held(record, to_member) + count
    return replace(record, grants_by_member=grants)


def adopted(local: LocalGrants, team_id: str, count: int) -> None:
    """Counts taken-over tasks as running here, once the record shows their grant.

    Renew their leases only after this, or they would outlive a `reclaim`.
    """
    local.teams_by_id[team_id].running += count


@dataclass(frozen=True, slots=True)
class _Dealt:
    """Grants and open requests after free grant was dealt out, and what is left."""

    grants_by_member: dict[str, int]
    requests_by_member: dict[str, int]
    free: int
    last_served: str


def _plan(
    local: LocalGrants,
    team: TeamGrant,
    member_id: str,
    team_id: str,
    now_ms: int,
    live_members: Collection[str],
) -> GrantRecord | None:
    if team.record is None:
        if team.limit_version == 0:
            return None
        members = {*live_members, member_id}
        return initial_record(team_id, members, team.upper_limit, team.limit_version)
    if local.stopping:
        return _give_all(team.record, member_id, team.running)
    stated = _with_limit(
        team.record, team.upper_limit, team.limit_version, team.lowered_version
    )
    if stated is team.record and _is_satisfied(team, stated, member_id):
        team.ceiling = None
        return None
    band = _deadband(stated, member_id, now_ms, team.last_transfer_ms, live_members)
    target = fair_target(
        stated, member_id, team.wanted, now_ms, team.gained_ms, band, live_members
    )
    # A holder that refills each slot at once would never have one to give.
    team.ceiling = target if target < _held(stated, member_id) else None
    return _transfer(
        team.record,
        stated,
        member_id,
        team.running,
        team.wanted,
        target,
        band,
        live_members,
    )


def _is_satisfied(team: TeamGrant, record: GrantRecord, member_id: str) -> bool:
    """Tells cheaply that nobody asks, this holder needs no more and the grants fit."""
    return (
        not record.requests_by_member
        and team.wanted <= _held(record, member_id)
        and _excess(record) <= 0
    )


def _transfer(
    record: GrantRecord,
    stated: GrantRecord,
    member_id: str,
    running: int,
    wanted: int,
    target: int,
    band: int,
    live_members: Collection[str] | None,
) -> GrantRecord | None:
    """Returns the changed record, given the record that states the current limit."""
    held = _held(stated, member_id)
    excess = _excess(stated)
    if excess > 0:
        kept = max(min(held, running), held - excess)
        changed = _with_grant(stated, member_id, kept, wanted)
    else:
        kept = min(held, max(running, target))
        if held < wanted <= held + band:
            wanted = held
        changed = _share_out(stated, member_id, kept, wanted, live_members)
    return None if _same_for(member_id, record, changed) else changed


def _deadband(
    record: GrantRecord,
    member_id: str,
    now_ms: int,
    last_transfer_ms: int | None,
    live_members: Collection[str] | None,
) -> int:
    """Returns how far the grant may be from its target without a write for now.

    Demand of a few slots changes all the time; without a deadband, nearly every holder
    writes once a second. The last slot and the first slot have none.
    """
    held = _held(record, member_id)
    if held <= 1 or last_transfer_ms is None:
        return 0
    if now_ms - last_transfer_ms >= SMALL_TRANSFER_INTERVAL_MS:
        return 0
    holders = len(live_members or record.grants_by_member)
    return max(held // DEADBAND_DIVISOR, record.upper_limit // (2 * max(1, holders)))


def _give_all(record: GrantRecord, member_id: str, running: int) -> GrantRecord | None:
    changed = _with_grant(record, member_id, min(running, _held(record, member_id)), 0)
    return None if changed == record else changed


def _update_granted(team: TeamGrant, member_id: str) -> None:
    record = team.record
    if record is None or _limit_is_unsettled(team, record) or _excess(record) > 0:
        team.granted = 0
        return
    team.granted = _held(record, member_id)
    if team.pending is not None:
        team.granted = min(team.granted, _held(team.pending, member_id))


def _limit_is_unsettled(team: TeamGrant, record: GrantRecord) -> bool:
    return record.limit_version < team.lowered_version


def _with_limit(
    record: GrantRecord, upper_limit: int, limit_version: int, lowered_version: int
) -> GrantRecord:
    """States a newer limit in the record; most configuration changes need no write."""
    if limit_version <= record.limit_version:
        return record
    is_same = upper_limit == record.upper_limit
    if is_same and record.limit_version >= lowered_version:
        return record
    return replace(record, upper_limit=upper_limit, limit_version=limit_version)


def _share_out(
    record: GrantRecord,
    member_id: str,
    kept: int,
    wanted: int,
    live_members: Collection[str] | None,
) -> GrantRecord:
    """Deals free and given-up grant to all who ask, this holder included."""
    held = _held(record, member_id)
    requests = _open_requests(record, member_id, live_members)
    grants = {member: _held(record, member) for member in requests}
    order = _cyclic(requests, record.last_served)
    if kept == held:
        requests[member_id] = max(0, wanted - kept)
        order = _cyclic(requests, record.last_served)
    grants[member_id] = kept
    pot = _free(record) + held - kept
    dealt = _deal(grants, requests, pot, order)
    own = dealt.grants_by_member[member_id]
    all_grants = record.grants_by_member | dealt.grants_by_member
    all_requests = record.requests_by_member | dealt.requests_by_member
    all_requests[member_id] = _request(record, member_id, own, wanted)
    return replace(
        record,
        grants_by_member=_positive(all_grants),
        requests_by_member=_positive(all_requests),
        last_served=dealt.last_served or record.last_served,
    )


def _deal(
    grants: dict[str, int], requests: dict[str, int], free: int, order: list[str]
) -> _Dealt:
    """Raises the lowest grants first; ties go by order.

    It works level by level, since limits go up to a million.
    """
    grants = dict(grants)
    left = {member: requests[member] for member in order if requests[member] > 0}
    last_served = ''
    while free > 0 and left:
        level = min(grants[member] for member in left)
        lowest = [member for member in order if member in left]
        above = [grants[member] - level for member in lowest if grants[member] > level]
        lowest = [member for member in lowest if grants[member] == level][:free]
        steps = [free // len(lowest), *above, *(left[member] for member in lowest)]
        step = min(steps)
        for member in lowest:
            grants[member] += step
            left[member] -= step
        free -= step * len(lowest)
        last_served = lowest[-1]
        left = {member: count for member, count in left.items() if count > 0}
    return _Dealt(grants, {m: left.get(m, 0) for m in requests}, free, last_served)


def _open_requests(
    record: GrantRecord, member_id: str, live_members: Collection[str] | None
) -> dict[str, int]:
    return {
        member: count
        for member, count in record.requests_by_member.items()
        if count > 0
        and member != member_id
        and (live_members is None or member in live_members)
    }


def _request(record: GrantRecord, member_id: str, held: int, wanted: int) -> int:
    """Rounds what is missing up to a power of two, with hysteresis.

    An exact number would change with each queued request and cost a write a second.
    """
    most = max(0, record.upper_limit - held)
    missing = min(most, max(0, wanted - held))
    asked = record.requests_by_member.get(member_id, 0)
    if missing <= asked <= 2 * missing:
        return asked
    return min(most, 1 << (missing - 1).bit_length()) if missing else 0


def _with_grant(
    record: GrantRecord, member_id: str, kept: int, wanted: int
) -> GrantRecord:
    grants = record.grants_by_member | {member_id: kept}
    request = _request(record, member_id, kept, wanted)
    requests = record.requests_by_member | {member_id: request}
    return replace(
        record,
        grants_by_member=_positive(grants),
        requests_by_member=_positive(requests),
    )


def _same_for(member_id: str, old: GrantRecord, new: GrantRecord) -> bool:
    """Tells whether a write would change nothing that concerns this holder.

    Others who ask take free grant themselves.
    """
    return (
        _held(old, member_id) == _held(new, member_id)
        and old.requests_by_member.get(member_id, 0)
        == new.requests_by_member.get(member_id, 0)
        and old.limit_version == new.limit_version
    )


def _cyclic(members: Iterable[str], after: str) -> list[str]:
    return sorted(members, key=lambda member: (member <= after, member))


def _held(record: GrantRecord | None, member_id: str) -> int:
    return record.grants_by_member.get(member_id, 0) if record else 0


def _excess(record: GrantRecord) -> int:
    return sum(record.grants_by_member.values()) - record.upper_limit


def _free(record: GrantRecord) -> int:
    return max(0, -_excess(record))


def _positive(counts_by_member: dict[str, int]) -> dict[str, int]:
    return {member: count for member, count in counts_by_member.items() if count > 0}


def _without(counts_by_member: dict[str, int], member_id: str) -> dict[str, int]:
    return {
        member: count
        for member, count in counts_by_member.items()
        if member != member_id
    }


def _limit_refusal(team_id: str, team: TeamGrant | None) -> Refusal:
    granted = team.granted if team else 0
    running = team.running if team else 0
    return Refusal(
        code=ErrorCode.TEAM_LIMIT_REACHED,
        message=f'team {team_id!r} runs {running} tasks of {granted} granted here',
        run_state=RunState.NOT_RUN,
        retry_after_ms=TRANSFER_INTERVAL_MS,
    )
