"""State of the claims that an entry host has for the slices that it owns."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from dandelionknot.configuration import FleetBounds
from dandelionknot.decisions._slices import (
    request_time_ms,
    slice_of,
)
from dandelionknot.messages import (
    AnswerBody,
    Claim,
    ClaimSegment,
    RequestPhase,
    RunState,
    SliceMap,
)

# Requests in a table. An answered entry takes about 720 bytes, so the table stays
# below 44 MB.
MAX_ENTRIES = 60_000

# Results in memory. Beyond it the results that were recorded first are evicted.
MAX_RESULT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskPlace:
    """A task that may have started and the host to ask about it."""

    task_id: str
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NewClaim:
    """The request id is new; the request may be queued and run."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Repeated:
    """A resend of a known request, with its answer or its open tasks.

    A finished request whose result was evicted to save memory has an answer
    without a result. The backend server still has the result under the task id.
    """

    request_id: str
    answer: AnswerBody | None
    tasks: tuple[TaskPlace, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReusedId:
    """The request id was used before with another body or by another team."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InDoubt:
    """An earlier owner may have run the request.

    The hosts of `tasks` know whether the request ran. If `is_logged` is false, no
    claim of the request was found, so no host can be asked, and the answer is
    "unknown" until the id is too old.
    """

    request_id: str
    tasks: tuple[TaskPlace, ...]
    is_logged: bool


class StartBlock(StrEnum):
    """Reason why a start must not be sent now."""

    NOT_OWNER = 'not_owner'
    OWNERSHIP_LAPSED = 'ownership_lapsed'
    NO_ATTEMPT = 'no_attempt'
    ALREADY_SENT = 'already_sent'
    CLAIM_NOT_WRITTEN = 'claim_not_written'


@dataclass(frozen=True, slots=True, kw_only=True)
class OutageView:
    """Ages of the members' last platform contact, from the last full round.

    `peer_ages_ms` are the ages that the other recorded members reported, with
    None for no contact since their start. `asked_ms` is when the oldest question
    of the round was sent.
    """

    own_age_ms: int
    peer_ages_ms: tuple[int | None, ...]
    asked_ms: int


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One start of a request on a host.

    `is_logged` means that its claim is on the platform, and `is_sent` that the
    start may have been sent.
    """

    task_id: str
    host_id: str
    is_logged: bool = False
    is_sent: bool = False


@dataclass(slots=True, kw_only=True)
class ClaimEntry:
    """A request of an owned slice.

    `is_async` means that no start or closing takes effect before its claim is on the
    platform, `is_kept` that the request is stored on the platform, and
    `is_inherited` that another owner may have started it. `is_closing_logged` means
    that the closing of the request, a claim without a task that forbids any later
    start, is on the platform. `not_run_is_final` means that the caller may have
    received "not run".
    """

    request_id: str
    team: str
    body_digest: str
    idempotent: bool
    is_async: bool = False
    is_kept: bool = False
    keep_until_ms: int = 0
    is_inherited: bool = False
    answer: AnswerBody | None = None
    is_closing_logged: bool = False
    not_run_is_final: bool = False
    attempts_by_task: dict[str, Attempt] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentWrite:
    """A segment to write with compare-and-swap; revision 0 means an absent key."""

    key: str
    expected_revision: int
    segment: ClaimSegment


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentRead:
    """A key to read back, since it is not known whether a write took effect."""

    key: str


class WritePhase(StrEnum):
    """State of the segment write; there is at most one at a time."""

    IDLE = 'idle'
    WRITING = 'writing'
    MUST_READ = 'must_read'
    MUST_WRITE = 'must_write'


@dataclass(slots=True, kw_only=True)
class SegmentLog:
    """The claim log of one member incarnation.

    `key`, `revision` and `claims` describe the open segment, to which claims are
    added. `closed` is a heap of (newest time, key, revision) of full segments.
    """

    phase: WritePhase = WritePhase.IDLE
    write: SegmentWrite | None = None
    last_call_ms: int = 0
    next_call_ms: int = 0
    key: str = ''
    revision: int = 0
    claims: list[Claim] = field(default_factory=list)
    unwritten: deque[Claim] = field(default_factory=deque)
    closed: list[tuple[int, str, int]] = field(default_factory=list)
    segment_count: int = 0


@dataclass(slots=True, kw_only=True)
class ClaimTable:
    """The claims of one entry host for the slices that it owns.

    `known_as_of_ms` is the monotonic time at which this host was last known to be
    fresh. `unlogged_claims` holds the claims and closings that took effect while
    they were only in memory. `closing_slices` are the owned slices that accept no new
    requests, since they are being handed over to another member.
    """

    member_id: str
    incarnation: str
    bounds: FleetBounds
    flush_interval_ms: int
    max_entries: int = MAX_ENTRIES
    max_result_bytes: int = MAX_RESULT_BYTES
    known_as_of_ms: int | None = None
    slice_map: SliceMap | None = None
    map_epoch: int = 0
    owned_slices: set[int] = field(default_factory=set)
    closing_slices: set[int] = field(default_factory=set)
    doubt_until_by_slice: dict[int, int] = field(default_factory=dict)
    entries_by_id: dict[str, ClaimEntry] = field(default_factory=dict)
    ids_by_age: list[str] = field(default_factory=list)
    forgotten_until_ms: int = 0
    unlogged_claims: set[Claim] = field(default_factory=set)
    answered_ids: deque[str] = field(default_factory=deque)
    result_bytes: int = 0
    log: SegmentLog = field(default_factory=SegmentLog)


ClaimOutcome = NewClaim | Repeated | ReusedId | InDoubt


def has_ownership_expired(table: ClaimTable, now_ms: int) -> bool:
    """Returns whether this host was last known to be fresh too long ago."""
    if table.known_as_of_ms is None:
        return True
    return now_ms - table.known_as_of_ms >= table.bounds.freshness_bound_ms


def is_in_doubt(table: ClaimTable, request_id: str) -> bool:
    """Returns whether the claim log may lack claims for a request id."""
    until_ms = table.doubt_until_by_slice.get(slice_of(request_id), 0)
    return request_time_ms(request_id) <= until_ms


def add_entry(table: ClaimTable, entry: ClaimEntry) -> None:
    table.entries_by_id[entry.request_id] = entry
    heapq.heappush(table.ids_by_age, entry.request_id)


def task_places(entry: ClaimEntry) -> tuple[TaskPlace, ...]:
    return tuple(
        TaskPlace(task_id=attempt.task_id, host_id=attempt.host_id)
        for attempt in entry.attempts_by_task.values()
    )


def needs_claim(entry: ClaimEntry) -> bool:
    return entry.is_async or not entry.idempotent


def has_not_started(entry: ClaimEntry) -> bool:
    """Returns whether a request is stored and was neither started nor answered.

    The next owner of its slice reads it from the platform and runs it.
    """
    return entry.is_kept and entry.answer is None and not entry.attempts_by_task


def is_closed(entry: ClaimEntry) -> bool:
    if not needs_claim(entry) or entry.answer is None:
        return False
    return entry.answer.run_state is RunState.NOT_RUN


def is_answer_final(entry: ClaimEntry) -> bool:
    return entry.answer is not None and (entry.not_run_is_final or not is_closed(entry))


def claim_record(entry: ClaimEntry, task_id: str, host_id: str) -> Claim:
    return Claim(
        request_id=entry.request_id,
        team=entry.team,
        body_digest=entry.body_digest,
        task_id=task_id,
        host_id=host_id,
        keep_until_ms=entry.keep_until_ms,
    )


def set_not_run_answer(entry: ClaimEntry) -> None:
    """Sets the answer "not run".

    `may_answer` does not let a host that has lost the slice send this answer.
    """
    entry.answer = AnswerBody(
        request_id=entry.request_id,
        phase=RequestPhase.REFUSED,
        run_state=RunState.NOT_RUN,
    )


def drop_entry(table: ClaimTable, entry: ClaimEntry) -> None:
    del table.entries_by_id[entry.request_id]
    if entry.answer is not None:
        table.result_bytes -= len(entry.answer.result or '')
