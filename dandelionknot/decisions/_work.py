"""Storage of asynchronous requests: which segments to write, read back and delete.

A request counts as stored once a segment with it is known to be on the platform.
Waiting requests of one slice are written together. One call is in flight at a
time, and a segment is never rewritten. Design section 5.7.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.decisions._slices import slice_of
from dandelionknot.messages import ErrorCode, KeptRequest, WorkSegment

# Writes and deletions of all members together. The platform accepts about 300
# writes a second, of which the claim log may use 240.
WORK_WRITES_PER_SECOND = 40

# The platform accepts values of up to 1 MB. A quarter of it keeps a write and the
# listing at a take-over short.
MAX_SEGMENT_BYTES = 256 * 1024

# Size of the braces and the field name around the requests of a segment.
SEGMENT_OVERHEAD_BYTES = 64

# Maximum number of requests of one entry host that are stored or wait to be stored and
# have not ended.
MAX_UNFINISHED = 2000

# A write without an answer for this long is reported as overdue.
WRITE_TIMEOUT_MS = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkWrite:
    """A segment to write under a key that does not exist yet."""

    key: str
    segment: WorkSegment


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRead:
    """A key to read back, since a write to it got no answer."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkDeletion:
    """A segment to delete at the revision at which it was written."""

    key: str
    expected_revision: int


