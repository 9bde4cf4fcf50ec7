"""Request ids, and the slice map that assigns each id to one entry host.

Times named `unix_ms` are wall-clock readings. The clocks of entry hosts are
assumed to differ by at most `MAX_CLOCK_SKEW_MS`.
"""

import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import SliceMap

SLICE_COUNT = 64
# A request id may be this far ahead of the wall clock.
MAX_FUTURE_MS = 60_000
# Synchronised clocks differ by milliseconds. 10 s also covers a host that has just
# started and whose clock is still being corrected.
MAX_CLOCK_SKEW_MS = 10_000
# Random bytes in a request id.
RANDOM_BYTES = 10


def new_request_id(now_unix_ms: int, random_bytes: bytes) -> str:
    """Returns a UUIDv7 built from a Unix time and ten random bytes."""
    if len(random_bytes) != RANDOM_BYTES:
        raise ValueError(f'a request id needs exactly {RANDOM_BYTES} random bytes')
    random = int.from_bytes(random_bytes)
    version = 0x7000 | (random >> 62) & 0x0FFF
    variant = 0x8000000000000000 | random & 0x3FFFFFFFFFFFFFFF
    digits = f'{now_unix_ms & 0xFFFFFFFFFFFF:012x}{version:04x}{variant:016x}'
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return '-'.join(parts)


def request_time_ms(request_id: str) -> int:
    """Returns the Unix time in a request id, whose format the schema has checked."""
    return int(request_id[:8] + request_id[9:13], 16)


def is_too_old(request_id: str, now_unix_ms: int, max_age_ms: int) -> bool:
    """Returns whether an id may have been evicted, so that it must not run."""
    return request_time_ms(request_id) < now_unix_ms - max_age_ms


def is_in_future(request_id: str, now_unix_ms: int) -> bool:
    """Returns whether an id is too far in the future and would be evicted too late."""
    return request_time_ms(request_id) > now_unix_ms + MAX_FUTURE_MS


def slice_of(request_id: str) -> int:
    """Returns the slice of an id, 0 to 63.

    The whole id is hashed, since callers may use poor random numbers.
    """
    return zlib.crc32(request_id.encode()) % SLICE_COUNT


def owner_of(slice_map: SliceMap, request_id: str) -> str:
    """Returns the member that owns a request id."""
    return slice_map.owners[slice_of(request_id)]


def assign_slices(members: Collection[str], current: SliceMap | None) -> SliceMap:
    """Returns a balanced map over the members that moves as few slices as possible.

    Slice counts of members differ by at most one. Without members the current map
    is returned. The map is a goal: `permitted_map` omits the moves of slices whose
    former owner may still start requests.
    """
    owners = list(current.owners) if current else [''] * SLICE_COUNT
    if not members:
        return current or SliceMap(owners=owners)
    room_by_member = _target_counts(members, owners)
    free = []
    for index, owner in enumerate(owners):
        if room_by_member.get(owner, 0) > 0:
            room_by_member[owner] -= 1
        else:
            free.append(index)
    receivers = [
        member for member in sorted(members) for _ in range(room_by_member[member])
    ]
    for index, member in zip(free, receivers, strict=True):
        owners[index] = member
    return _changed_map(current, owners)


def _target_counts(members: Collection[str], owners: list[str]) -> dict[str, int]:
    base, extra = divmod(SLICE_COUNT, len(set(members)))
    # Members with many slices get the extra ones, so that fewer slices move.
    by_slice_count = sorted(
        set(members), key=lambda member: (-owners.count(member), member)
    )
    return {member: base + (rank < extra) for rank, member in enumerate(by_slice_count)}


def _changed_map(current: SliceMap | None, owners: list[str]) -> SliceMap:
    if current is None:
        return SliceMap(owners=owners, epoch=1)
    if owners == current.owners:
        return current
    return replace(current, owners=owners, epoch=current.epoch + 1)


def permitted_map(
    current: SliceMap, goal: SliceMap, may_take: Callable[[int, str], bool]
) -> SliceMap:
    """Returns the goal without the moves that `may_take(slice, owner)` rejects."""
    owners = [
        after if before == after or not before or may_take(index, before) else before
        for index, (before, after) in enumerate(
            zip(current.owners, goal.owners, strict=True)
        )
    ]
    return _changed_map(current, owners)


@dataclass(frozen=True, slots=True, kw_only=True)
class FormerOwner:
    """What an observer knows about the owner from which a slice is to be taken.

    `witness_*` describe a member that confirmed `witness_version`, a version that
    excludes the owner. The observer learned this at `witness_learned_ms` of its
    monotonic clock. A newer version that does not exclude the owner is no proof: an
    owner that receives it from a peer is fresh again and continues to start
    requests. `released` means that the owner itself released the slice, and
    `gone_ms` is when the observer learned that operators declared the owner gone.
    """

    confirmed_version: int
    members_revision: int
    released: bool = False
    gone_ms: int | None = None
    witness_version: int = 0
    witness_joined_revision: int = 0
    witness_learned_ms: int | None = None


def stop_proof_ms(bounds: FleetBounds) -> int:
    """Returns for how long starts of a member can arrive after it lost freshness."""
    return bounds.freshness_bound_ms + bounds.start_token_ms + bounds.drift_margin_ms


def may_take_slice(former: FormerOwner, bounds: FleetBounds, now_ms: int) -> bool:
    """Returns whether the former owner has provably stopped starting requests.

    A witness counts only if the former owner has it in its member list and has not
    confirmed the version itself. Otherwise the former owner can still complete full
    rounds without receiving that version.
    """
    if former.released:
        return True
    proof_ms = stop_proof_ms(bounds)
    if former.gone_ms is not None and now_ms - former.gone_ms > proof_ms:
        return True
    if former.witness_learned_ms is None:
        return False
    is_witness = (
        former.witness_version > former.confirmed_version
        and former.witness_joined_revision <= former.members_revision
    )
    return is_witness and now_ms - former.witness_learned_ms > proof_ms


def trusts_claim_log(
    *,
    member_since_ms: int,
    renewal_after_ms: int,
    longest_gap_ms: int,
    bounds: FleetBounds,
) -> bool:
    """Returns whether a new owner knows that the former owner's log is complete.

    `renewal_after_ms` is a local time that is certainly before the former owner's
    last renewal. `longest_gap_ms` is the longest time between two answered platform
    reads of the new owner, measured from the sending of one to the sending of the
    next, of all gaps that end after that time. A gap that is longer than the
    freshness bound means that the former owner may have started requests whose
    claims were only in memory.
    """
    return (
        member_since_ms < renewal_after_ms
        and longest_gap_ms <= bounds.freshness_bound_ms
    )


def doubt_until_ms(now_unix_ms: int) -> int:
    """Returns the latest id time that a former owner may have accepted by now."""
    return now_unix_ms + MAX_FUTURE_MS + MAX_CLOCK_SKEW_MS


def mark_in_doubt(
    slice_map: SliceMap, slices: Collection[int], now_unix_ms: int
) -> SliceMap:
    """Returns a map that marks slices taken over without a trusted log as in doubt.

    The mark is written together with the new owner in one compare-and-swap. If it
    were only in memory, the next owner would trust the log of an owner that did not
    trust its predecessor.
    """
    doubts = dict(slice_map.doubt_until_by_slice)
    doubts |= {str(index): doubt_until_ms(now_unix_ms) for index in slices}
    return replace(slice_map, doubt_until_by_slice=doubts)
