"""At most once: the claims of an entry host for the request ids that it owns.

A claim names the task and the host of a start that may have been sent. It is
written to the platform before the start, so that the next owner of the slice
asks that host and does not run the request again. Design section 5.4.
"""

import hashlib
import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot._slices import (
    MAX_CLOCK_SKEW_MS,
    MAX_FUTURE_MS,
    SLICE_COUNT,
    FormerOwner,
    assign_slices,
    doubt_until_ms,
    is_in_future,
    is_too_old,
    may_take_slice,
    new_request_id,
    owner_of,
    permitted_map,
    request_time_ms,
    slice_of,
    trusts_claim_log,
    with_doubts,
)
from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import (
    AnswerBody,
    Claim,
    ClaimSegment,
    ErrorCode,
    Refusal,
    RequestBody,
    RequestPhase,
    RunState,
    SliceMap,
)

__all__ = [
    'MAX_CLOCK_SKEW_MS',
    'MAX_FUTURE_MS',
    'SLICE_COUNT',
    'ClaimEntry',
    'ClaimTable',
    'FormerOwner',
    'InDoubt',
    'NewClaim',
    'OutageView',
    'Repeated',
    'ReusedId',
    'SegmentRead',
    'SegmentWrite',
    'StartBlock',
    'TaskPlace',
    'assign_slices',
    'attempt_not_run',
    'begin_release',
    'body_digest',
    'cancel_release',
    'claim',
    'deletable_segments',
    'doubt_until_ms',
    'finish',
    'flush_interval_ms',
    'forget_old',
    'gained_slices',
    'is_in_future',
    'is_too_old',
    'may_answer',
    'may_release_slice',
    'may_renew_membership',
    'may_send_start',
    'may_take_slice',
    'new_request_id',
    'owner_of',
    'pending_segment',
    'permitted_map',
    'record_start',
    'renew_ownership',
    'renounce',
    'request_time_ms',
    'segment_conflict',
    'segment_failed',
    'segment_read',
    'segment_written',
    'slice_of',
    'take_over',
    'trusts_claim_log',
    'with_doubts',
]

# The platform accepts about 300 writes a second; the rest is left for grants,
# leases, member records and the configuration.
CLAIM_WRITES_PER_SECOND = 240
# Without it a request that comes alone waits half an interval on average.
BURST_WINDOW_MS = 200
# A segment is rewritten with each flush until it holds this many claims. Larger
# segments mean fewer keys to list at a take-over and more bytes per write.
SEGMENT_CLAIMS = 32
# A claim takes up to 500 bytes as JSON; a value may have 1 MB.
MAX_CLAIMS_PER_WRITE = 1_500
# An answered entry takes about 720 bytes, so the table stays below 44 MB.
MAX_ENTRIES = 60_000
MAX_RESULT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskPlace:
    """A task that may have started and the host to ask about it."""

    task_id: str
    host_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NewClaim:
    """The request was not seen before and may be queued and run."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Repeated:
    """The same request again: its answer, or the tasks that are still open.

    A finished request whose result was dropped to save memory has an answer
    without a result; the host still has it under the task id.
    """

    request_id: str
    answer: AnswerBody | None
    tasks: tuple[TaskPlace, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReusedId:
    """The id belongs to another body or another team."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InDoubt:
    """An earlier owner may have run the request.

    The hosts of `tasks` can settle it. If `in_log` is false nobody can, and the
    answer is "unknown" until the id is too old.
    """

    request_id: str
    tasks: tuple[TaskPlace, ...]
    in_log: bool


class StartBlock(StrEnum):
    """Why a start must not be sent now."""

    NOT_OWNER = 'not_owner'
    OWNERSHIP_LAPSED = 'ownership_lapsed'
    NO_ATTEMPT = 'no_attempt'
    ALREADY_SENT = 'already_sent'
    CLAIM_NOT_WRITTEN = 'claim_not_written'