WorkCall = WorkWrite | WorkRead | WorkDeletion


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request that is not stored yet, and its size as JSON."""

    kept: KeptRequest
    size_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredSegment:
    """A segment on the platform; revision 0 means that its key must be read back."""

    revision: int
    request_ids: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class WorkState:
    """The segments of asynchronous requests of one entry host.

    `unfinished_ids` are the requests that are stored or wait to be stored and have
    not ended. `held_back_ids` are stored requests that are not in a queue, since
    the queue is full or their slice may change owner. `map_epoch` is the epoch of
    the slice map up to which requests of other owners were dropped.
    """

    flush_interval_ms: int
    max_unfinished: int = MAX_UNFINISHED
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    call: WorkCall | None = None
    is_overdue: bool = False
    sent_ms: int = 0
    next_call_ms: int = 0
    last_call_deleted: bool = False
    segments_by_key: dict[str, StoredSegment] = field(default_factory=dict)
    deletable_keys: dict[str, None] = field(default_factory=dict)
    unfinished_ids: set[str] = field(default_factory=set)
    held_back_ids: dict[str, None] = field(default_factory=dict)
    map_epoch: int = 0


def flush_interval_ms(work_flush_ms: int, member_count: int) -> int:
    """Returns the minimum time between two calls of one entry host."""
    shared_ms = -(-member_count * 1000 // WORK_WRITES_PER_SECOND)
    return max(work_flush_ms, shared_ms)


def offer(
    work: WorkState, kept: KeptRequest, size_bytes: int
) -> Result[None, ErrorCode]:
    """Queues a request to be stored, or returns why it cannot be."""
    if size_bytes + SEGMENT_OVERHEAD_BYTES > MAX_SEGMENT_BYTES:
        return Err(ErrorCode.WORK_TOO_LARGE)
    if len(work.unfinished_ids) >= work.max_unfinished:
        return Err(ErrorCode.QUEUE_FULL)
    work.unfinished_ids.add(kept.request.request_id)
    work.waiting.append(WaitingRequest(kept=kept, size_bytes=size_bytes))
    return Ok(None)


def next_call(work: WorkState, now_ms: int) -> WorkCall | None:
    """Returns the next platform call, if one is due.

    Writes and deletions alternate when both are waiting. A read back is not a
    write, but is delayed like one, so that an outage causes no burst of calls.
    """
    if work.call is not None or now_ms < work.next_call_ms:
        return None
    work.call = _choose_call(work)
    if work.call is None:
        return None
    work.last_call_deleted = isinstance(work.call, WorkDeletion)
    work.is_overdue = False
    work.sent_ms = now_ms
    work.next_call_ms = now_ms + work.flush_interval_ms
    return work.call


def _choose_call(work: WorkState) -> WorkCall | None:
    if work.waiting and (work.last_call_deleted or not work.deletable_keys):
        return _next_write(work)
    for key in work.deletable_keys:
        stored = work.segments_by_key[key]
        if stored.revision:
            return WorkDeletion(key=key, expected_revision=stored.revision)
        return WorkRead(key=key)
    return _next_write(work) if work.waiting else None


def _next_write(work: WorkState) -> WorkWrite:
    """Returns a write of waiting requests that share the slice of the oldest one.

    The requests leave the waiting list; those that do not fit stay in it.
    """
    first_id = work.waiting[0].kept.request.request_id
    index = slice_of(first_id)
    room_bytes = MAX_SEGMENT_BYTES - SEGMENT_OVERHEAD_BYTES
    taken: list[KeptRequest] = []
    left: deque[WaitingRequest] = deque()
    for item in work.waiting:
        item_bytes = item.size_bytes + 1  # with the comma
        if slice_of(item.kept.request.request_id) == index and (
            not taken or item_bytes <= room_bytes
        ):
            taken.append(item.kept)
            room_bytes -= item_bytes
        else:
            left.append(item)
    work.waiting = left
    return WorkWrite(
        key=f'work/{index}/{first_id}', segment=WorkSegment(requests=taken)
    )


def write_overdue(work: WorkState, now_ms: int) -> tuple[KeptRequest, ...]:
    """Returns the requests of a write that got no answer within the time-out, once."""
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
    """Records the end of a write and returns its requests.

    Without a revision it is not known whether the write took effect. The segment is
    then read back once its requests have ended. Nothing is returned if
    `write_overdue` has already returned the requests.
    """
    call = work.call
    if not isinstance(call, WorkWrite) or call.key != key:
        return ()
    work.call = None
    requests = tuple(call.segment.requests)
    request_ids = tuple(each.request.request_id for each in requests)
    record_segment(work, key, revision or 0, request_ids)
    return () if work.is_overdue else requests


def record_segment(
    work: WorkState, key: str, revision: int, request_ids: tuple[str, ...]
) -> None:
    """Records a segment to be deleted later; revision 0 if it may be absent."""
    work.segments_by_key[key] = StoredSegment(
        revision=revision, request_ids=request_ids
    )


def read_answered(work: WorkState, key: str, revision: int | None) -> None:
    """Records the revision of a key: None without an answer, 0 if it is absent."""
    if not isinstance(work.call, WorkRead) or work.call.key != key:
        return
    work.call = None
    stored = work.segments_by_key.get(key)
    if revision is None or stored is None:
        return
    if revision == 0:
        _drop_segment(work, key)
    else:
        record_segment(work, key, revision, stored.request_ids)


def deletion_answered(work: WorkState, key: str, *, is_resolved: bool) -> None:
    """Records the end of a deletion; one without an answer is repeated.

    A conflict also counts as resolved: no other host writes the key, so an earlier
    deletion took effect.
    """
    if not isinstance(work.call, WorkDeletion) or work.call.key != key:
        return
    work.call = None
    if is_resolved:
        _drop_segment(work, key)


def _drop_segment(work: WorkState, key: str) -> None:
    work.segments_by_key.pop(key, None)
    work.deletable_keys.pop(key, None)


def find_deletable(work: WorkState, is_known: Callable[[str], bool]) -> None:
    """Marks the segments none of whose requests is in the request table."""
    for key, stored in work.segments_by_key.items():
        if not any(map(is_known, stored.request_ids)):
            work.deletable_keys[key] = None


def retain_slices(work: WorkState, owned_slices: Collection[int]) -> None:
    """Drops the segments of slices that are not owned; their owners delete them."""
    for key in list(work.segments_by_key):
        if int(key.split('/')[1]) not in owned_slices:
            _drop_segment(work, key)


def is_past_retention(
    kept: KeptRequest, now_unix_ms: int, request_id_max_age_ms: int
) -> bool:
    """Returns whether a request of a former owner is too old to be answered.

    The answer can be fetched for `request_id_max_age_ms` after the deadline.
    """
    return kept.deadline_unix_ms + request_id_max_age_ms < now_unix_ms


def ended(work: WorkState, request_id: str) -> None:
    """Records that a request has ended or has been taken over by another owner."""
    work.unfinished_ids.discard(request_id)
    work.held_back_ids.pop(request_id, None)
