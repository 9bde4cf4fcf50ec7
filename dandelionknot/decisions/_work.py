"""Accepted asynchronous work: which segments to write, read back and delete.

A request is kept once a segment with it is known to be on the platform. Requests
of one slice that wait are written together; one write or deletion is in flight at
a time, and a segment is never written again. Design section 5.7.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.decisions._slices import slice_of
from dandelionknot.messages import ErrorCode, KeptRequest, WorkSegment

# The platform accepts about 300 writes a second; claims have 240 of them.
WORK_WRITES_PER_SECOND = 40

# A value may have 1 MB; a quarter keeps a write and the list at a take-over short.
MAX_SEGMENT_BYTES = 256 * 1024

# The braces and the field name around the requests of a segment.
SEGMENT_OVERHEAD_BYTES = 64

MAX_UNFINISHED = 2000
WRITE_TIMEOUT_MS = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkWrite:
    """A segment to write under a key that does not exist yet."""

    key: str
    segment: WorkSegment


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRead:
    """A key to read back, because a write to it gave no answer."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkDeletion:
    """A segment to delete at the revision at which it was written."""

    key: str
    expected_revision: int


WorkCall = WorkWrite | WorkRead | WorkDeletion


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request that is not kept yet, and its size as JSON."""

    kept: KeptRequest
    size_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSegment:
    """A segment on the platform; revision 0 means that it must be read back."""

    revision: int
    request_ids: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class WorkState:
    """The work segments of one entry host.

    `unfinished_ids` are the requests that are kept, or wait to be, and have not
    ended. `held_back_ids` are kept requests that are not in a queue, since the
    queue is full or their slice may be leaving. `map_epoch` is that of the slice
    map up to which requests of other owners were dropped.
    """

    flush_interval_ms: int
    max_unfinished: int = MAX_UNFINISHED
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    call: WorkCall | None = None
    is_overdue: bool = False
    sent_ms: int = 0
    next_call_ms: int = 0
    deleted_last: bool = False
    segments_by_key: dict[str, HeldSegment] = field(default_factory=dict)
    deletable_keys: dict[str, None] = field(default_factory=dict)
    unfinished_ids: set[str] = field(default_factory=set)
    held_back_ids: dict[str, None] = field(default_factory=dict)
    map_epoch: int = 0


def flush_interval_ms(work_flush_ms: int, member_count: int) -> int:
    """Returns the least time between two writes or deletions of one entry host."""
    shared_ms = -(-member_count * 1000 // WORK_WRITES_PER_SECOND)
    return max(work_flush_ms, shared_ms)


def offer(
    work: WorkState, kept: KeptRequest, size_bytes: int
) -> Result[None, ErrorCode]:
    """Takes a request that is to be kept, or tells why it cannot be."""
    if size_bytes + SEGMENT_OVERHEAD_BYTES > MAX_SEGMENT_BYTES:
        return Err(ErrorCode.WORK_TOO_LARGE)
    if len(work.unfinished_ids) >= work.max_unfinished:
        return Err(ErrorCode.QUEUE_FULL)
    work.unfinished_ids.add(kept.request.request_id)
    work.waiting.append(WaitingRequest(kept=kept, size_bytes=size_bytes))
    return Ok(None)


def next_call(work: WorkState, now_ms: int) -> WorkCall | None:
    """Returns the next platform call, if one is due.

    Writes and deletions take turns when both wait. A read back costs no write,
    but it waits like one, so that an outage brings no burst of calls.
    """
    if work.call is not None or now_ms < work.next_call_ms:
        return None
    work.call = _choose(work)
    if work.call is None:
        return None
    work.deleted_last = isinstance(work.call, WorkDeletion)
    work.is_overdue = False
    work.sent_ms = now_ms
    work.next_call_ms = now_ms + work.flush_interval_ms
    return work.call


def _choose(work: WorkState) -> WorkCall | None:
    if work.waiting and (work.deleted_last or not work.deletable_keys):
        return _next_write(work)
    for key in work.deletable_keys:
        held = work.segments_by_key[key]
        if held.revision:
            return WorkDeletion(key=key, expected_revision=held.revision)
        return WorkRead(key=key)
    return _next_write(work) if work.waiting else None


def _next_write(work: WorkState) -> WorkWrite:
    """Takes the requests that share the slice of the one that waits longest."""
    first_id = work.waiting[0].kept.request.request_id
    index = slice_of(first_id)
    room_bytes = MAX_SEGMENT_BYTES - SEGMENT_OVERHEAD_BYTES
    taken: list[KeptRequest] = []
    left: deque[WaitingRequest] = deque()
    for item in work.waiting:
        one_bytes = item.size_bytes + 1  # with the comma
        if slice_of(item.kept.request.request_id) == index and (
            not taken or one_bytes <= room_bytes
        ):
            taken.append(item.kept)
            room_bytes -= one_bytes
        else:
            left.append(item)
    work.waiting = left
    return WorkWrite(
        key=f'work/{index}/{first_id}', segment=WorkSegment(requests=taken)
    )


def write_overdue(work: WorkState, now_ms: int) -> tuple[KeptRequest, ...]:
    """Returns the requests whose write has had no answer for too long, once."""
    call = work.call
    if not isinstance(call, WorkWrite) or work.is_overdue:
        return ()
    if now_ms - work.sent_ms < WRITE_TIMEOUT_MS:
        return ()
    work.is_overdue = True
    return tuple(call.segment.requests)


def write_answered(
    work: WorkState, key: str, revision: int | None
) -> tuple[KeptRequest, ...]:
    """Notes how a write ended and returns the requests that are still open.

    Without a revision it is not known whether the write took effect; the
    segment is then read back once its requests have ended. Nothing is returned
    if `write_overdue` returned the requests before.
    """
    call = work.call
    if not isinstance(call, WorkWrite) or call.key != key:
        return ()
    work.call = None
    requests = tuple(call.segment.requests)
    request_ids = tuple(each.request.request_id for each in requests)
    hold_segment(work, key, revision or 0, request_ids)
    return () if work.is_overdue else requests


def hold_segment(
    work: WorkState, key: str, revision: int, request_ids: tuple[str, ...]
) -> None:
    """Notes a segment that this host deletes later; revision 0 if it may be absent."""
    work.segments_by_key[key] = HeldSegment(revision=revision, request_ids=request_ids)


def read_answered(work: WorkState, key: str, revision: int | None) -> None:
    """Notes what a key holds: None without an answer, 0 if it is absent."""
    if not isinstance(work.call, WorkRead) or work.call.key != key:
        return
    work.call = None
    held = work.segments_by_key.get(key)
    if revision is None or held is None:
        return
    if revision == 0:
        _drop_segment(work, key)
    else:
        hold_segment(work, key, revision, held.request_ids)


def deletion_answered(work: WorkState, key: str, *, is_settled: bool) -> None:
    """Notes the end of a deletion; one without an answer is made again.

    A conflict settles it too, since nobody else writes the key: an earlier
    deletion took effect.
    """
    if not isinstance(work.call, WorkDeletion) or work.call.key != key:
        return
    work.call = None
    if is_settled:
        _drop_segment(work, key)


def _drop_segment(work: WorkState, key: str) -> None:
    work.segments_by_key.pop(key, None)
    work.deletable_keys.pop(key, None)


def find_deletable(work: WorkState, is_known: Callable[[str], bool]) -> None:
    """Marks the segments none of whose requests is in the request table."""
    for key, held in work.segments_by_key.items():
        if not any(map(is_known, held.request_ids)):
            work.deletable_keys[key] = None


def retain_slices(work: WorkState, owned_slices: Collection[int]) -> None:
    """Leaves the segments of slices that are not owned to their next owner."""
    for key in list(work.segments_by_key):
        if int(key.split('/')[1]) not in owned_slices:
            _drop_segment(work, key)


def is_past_retention(
    kept: KeptRequest, now_unix_ms: int, request_id_max_age_ms: int
) -> bool:
    """Tells whether a request of a former owner ended too long ago to be told of."""
    return kept.deadline_unix_ms + request_id_max_age_ms < now_unix_ms


def ended(work: WorkState, request_id: str) -> None:
    """Notes that a request has ended or has gone to another owner."""
    work.unfinished_ids.discard(request_id)
    work.held_back_ids.pop(request_id, None)