@dataclass(frozen=True, slots=True, kw_only=True)
class OutageView:
    """What the last full round showed about the platform.

    `peer_ages_ms` are the platform contact ages that all recorded members
    gave, with None for no contact since their start. `asked_ms` is when the
    oldest question of the round was sent.
    """

    own_age_ms: int
    peer_ages_ms: tuple[int | None, ...]
    asked_ms: int


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One start of a request: where, and how far its claim and start got."""

    task_id: str
    host_id: str
    is_logged: bool = False
    is_sent: bool = False


@dataclass(slots=True, kw_only=True)
class ClaimEntry:
    """A request of an owned slice.

    `not_run_is_final` means that the caller may have been told "not run".
    """

    request_id: str
    team: str
    body_digest: str
    idempotent: bool
    is_inherited: bool = False
    answer: AnswerBody | None = None
    closing_logged: bool = False
    not_run_is_final: bool = False
    attempts_by_task: dict[str, Attempt] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentWrite:
    """A segment to write with compare-and-swap; revision 0 stands for absent."""

    key: str
    expected_revision: int
    segment: ClaimSegment


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentRead:
    """A key to read back, because it is not known whether a write took effect."""

    key: str


class WritePhase(StrEnum):
    """Where the only segment write is."""

    IDLE = 'idle'
    WRITING = 'writing'
    MUST_READ = 'must_read'
    MUST_WRITE = 'must_write'


@dataclass(slots=True, kw_only=True)
class SegmentLog:
    """The log of one member incarnation: the open segment and the closed ones."""

    phase: WritePhase = WritePhase.IDLE
    write: SegmentWrite | None = None
    last_call_ms: int = 0
    next_call_ms: int = 0
    key: str = ''
    revision: int = 0
    claims: list[Claim] = field(default_factory=list)
    unwritten: deque[Claim] = field(default_factory=deque)
    closed: deque[tuple[str, int, int]] = field(default_factory=deque)
    segment_count: int = 0


@dataclass(slots=True, kw_only=True)
class ClaimTable:
    """The claims of one entry host for the slices that it owns.

    `known_as_of_ms` is the monotonic time as of which this host was fresh.
    `unlogged_claims` holds those claims and closings that were acted on while
    they were only in memory.
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


