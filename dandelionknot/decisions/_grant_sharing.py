"""How the holders of a team's grants share its limit: target grants and transfers."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from dandelionknot.decisions._grant_records import (
    excess_of,
    free_grant,
    held_by,
    open_requests,
    positive_counts,
    request_of,
    with_grant,
)
from dandelionknot.messages import GrantRecord

SMALL_TRANSFER_INTERVAL_MS = 3000
"""Minimum time between a holder's last write and a transfer within the deadband."""

DEADBAND_DIVISOR = 4
"""The deadband is the grant divided by this, or half of an even part if larger."""

ROTATION_TURN_MS = 1000
"""Minimum time a holder keeps its last slot while holders without any slot wait."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """A holder with the values, besides the record, on which its next transfer depends.

    `gained_ms` is when its grant last increased, and `last_transfer_ms` is when it last
    sent a write. Both are None before the first time. Only live members are given
    grants.
    """

    member_id: str
    running: int
    wanted: int
    live_members: Collection[str]
    now_ms: int
    gained_ms: int | None
    last_transfer_ms: int | None


@dataclass(frozen=True, slots=True)
class _Division:
    """Result of dividing free grant: new grants, open requests and the remainder."""

    grants_by_member: dict[str, int]
    requests_by_member: dict[str, int]
    free: int
    last_served: str


def deadband(record: GrantRecord, holder: Holder) -> int:
    """Returns the difference between grant and target that needs no write for now.

    Demand changes by a few slots all the time. Without a deadband, nearly every holder
    would write once a second. A holder with no slot or one slot has no deadband.
    """
    held = held_by(record, holder.member_id)
    if held <= 1 or holder.last_transfer_ms is None:
        return 0
    if holder.now_ms - holder.last_transfer_ms >= SMALL_TRANSFER_INTERVAL_MS:
        return 0
    holders = len(holder.live_members or record.grants_by_member)
    return max(held // DEADBAND_DIVISOR, record.upper_limit // (2 * max(1, holders)))


def fair_target(record: GrantRecord, holder: Holder, band: int) -> int:
    """Returns the grant to which this holder should decrease, at most its present one.

    The holder and the holders with open requests share its grant and the free grant by
    max-min fairness. After its turn, a holder gives its last slot to a holder that has
    none, so that the slots of a small limit rotate. If the decrease is within the
    deadband `band`, the present grant is returned.
    """
    held = held_by(record, holder.member_id)
    requests = open_requests(record, holder.member_id, holder.live_members)
    if not requests or not held:
        return held
    grants = {member: held_by(record, member) for member in requests}
    rotates = _must_rotate(record, holder, grants)
    target = _max_min_share(record, holder, grants, requests, rotates)
    if not rotates and holder.wanted:
        target = max(target, 1)
    return held if held - target <= band else target


def _must_rotate(
    record: GrantRecord, holder: Holder, grants_of_requesters: dict[str, int]
) -> bool:
    """Returns whether holders without any slot wait and this holder's turn is over.

    The duration of a turn grows with the number of slots per waiting holder. This keeps
    the rotation near one write per waiting holder and second.
    """
    starving = sum(1 for grant in grants_of_requesters.values() if grant == 0)
    if starving == 0:
        return False
    if holder.gained_ms is None:
        return True
    turn_ms = ROTATION_TURN_MS * max(1, record.upper_limit // starving)
    return holder.now_ms - holder.gained_ms >= turn_ms


def _max_min_share(
    record: GrantRecord,
    holder: Holder,
    grants_of_requesters: dict[str, int],
    requests: dict[str, int],
    rotates: bool,
) -> int:
    """Returns this holder's part of its own grant and the free grant, divided anew.

    If the parts cannot be equal, the first holders in the order get one slot more. A
    holder whose turn is over is therefore the last in the order.
    """
    requesters = _cyclic_order(requests, record.last_served)
    own_id = holder.member_id
    order = [*requesters, own_id] if rotates else [own_id, *requesters]
    slots_to_divide = held_by(record, own_id) + free_grant(record)
    division = _divide(
        grants_of_requesters | {own_id: 0},
        requests | {own_id: holder.wanted},
        slots_to_divide,
        order,
    )
    return division.grants_by_member[own_id] + division.free


def transfer(
    record: GrantRecord, updated: GrantRecord, holder: Holder, target: int, band: int
) -> GrantRecord | None:
    """Returns the record to write by compare-and-swap, or None if nothing changes.

    `updated` is the record with the current limit. The holder takes free grant,
    requests what is still missing, gives unused grant to holders with open requests,
    and evens out its grant with theirs. While the grants exceed the limit, it only
    gives up grant that it does not use.
    """
    held = held_by(updated, holder.member_id)
    excess = excess_of(updated)
    if excess > 0:
        retained = max(min(held, holder.running), held - excess)
        changed = with_grant(updated, holder.member_id, retained, holder.wanted)
    else:
        retained = min(held, max(holder.running, target))
        is_small_need = held < holder.wanted <= held + band
        wanted = held if is_small_need else holder.wanted
        changed = _redistribute(updated, holder, retained, wanted)
    return None if _is_unchanged_for(holder.member_id, record, changed) else changed


def _redistribute(
    record: GrantRecord, holder: Holder, retained: int, wanted: int
) -> GrantRecord:
    """Divides free and given-up grant among all holders with open requests.

    This holder is included if it gives up nothing.
    """
    own_id = holder.member_id
    held = held_by(record, own_id)
    requests = open_requests(record, own_id, holder.live_members)
    grants = {member: held_by(record, member) for member in requests} | {
        own_id: retained
    }
    if retained == held:
        requests[own_id] = max(0, wanted - retained)
    order = _cyclic_order(requests, record.last_served)
    division = _divide(grants, requests, free_grant(record) + held - retained, order)
    return _with_division(record, own_id, wanted, division)


def _with_division(
    record: GrantRecord, member_id: str, wanted: int, division: _Division
) -> GrantRecord:
    own = division.grants_by_member[member_id]
    grants = record.grants_by_member | division.grants_by_member
    requests = record.requests_by_member | division.requests_by_member
    requests[member_id] = request_of(record, member_id, own, wanted)
    return replace(
        record,
        grants_by_member=positive_counts(grants),
        requests_by_member=positive_counts(requests),
        last_served=division.last_served or record.last_served,
    )


def _divide(
    grants: dict[str, int], requests: dict[str, int], free: int, order: list[str]
) -> _Division:
    """Divides `free` slots by raising the lowest grants first; ties go by `order`.

    All lowest grants are raised together in one step rather than slot by slot, since
    limits can be as high as a million.
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
    return _Division(grants, {m: left.get(m, 0) for m in requests}, free, last_served)


def _is_unchanged_for(member_id: str, old: GrantRecord, new: GrantRecord) -> bool:
    """Returns whether a write would change nothing for this holder.

    A change only for other holders needs no write, since they take free grant
    themselves.
    """
    return (
        held_by(old, member_id) == held_by(new, member_id)
        and old.requests_by_member.get(member_id, 0)
        == new.requests_by_member.get(member_id, 0)
        and old.limit_version == new.limit_version
    )


def _cyclic_order(members: Iterable[str], after: str) -> list[str]:
    return sorted(members, key=lambda member: (member <= after, member))
