"""Changes to the grant record of a team, which all holders share.

Each change returns a new record, which the caller writes by compare-and-swap.
"""

from collections.abc import Collection, Iterable
from dataclasses import replace

from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import GrantRecord


def initial_record(
    team_id: str, live_members: Iterable[str], upper_limit: int, limit_version: int
) -> GrantRecord:
    """Returns a record that divides the limit evenly among the live members.

    The remainder stays free until a holder requests it. With an even division, each
    entry host can start tasks of the team without another write, also during an outage
    of the platform.
    """
    members = sorted(set(live_members))
    each = upper_limit // len(members) if members else 0
    return GrantRecord(
        team=team_id,
        grants_by_member={member: each for member in members if each},
        upper_limit=upper_limit,
        limit_version=limit_version,
    )


def reclaim(
    record: GrantRecord,
    stopped_member_id: str,
    stopped_since_ms: int,
    bounds: FleetBounds,
    now_ms: int,
) -> GrantRecord | None:
    """Frees the grant of a stopped holder, or returns None while it may have tasks.

    None is also returned if the record does not name the holder. `stopped_since_ms` is
    when this entry host learned that another entry host had confirmed a member list
    without the holder. From then on, the holder cannot be fresh without seeing that it
    was removed. The wait covers its freshness, its last start token, the time for which
    a holder that is not fresh renews leases (`isolation_bound_ms`), and the lease
    itself.
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

    The former holder must have stopped starting tasks, which is certain after the wait
    of `reclaim` without the task lease. Returns None if its grant is now smaller than
    `count`. The tasks must then not be taken over, and their leases expire.
    """
    held = held_by(record, from_member)
    if count < 1 or held < count or from_member == to_member:
        return None
    grants = _without(record.grants_by_member, from_member)
    if held > count:
        grants[from_member] = held - count
    grants[to_member] = held_by(record, to_member) + count
    return replace(record, grants_by_member=grants)


def held_by(record: GrantRecord | None, member_id: str) -> int:
    """Returns the grant of a holder in a record, or 0 if the holder has none."""
    return record.grants_by_member.get(member_id, 0) if record else 0


def excess_of(record: GrantRecord) -> int:
    """Returns by how much the grants exceed the limit; negative if grant is free."""
    return sum(record.grants_by_member.values()) - record.upper_limit


def free_grant(record: GrantRecord) -> int:
    """Returns the part of the limit that no holder has."""
    return max(0, -excess_of(record))


def open_requests(
    record: GrantRecord, member_id: str, live_members: Collection[str]
) -> dict[str, int]:
    """Returns the number of further slots that each other live holder requests."""
    return {
        member: count
        for member, count in record.requests_by_member.items()
        if count > 0 and member != member_id and member in live_members
    }


def with_limit(
    record: GrantRecord, upper_limit: int, limit_version: int, lowered_version: int
) -> GrantRecord:
    """Returns the record with a newer limit.

    Returns the same record if the limit has not changed and was not lowered since the
    record's version, so that most configuration changes need no write.
    """
    if limit_version <= record.limit_version:
        return record
    is_same = upper_limit == record.upper_limit
    if is_same and record.limit_version >= lowered_version:
        return record
    return replace(record, upper_limit=upper_limit, limit_version=limit_version)


def with_grant(
    record: GrantRecord, member_id: str, retained: int, wanted: int
) -> GrantRecord:
    """Returns the record with a new grant of one holder and its updated request."""
    grants = record.grants_by_member | {member_id: retained}
    request = request_of(record, member_id, retained, wanted)
    requests = record.requests_by_member | {member_id: request}
    return replace(
        record,
        grants_by_member=positive_counts(grants),
        requests_by_member=positive_counts(requests),
    )


def request_of(record: GrantRecord, member_id: str, held: int, wanted: int) -> int:
    """Returns the number of missing slots of a holder, rounded up to a power of two.

    A request of up to twice the missing slots stays as it is. An exact number would
    change with each queued request and cost one write per second.
    """
    most = max(0, record.upper_limit - held)
    missing = min(most, max(0, wanted - held))
    requested = record.requests_by_member.get(member_id, 0)
    if missing <= requested <= 2 * missing:
        return requested
    return min(most, 1 << (missing - 1).bit_length()) if missing else 0


def positive_counts(counts_by_member: dict[str, int]) -> dict[str, int]:
    """Returns the counts without zeros, which records leave out."""
    return {member: count for member, count in counts_by_member.items() if count > 0}


def _without(counts_by_member: dict[str, int], member_id: str) -> dict[str, int]:
    return {
        member: count
        for member, count in counts_by_member.items()
        if member != member_id
    }