def flush_interval_ms(claim_flush_ms: int, member_count: int) -> int:
    """Returns the least time between two claim writes of one entry host.

    The platform does not grow with the fleet, so a larger fleet writes larger
    groups less often. Each member then makes fewer than 25 writes a second.
    """
    shared_ms = -(-member_count * 1000 // CLAIM_WRITES_PER_SECOND)
    return max(claim_flush_ms, shared_ms)


def body_digest(request: RequestBody) -> str:
    """Returns the SHA-256 of what a request asks for.

    The deadline and the mode are left out, since a resend has less time left
    and may ask for the answer in the other way.
    """
    fields = (
        request.service,
        str(request.idempotent),
        request.priority,
        request.payload,
        str(request.cores),
        str(request.memory_mb),
    )
    digest = hashlib.sha256()
    for text in fields:
        data = text.encode('utf-8', 'surrogatepass')
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.hexdigest()


def claim(
    table: ClaimTable,
    request: RequestBody,
    team: str | None,
    digest: str,
    *,
    now_unix_ms: int,
    now_ms: int,
) -> Result[ClaimOutcome, Refusal]:
    """Decides what a request that reached its slice owner is.

    Every refusal says "unknown": the same id may have been accepted before, by
    this owner or by an earlier one.
    """
    request_id = request.request_id
    entry = table.entries_by_id.get(request_id)
    if entry is not None:
        return Ok(_outcome_of_known(table, entry, team or '', digest, now_ms))
    refusal = _refusal_of_new(table, request_id, now_unix_ms, now_ms)
    if refusal is not None:
        return Err(refusal)
    if not request.idempotent and _is_doubtful(table, request_id):
        return Ok(InDoubt(request_id=request_id, tasks=(), in_log=False))
    _add_entry(
        table,
        ClaimEntry(
            request_id=request_id,
            team=team or '',
            body_digest=digest,
            idempotent=request.idempotent,
        ),
    )
    return Ok(NewClaim(request_id=request_id))


def _outcome_of_known(
    table: ClaimTable, entry: ClaimEntry, team: str, digest: str, now_ms: int
) -> ClaimOutcome:
    if entry.team != team or entry.body_digest != digest:
        return ReusedId(request_id=entry.request_id)
    tasks = _places(entry)
    if entry.is_inherited and entry.answer is None:
        return InDoubt(request_id=entry.request_id, tasks=tasks, in_log=True)
    may_show = may_answer(table, entry.request_id, None, now_ms)
    answer = entry.answer if may_show else None
    return Repeated(request_id=entry.request_id, answer=answer, tasks=tasks)


def _refusal_of_new(
    table: ClaimTable, request_id: str, now_unix_ms: int, now_ms: int
) -> Refusal | None:
    index = slice_of(request_id)
    if index not in table.owned_slices or _has_lapsed(table, now_ms):
        return _refusal(
            request_id,
            ErrorCode.OWNER_UNREACHABLE,
            f'entry host {table.member_id!r} does not own slice {index} now',
        )
    if index in table.closing_slices:
        return _refusal(
            request_id, ErrorCode.OWNER_UNREACHABLE, f'slice {index} changes its owner'
        )
    max_age_ms = table.bounds.request_id_max_age_ms
    is_forgotten = request_time_ms(request_id) <= table.forgotten_until_ms
    if is_forgotten or is_too_old(request_id, now_unix_ms, max_age_ms):
        return _refusal(
            request_id,
            ErrorCode.REQUEST_ID_TOO_OLD,
            f'request id is older than {max_age_ms} ms',
        )
    if is_in_future(request_id, now_unix_ms):
        return _refusal(
            request_id,
            ErrorCode.MALFORMED_REQUEST,
            f'request id is more than {MAX_FUTURE_MS} ms in the future',
        )
    if len(table.entries_by_id) >= table.max_entries:
        return _refusal(
            request_id,
            ErrorCode.QUEUE_FULL,
            f'entry host remembers {table.max_entries} requests; resend with this id',
        )
    return None


def _refusal(request_id: str, code: ErrorCode, message: str) -> Refusal:
    return Refusal(
        code=code, message=message, run_state=RunState.UNKNOWN, request_id=request_id
    )


def _has_lapsed(table: ClaimTable, now_ms: int) -> bool:
    if table.known_as_of_ms is None:
        return True
    return now_ms - table.known_as_of_ms >= table.bounds.freshness_bound_ms


def _is_doubtful(table: ClaimTable, request_id: str) -> bool:
    until_ms = table.doubt_until_by_slice.get(slice_of(request_id), 0)
    return request_time_ms(request_id) <= until_ms


def _add_entry(table: ClaimTable, entry: ClaimEntry) -> None:
    table.entries_by_id[entry.request_id] = entry
    heapq.heappush(table.ids_by_age, entry.request_id)


def _places(entry: ClaimEntry) -> tuple[TaskPlace, ...]:
    return tuple(
        TaskPlace(task_id=attempt.task_id, host_id=attempt.host_id)
        for attempt in entry.attempts_by_task.values()
    )


def _is_closed(entry: ClaimEntry) -> bool:
    if entry.idempotent or entry.answer is None:
        return False
    return entry.answer.run_state is RunState.NOT_RUN


def _is_answer_final(entry: ClaimEntry) -> bool:
    return entry.answer is not None and (
        entry.not_run_is_final or not _is_closed(entry)
    )


def renew_ownership(table: ClaimTable, known_as_of_ms: int, now_ms: int) -> bool:
    """Extends ownership by newer knowledge that this host is fresh.

    Gives false after a lapse: other members may have taken the slices
    meanwhile, and only `take_over` with a slice map read since then restores
    ownership.
    """
    if _has_lapsed(table, now_ms):
        table.owned_slices.clear()
        return False
    table.known_as_of_ms = max(known_as_of_ms, table.known_as_of_ms or 0)
    return True


def renounce(table: ClaimTable) -> None:
    """Gives up all slices, once a configuration says that this member is excluded."""
    table.owned_slices = set()
    table.known_as_of_ms = None
    table.slice_map = None


def record_start(
    table: ClaimTable, request_id: str, task_id: str, host_id: str
) -> Result[None, StartBlock]:
    """Records that a task is about to be started on a host.

    A request that is not idempotent gets a second attempt only after
    `attempt_not_run` settled the first.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or slice_of(request_id) not in table.owned_slices:
        return Err(StartBlock.NOT_OWNER)
    if entry.answer is not None:
        return Err(StartBlock.NO_ATTEMPT)
    if entry.is_inherited or (not entry.idempotent and entry.attempts_by_task):
        return Err(StartBlock.ALREADY_SENT)
    attempt = Attempt(task_id=task_id, host_id=host_id, is_logged=entry.idempotent)
    entry.attempts_by_task[task_id] = attempt
    if not entry.idempotent:
        table.log.unwritten.append(_claim_record(entry, task_id, host_id))
    return Ok(None)


def _claim_record(entry: ClaimEntry, task_id: str, host_id: str) -> Claim:
    return Claim(
        request_id=entry.request_id,
        team=entry.team,
        body_digest=entry.body_digest,
        task_id=task_id,
        host_id=host_id,
    )


def may_send_start(
    table: ClaimTable,
    request_id: str,
    task_id: str,
    outage: OutageView | None,
    now_ms: int,
) -> Result[None, StartBlock]:
    """Permits a start once; call it after the start token was received.

    Without a written claim the start is permitted only in an outage of the
    platform that all members see (`OutageView`).
    """
    if slice_of(request_id) not in table.owned_slices:
        return Err(StartBlock.NOT_OWNER)
    if _has_lapsed(table, now_ms):
        return Err(StartBlock.OWNERSHIP_LAPSED)
    entry = table.entries_by_id.get(request_id)
    attempt = entry.attempts_by_task.get(task_id) if entry else None
    if entry is None or attempt is None:
        return Err(StartBlock.NO_ATTEMPT)
    if attempt.is_sent:
        return Err(StartBlock.ALREADY_SENT)
    if not attempt.is_logged:
        if not may_decide_in_memory(table, outage, now_ms):
            return Err(StartBlock.CLAIM_NOT_WRITTEN)
        table.unlogged_claims.add(_claim_record(entry, task_id, attempt.host_id))
    attempt.is_sent = True
    return Ok(None)


def may_decide_in_memory(
    table: ClaimTable, outage: OutageView | None, now_ms: int
) -> bool:
    """Tells whether no member could trust this host's log afterwards.

    Every member then has a gap in its platform contact that is longer than the
    freshness bound and ends after this host's last renewal, which is what
    `trusts_claim_log` looks for. A full round alone is not enough: another
    member may still reach the platform and later trust the log.
    """
    if outage is None:
        return False
    if now_ms - outage.asked_ms >= table.bounds.freshness_bound_ms:
        return False
    least_ms = table.bounds.freshness_bound_ms + table.bounds.drift_margin_ms
    ages_ms = (outage.own_age_ms, *outage.peer_ages_ms)
    return all(age_ms is None or age_ms > least_ms for age_ms in ages_ms)


def attempt_not_run(table: ClaimTable, request_id: str, task_id: str) -> None:
    """Notes that a task certainly did not run and never will.

    An inherited request whose tasks all did not run is dropped if the log that
    named them is trusted, so that a resend may run it.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None:
        return
    entry.attempts_by_task.pop(task_id, None)
    if not entry.is_inherited or entry.attempts_by_task or entry.answer is not None:
        return
    if _is_doubtful(table, request_id):
        return
    if entry.closing_logged:
        _keep_inherited_closing(entry)
    else:
        _drop_entry(table, entry)


def _keep_inherited_closing(entry: ClaimEntry) -> None:
    """Answers "not run", which `may_answer` holds back from a host that lost the id."""
    entry.answer = AnswerBody(
        request_id=entry.request_id,
        phase=RequestPhase.REFUSED,
        run_state=RunState.NOT_RUN,
    )


def finish(table: ClaimTable, request_id: str, answer: AnswerBody) -> bool:
    """Keeps the final answer of a request; gives false if another one stands.

    Only an "unknown" answer is replaced by a later one. The answer "not run"
    is refused while an attempt is open or another member may own the id, and
    closes the id: a resend that is still on its way must not run the request
    after its caller was told so.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None:
        return False
    if entry.answer is not None and entry.answer.run_state is not RunState.UNKNOWN:
        return False
    if answer.run_state is RunState.NOT_RUN and not _close(table, entry):
        return False
    if entry.answer is not None:
        table.result_bytes -= len(entry.answer.result or '')
    entry.answer = answer
    table.result_bytes += len(answer.result or '')
    table.answered_ids.append(request_id)
    _drop_old_results(table)
    return True


def _close(table: ClaimTable, entry: ClaimEntry) -> bool:
    if slice_of(entry.request_id) not in table.owned_slices:
        return False
    doubtful = entry.is_inherited and _is_doubtful(table, entry.request_id)
    if entry.attempts_by_task or doubtful:
        return False
    if not entry.idempotent:
        table.log.unwritten.append(_claim_record(entry, '', ''))
    return True


def _drop_old_results(table: ClaimTable) -> None:
    while table.result_bytes > table.max_result_bytes and table.answered_ids:
        entry = table.entries_by_id.get(table.answered_ids.popleft())
        if entry is None or entry.answer is None or entry.answer.result is None:
            continue
        table.result_bytes -= len(entry.answer.result)
        entry.answer = AnswerBody(
            request_id=entry.request_id,
            phase=entry.answer.phase,
            run_state=entry.answer.run_state,
            host_id=entry.answer.host_id,
            attempts=entry.answer.attempts,
        )


def may_answer(
    table: ClaimTable, request_id: str, outage: OutageView | None, now_ms: int
) -> bool:
    """Tells whether the final answer may go to the caller.

    "Not run" waits until the closing of the id is written while this host
    still owns the slice, or is decided in memory in an outage that all members
    see. A caller that cannot wait is told "unknown".
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or entry.answer is None:
        return False
    if _is_answer_final(entry):
        return True
    is_owner = slice_of(request_id) in table.owned_slices
    if not is_owner or _has_lapsed(table, now_ms):
        return False
    if not entry.closing_logged:
        if not may_decide_in_memory(table, outage, now_ms):
            return False
        table.unlogged_claims.add(_claim_record(entry, '', ''))
    entry.not_run_is_final = True
    return True


def may_renew_membership(table: ClaimTable) -> bool:
    """Tells whether `alive/<id>` may be renewed.

    A renewal tells other members that the log was complete up to then, so
    everything decided in memory must be written first.
    """
    return not table.unlogged_claims


def pending_segment(
    table: ClaimTable, now_ms: int
) -> SegmentWrite | SegmentRead | None:
    """Returns the next platform call of the claim log, if one is due.

    One call is in flight at a time. Calls are `flush_interval_ms` apart on
    average; after a quiet time, those of `BURST_WINDOW_MS` may be made at once.
    The segment of a failed write is not changed until it is known whether the
    write took effect, so a write that arrives late does no harm.
    """
    log = table.log
    if log.phase is WritePhase.WRITING or now_ms < _next_call_ms(table):
        return None
    if log.phase is WritePhase.IDLE:
        if not log.unwritten:
            return None
        log.write = _next_write(table)
    assert log.write is not None
    call: SegmentWrite | SegmentRead = log.write
    if log.phase is WritePhase.MUST_READ:
        call = SegmentRead(key=log.write.key)
    log.phase = WritePhase.WRITING
    log.last_call_ms = now_ms
    log.next_call_ms = max(now_ms, log.next_call_ms) + table.flush_interval_ms
    return call


def _next_call_ms(table: ClaimTable) -> int:
    """Returns when the next call may be made; a repeated one waits its full time."""
    log = table.log
    if log.phase is WritePhase.IDLE:
        return log.next_call_ms - BURST_WINDOW_MS
    return log.last_call_ms + table.flush_interval_ms


def _next_write(table: ClaimTable) -> SegmentWrite:
    log = table.log
    if not log.key or len(log.claims) >= SEGMENT_CLAIMS:
        _open_segment(table)
    added_count = min(len(log.unwritten), MAX_CLAIMS_PER_WRITE)
    log.claims = log.claims + [log.unwritten.popleft() for _ in range(added_count)]
    segment = ClaimSegment(
        member_id=table.member_id,
        incarnation=table.incarnation,
        claims=log.claims,
        newest_ms=max(request_time_ms(one.request_id) for one in log.claims),
    )
    return SegmentWrite(key=log.key, expected_revision=log.revision, segment=segment)


def _open_segment(table: ClaimTable) -> None:
    """Opens a segment, in the place of an expired one if there is one.

    Reusing keys keeps the log at one write per flush; deletions would double
    the writes.
    """
    log = table.log
    if log.key:
        newest_ms = max(request_time_ms(one.request_id) for one in log.claims)
        log.closed.append((log.key, log.revision, newest_ms))
    log.claims = []
    if log.closed and log.closed[0][2] <= table.forgotten_until_ms - MAX_CLOCK_SKEW_MS:
        log.key, log.revision, _ = log.closed.popleft()
        return
    log.segment_count += 1
    log.key = f'claims/{table.member_id}/{table.incarnation}-{log.segment_count}'
    log.revision = 0


def segment_written(table: ClaimTable, key: str, revision: int) -> None:
    """Notes that the segment is on the platform at a revision."""
    log = table.log
    if log.write is None or log.write.key != key:
        return
    log.revision = revision
    log.phase = WritePhase.IDLE
    written = log.write.segment.claims
    log.write = None
    table.unlogged_claims.difference_update(written)
    for record in written:
        _note_logged(table, record)


def _note_logged(table: ClaimTable, record: Claim) -> None:
    entry = table.entries_by_id.get(record.request_id)
    if entry is None:
        return
    attempt = entry.attempts_by_task.get(record.task_id)
    if attempt is not None:
        attempt.is_logged = True
    if not record.task_id:
        entry.closing_logged = True


def segment_failed(table: ClaimTable, key: str, *, may_have_taken_effect: bool) -> None:
    """Notes that a write or a read back gave no answer."""
    log = table.log
    if log.write is None or log.write.key != key:
        return
    phase = WritePhase.MUST_READ if may_have_taken_effect else WritePhase.MUST_WRITE
    log.phase = phase


def segment_conflict(table: ClaimTable, key: str) -> None:
    """Notes that the key had another revision, for instance after a lost answer."""
    segment_failed(table, key, may_have_taken_effect=True)


def segment_read(
    table: ClaimTable, key: str, segment: ClaimSegment | None, revision: int
) -> None:
    """Settles a write by what the key holds; an absent key has revision 0.

    If the write did not take effect, the same segment is written over the
    revision that was read. Keys carry the incarnation, so no other process
    writes them, but another member may have deleted an old one.
    """
    log = table.log
    if log.write is None or log.write.key != key:
        return
    if segment == log.write.segment:
        segment_written(table, key, revision)
        return
    log.write = SegmentWrite(
        key=key, expected_revision=revision, segment=log.write.segment
    )
    log.phase = WritePhase.MUST_WRITE


def gained_slices(table: ClaimTable, slice_map: SliceMap, now_ms: int) -> set[int]:
    """Returns the slices for which `take_over` needs the claim log.

    After a lapse of ownership an unchanged epoch shows that nobody took the
    slices; otherwise all of them are new to this host, since a slice may have
    gone and come back.
    """
    return _slices_of(slice_map, table.member_id) - _kept(table, slice_map, now_ms)


def _kept(table: ClaimTable, slice_map: SliceMap, now_ms: int) -> set[int]:
    if table.slice_map is not None and table.slice_map.epoch == slice_map.epoch:
        return _slices_of(table.slice_map, table.member_id)
    return set() if _has_lapsed(table, now_ms) else table.owned_slices


def take_over(
    table: ClaimTable,
    slice_map: SliceMap,
    segments: Iterable[ClaimSegment] | None,
    *,
    trusts_log: bool,
    asked_ms: int,
    now_ms: int,
    now_unix_ms: int,
) -> bool:
    """Adopts a slice map and the claims of slices that are new to this host.

    `segments` are those of all members, listed after the map was written: a
    slice may have had several owners within the age limit of ids. `asked_ms`
    is when the read of the map was sent. Changes nothing and gives false if
    the map is older than the known one, or if slices are gained and `segments`
    is None. A member that the newest configuration excludes must not call it.
    """
    gained = gained_slices(table, slice_map, now_ms)
    if slice_map.epoch < table.map_epoch or (gained and segments is None):
        return False
    mine = _slices_of(slice_map, table.member_id)
    _reset_entries(table, mine - gained)
    for record in (one for segment in segments or () for one in segment.claims):
        if slice_of(record.request_id) in gained:
            _inherit(table, record, now_unix_ms)
    for name, until_ms in slice_map.doubt_until_by_slice.items():
        _doubt(table, int(name), until_ms)
    if not trusts_log:
        for index in gained:
            _doubt(table, index, doubt_until_ms(now_unix_ms))
    _settle_inherited_closings(table, gained)
    table.slice_map = slice_map
    table.owned_slices = mine
    table.closing_slices &= mine
    table.map_epoch = slice_map.epoch
    table.known_as_of_ms = max(asked_ms, table.known_as_of_ms or 0)
    return True


def _doubt(table: ClaimTable, index: int, until_ms: int) -> None:
    known_ms = table.doubt_until_by_slice.get(index, 0)
    table.doubt_until_by_slice[index] = max(known_ms, until_ms)


def _inherit(table: ClaimTable, record: Claim, now_unix_ms: int) -> None:
    max_age_ms = table.bounds.request_id_max_age_ms
    if is_too_old(record.request_id, now_unix_ms, max_age_ms):
        return
    entry = table.entries_by_id.get(record.request_id)
    if entry is None:
        entry = ClaimEntry(
            request_id=record.request_id,
            team=record.team,
            body_digest=record.body_digest,
            idempotent=False,
            is_inherited=True,
        )
        _add_entry(table, entry)
    if record.task_id:
        attempt = Attempt(
            task_id=record.task_id,
            host_id=record.host_id,
            is_logged=True,
            is_sent=True,
        )
        entry.attempts_by_task.setdefault(record.task_id, attempt)
        return
    entry.closing_logged = True


def _settle_inherited_closings(table: ClaimTable, gained: set[int]) -> None:
    """Answers closed ids with "not run" if a trusted log names no task for them.

    A closing that was written late, after another owner had taken the slice,
    proves nothing about the tasks of that owner; their hosts are asked first.
    """
    for entry in table.entries_by_id.values():
        is_gained = entry.is_inherited and slice_of(entry.request_id) in gained
        is_open = entry.answer is None and not entry.attempts_by_task
        doubtful = _is_doubtful(table, entry.request_id)
        if is_gained and is_open and entry.closing_logged and not doubtful:
            _keep_inherited_closing(entry)


def _slices_of(slice_map: SliceMap, member_id: str) -> set[int]:
    owners = enumerate(slice_map.owners)
    return {index for index, owner in owners if owner == member_id}


def _reset_entries(table: ClaimTable, kept_slices: set[int]) -> None:
    """Voids what was not sent in slices that were not owned throughout.

    Another owner may have run such a request, so its starts and a "not run"
    that no caller was told are taken back. Requests with a start that was sent
    are kept and settled at their hosts.
    """
    for entry in list(table.entries_by_id.values()):
        if slice_of(entry.request_id) in kept_slices:
            continue
        attempts = entry.attempts_by_task
        entry.attempts_by_task = {
            task_id: attempt for task_id, attempt in attempts.items() if attempt.is_sent
        }
        is_answered = _is_answer_final(entry)
        if not is_answered and not entry.attempts_by_task:
            _drop_entry(table, entry)
        elif entry.answer is None and not entry.idempotent:
            entry.is_inherited = True


def _drop_entry(table: ClaimTable, entry: ClaimEntry) -> None:
    del table.entries_by_id[entry.request_id]
    if entry.answer is not None:
        table.result_bytes -= len(entry.answer.result or '')


def begin_release(table: ClaimTable, index: int) -> None:
    """Stops accepting new requests of a slice that goes to another member."""
    if index in table.owned_slices:
        table.closing_slices.add(index)


def cancel_release(table: ClaimTable, index: int) -> None:
    """Accepts new requests of a slice again that stays with this host."""
    table.closing_slices.discard(index)


def may_release_slice(table: ClaimTable, index: int) -> bool:
    """Tells whether all requests of a closing slice are answered and logged."""
    if index not in table.closing_slices:
        return False
    if any(slice_of(one.request_id) == index for one in table.unlogged_claims):
        return False
    return all(
        _is_answer_final(entry)
        for entry in table.entries_by_id.values()
        if slice_of(entry.request_id) == index
    )


def forget_old(table: ClaimTable, now_unix_ms: int) -> int:
    """Forgets answered requests whose ids are too old and returns how many.

    The time up to which ids were forgotten never goes back, so a wall clock
    that is set back does not let a forgotten id run again.
    """
    limit_ms = now_unix_ms - table.bounds.request_id_max_age_ms
    table.forgotten_until_ms = max(table.forgotten_until_ms, limit_ms - 1)
    kept = []
    count = 0
    while table.ids_by_age and _is_forgotten(table, table.ids_by_age[0]):
        request_id = heapq.heappop(table.ids_by_age)
        entry = table.entries_by_id.get(request_id)
        if entry is None:
            continue
        if entry.answer is None and not entry.is_inherited:
            kept.append(request_id)
            continue
        _drop_entry(table, entry)
        count += 1
    for request_id in kept:
        heapq.heappush(table.ids_by_age, request_id)
    while table.answered_ids and table.answered_ids[0] not in table.entries_by_id:
        table.answered_ids.popleft()
    _drop_expired_claims(table)
    return count


def _drop_expired_claims(table: ClaimTable) -> None:
    """Drops unwritten claims that no owner needs, which a long outage gathers."""
    unwritten = table.log.unwritten
    while unwritten and _is_expired(table, unwritten[0]):
        table.unlogged_claims.discard(unwritten.popleft())


def _is_expired(table: ClaimTable, record: Claim) -> bool:
    limit_ms = table.forgotten_until_ms - MAX_CLOCK_SKEW_MS
    return request_time_ms(record.request_id) <= limit_ms


def _is_forgotten(table: ClaimTable, request_id: str) -> bool:
    return request_time_ms(request_id) <= table.forgotten_until_ms


def deletable_segments(
    segments_by_key: dict[str, ClaimSegment], now_unix_ms: int, max_age_ms: int
) -> list[str]:
    """Returns the keys of segments whose ids are too old on every clock.

    A member uses this for segments of members that have no record any more.
    """
    limit_ms = now_unix_ms - max_age_ms - MAX_CLOCK_SKEW_MS
    return [
        key for key, segment in segments_by_key.items() if segment.newest_ms < limit_ms
    ]


def is_claim_written(table: ClaimTable, request_id: str, task_id: str) -> bool:
    """Tells whether the claim of an attempt is on the platform."""
    entry = table.entries_by_id.get(request_id)
    attempt = entry.attempts_by_task.get(task_id) if entry else None
    return attempt is not None and attempt.is_logged
