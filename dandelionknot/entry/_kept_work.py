"""Asynchronous requests, which are stored on the platform until they have ended."""

from collections.abc import Collection

from result import Err

from dandelionknot import codec, decisions
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.entry._ends import end_not_run, end_queued
from dandelionknot.entry._inherited import follow_inherited
from dandelionknot.entry._ownership import handle_claims_list
from dandelionknot.entry._platform_sync import CLAIMS_PREFIX, WORK_PREFIX
from dandelionknot.entry._queues import enqueue, remove_queued
from dandelionknot.entry._requests import (
    RequestEntry,
    current_answer,
    end_request,
    refusal_for,
    remove_request,
)
from dandelionknot.entry._starts import start_queued
from dandelionknot.entry._state import DispatcherState
from dandelionknot.events import Event, log_event
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    KeptRequest,
    ListFinished,
    ListRequest,
    ReadFinished,
    ReadRequest,
    RequestPhase,
    RunState,
    StoredValue,
    WorkSegment,
    WriteFinished,
    WriteOutcome,
    WriteRequest,
)
from dandelionknot.metrics import Counter

# Time that a refused caller is asked to wait before it tries again.
RETRY_AFTER_MS = 1000
# Maximum number of held-back requests that one check handles, to limit its run time.
MAX_HELD_BACK_PER_CHECK = 200
NOT_STORED_TEXT = 'the request could not be stored on the platform'
TEXT_BY_CODE = {
    ErrorCode.WORK_TOO_LARGE: 'the request is too large to be stored on the platform',
    ErrorCode.QUEUE_FULL: 'this entry host has too many asynchronous requests',
}


def store_request(state: DispatcherState, call: Call, entry: RequestEntry) -> None:
    """Queues a new request to be stored; it is accepted once the platform has it."""
    state.requests.by_id[entry.request_id] = entry
    entry.storage_waiters.append(call)
    kept = _kept_request(entry)
    size_bytes = len(codec.encode_json(kept))
    offered = decisions.work.offer(state.work, kept, size_bytes)
    if isinstance(offered, Err):
        code = offered.err_value
        retry_after_ms = RETRY_AFTER_MS if code is ErrorCode.QUEUE_FULL else None
        end_not_run(state, entry, code, TEXT_BY_CODE[code], retry_after_ms)
        return
    state.context.explain(
        Subject.REQUEST, entry.request_id, 'waiting to be stored on the platform'
    )


def _kept_request(entry: RequestEntry) -> KeptRequest:
    to_unix_ms = unix_ms() - now_ms()
    return KeptRequest(
        request=entry.body,
        body_digest=entry.body_digest,
        team=entry.team_id,
        key_id=entry.key_id,
        arrived_unix_ms=entry.arrived_ms + to_unix_ms,
        deadline_unix_ms=entry.deadline_at_ms + to_unix_ms,
    )


def flush_work(state: DispatcherState) -> None:
    """Sends the next platform call about work segments, if one is due."""
    now = now_ms()
    for kept in decisions.work.write_overdue(state.work, now):
        _refuse(state, kept)
    call = decisions.work.next_call(state.work, now)
    match call:
        case decisions.work.WorkWrite(key=key, segment=segment):
            state.context.metrics.count(Counter.WORK_WRITES)
            text = codec.encode_json(segment).decode()
            _write(state, WriteRequest(key=key, expected_revision=0, value=text))
        case decisions.work.WorkDeletion(key=key, expected_revision=revision):
            state.context.metrics.count(Counter.WORK_DELETIONS)
            _write(state, WriteRequest(key=key, expected_revision=revision, value=None))
        case decisions.work.WorkRead(key=key):
            if isinstance(state.outboxes.writer.send(ReadRequest(key=key)), Err):
                handle_work_read(state, ReadFinished(key=key, found=None))


def _write(state: DispatcherState, request: WriteRequest) -> None:
    if isinstance(state.outboxes.writer.send(request), Err):
        handle_work_written(
            state, WriteFinished(request=request, outcome=None, revision=0)
        )


def handle_work_written(state: DispatcherState, message: WriteFinished) -> None:
    """Accepts or refuses the requests of a written segment, or records a deletion."""
    key = message.request.key
    if message.request.value is None:
        is_resolved = message.outcome is not None
        decisions.work.deletion_answered(state.work, key, is_resolved=is_resolved)
        return
    is_written = message.outcome is WriteOutcome.WRITTEN
    revision = message.revision if is_written else None
    if not is_written:
        log_event(Event.WORK_NOT_KEPT, key=key)
    for kept in decisions.work.write_answered(state.work, key, revision):
        if is_written:
            _accept(state, kept)
        else:
            _refuse(state, kept)


def handle_work_read(state: DispatcherState, message: ReadFinished) -> None:
    """Resolves a segment write whose answer was lost, by the value that was read."""
    revision = message.found.revision if message.found else None
    decisions.work.read_answered(state.work, message.key, revision)


def _accept(state: DispatcherState, kept: KeptRequest) -> None:
    """Queues a stored request and answers its callers.

    If ownership of the slice has expired, the next owner may have listed the
    segments before this one was written. No owner would then run the request, so
    the callers receive a refusal with run state "unknown".
    """
    entry = state.requests.by_id.get(kept.request.request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return
    entry.is_kept = True
    decisions.claims.mark_kept(state.claims, entry.request_id)
    if decisions.claims.is_owner(state.claims, entry.request_id, now_ms()):
        answer: object = current_answer(entry)
    else:
        answer = _not_stored_refusal(entry)
    for call in entry.storage_waiters:
        call.answer(answer)
    entry.storage_waiters.clear()
    state.context.explain(Subject.REQUEST, entry.request_id, 'stored and queued')
    _queue(state, entry)
    start_queued(state, entry.body.service)


def _queue(state: DispatcherState, entry: RequestEntry) -> None:
    """Queues a stored request, or ends it if its service no longer exists."""
    offered = enqueue(state, entry)
    if isinstance(offered, Err):
        refusal = offered.err_value
        end_queued(state, entry, refusal.code, refusal.message)


def _not_stored_refusal(entry: RequestEntry) -> object:
    """Returns the refusal of a request whose slice has another owner by now."""
    return refusal_for(
        entry,
        ErrorCode.WORK_NOT_KEPT,
        f'{NOT_STORED_TEXT} by its owner; send the same request again to ask',
        RunState.UNKNOWN,
        RETRY_AFTER_MS,
    )


def _refuse(state: DispatcherState, kept: KeptRequest) -> None:
    """Refuses a request that was not stored.

    The refusal closes the request id in the claim log, so that no later owner runs
    the request either.
    """
    entry = state.requests.by_id.get(kept.request.request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return
    state.context.metrics.count(Counter.WORK_NOT_KEPT)
    end_not_run(state, entry, ErrorCode.WORK_NOT_KEPT, NOT_STORED_TEXT, RETRY_AFTER_MS)


def handle_list_finished(state: DispatcherState, message: ListFinished) -> None:
    """Handles the two lists of a take-over: first stored requests, then claims.

    After the first list, sends the order for the second one. After the second, takes
    over the slices and their stored requests.
    """
    if message.prefix == WORK_PREFIX:
        state.listed_work = message.found
        if message.found is None:
            state.taking_over = False
        else:
            state.outboxes.writer.send(ListRequest(prefix=CLAIMS_PREFIX))
        return
    found = state.listed_work
    gained = handle_claims_list(state, message)
    if gained is None or found is None:
        return
    state.listed_work = None
    drop_requests_of_lost_slices(state, gained)
    _take_over_work(state, found.values, gained)


def _take_over_work(
    state: DispatcherState, values: Collection[StoredValue], gained: Collection[int]
) -> None:
    """Adds the stored requests of gained slices and starts those that may start."""
    count = 0
    for stored in values:
        decoded = codec.decode_json(stored.value, WorkSegment, stored.key)
        if isinstance(decoded, Err):
            log_event(Event.PLATFORM_VALUE_MALFORMED, problem=str(decoded.err_value))
            continue
        requests = decoded.ok_value.requests
        ids = tuple(each.request.request_id for each in requests)
        if decisions.slices.slice_of(ids[0]) not in gained:
            continue
        decisions.work.record_segment(state.work, stored.key, stored.revision, ids)
        count += sum(_take_over_request(state, each) for each in requests)
    if count:
        log_event(Event.WORK_TAKEN_OVER, requests=count)
    for service_id in list(state.queues_by_service):
        start_queued(state, service_id)


def _take_over_request(state: DispatcherState, kept: KeptRequest) -> bool:
    """Adds a stored request to the table; returns False if it is known or too old."""
    request_id = kept.request.request_id
    max_age_ms = state.configuration.bounds.request_id_max_age_ms
    if request_id in state.requests.by_id:
        return False
    if decisions.work.is_past_retention(kept, unix_ms(), max_age_ms):
        return False
    to_local_ms = now_ms() - unix_ms()
    entry = RequestEntry(
        body=kept.request,
        body_digest=kept.body_digest,
        team_id=kept.team,
        key_id=kept.key_id,
        arrived_ms=kept.arrived_unix_ms + to_local_ms,
        deadline_at_ms=kept.deadline_unix_ms + to_local_ms,
        is_kept=True,
    )
    state.requests.by_id[request_id] = entry
    state.work.unfinished_ids.add(request_id)
    state.context.metrics.count(Counter.WORK_TAKEN_OVER)
    state.context.explain(Subject.REQUEST, request_id, 'taken over from a former owner')
    _resolve_by_claims(state, entry, kept)
    return True


def _resolve_by_claims(
    state: DispatcherState, entry: RequestEntry, kept: KeptRequest
) -> None:
    """Queues a request, ends it or asks about its tasks, depending on its claims."""
    match decisions.claims.adopt_kept(state.claims, kept):
        case decisions.claims.Repeated(answer=AnswerBody() as answer):
            now = now_ms()
            decisions.claims.may_answer(state.claims, entry.request_id, None, now)
            end_request(state.requests, entry, answer.phase, answer, now)
        case decisions.claims.InDoubt(tasks=tasks):
            follow_inherited(state, entry, tasks[-1])
        case _ if now_ms() >= entry.deadline_at_ms:
            text = 'the deadline passed before the request could start'
            end_not_run(state, entry, ErrorCode.DEADLINE_PASSED, text)
        case _:
            _queue(state, entry)


def drop_requests_of_lost_slices(
    state: DispatcherState, gained: Collection[int] = ()
) -> None:
    """Drops the queued asynchronous requests of slices that this member does not own.

    Queued requests of the slices in `gained` are dropped as well, since these slices
    may have had another owner in the meantime. They are read from the platform again.
    Running requests stay in the table.
    """
    slice_map = state.claims.slice_map
    state.work.map_epoch = state.claims.map_epoch
    if slice_map is None:
        return
    owners = enumerate(slice_map.owners)
    mine = {index for index, owner in owners if owner == state.member_id}
    decisions.work.retain_slices(state.work, mine)
    dropped = 0
    for request_id in list(state.work.unfinished_ids):
        index = decisions.slices.slice_of(request_id)
        if index not in mine or index in gained:
            dropped += _drop_queued(state, request_id)
    if dropped:
        log_event(Event.WORK_HANDED_OVER, requests=dropped)


def _drop_queued(state: DispatcherState, request_id: str) -> bool:
    """Removes a request and answers its callers; returns False if it is not queued."""
    entry = state.requests.by_id.get(request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return False
    remove_queued(state, entry)
    state.waiting_to_retry.pop(request_id, None)
    for call in entry.storage_waiters:
        call.answer(_not_stored_refusal(entry))
    for waiter in entry.waiters:
        waiter.answer(current_answer(entry))
    remove_request(state.requests, request_id)
    decisions.work.ended(state.work, request_id)
    return True


def _is_in_lost_slice(state: DispatcherState, request_id: str) -> bool:
    slice_map = state.claims.slice_map
    if slice_map is None:
        return False
    return decisions.slices.owner_of(slice_map, request_id) != state.member_id


def release_held_back(state: DispatcherState) -> None:
    """Checks held-back requests again: queues, resolves, ends or drops each."""
    held = state.work.held_back_ids
    for request_id in list(held)[:MAX_HELD_BACK_PER_CHECK]:
        del held[request_id]
        entry = state.requests.by_id.get(request_id)
        if entry is None or entry.phase is not RequestPhase.QUEUED:
            continue
        if _is_in_lost_slice(state, request_id):
            _drop_queued(state, request_id)
        elif now_ms() >= entry.deadline_at_ms:
            text = 'the deadline passed before the request could start'
            end_queued(state, entry, ErrorCode.DEADLINE_PASSED, text)
        elif decisions.claims.must_be_adopted(state.claims, request_id, now_ms()):
            _resolve_by_claims(state, entry, _kept_request(entry))
        else:
            _queue(state, entry)


def reconcile_stored_work(state: DispatcherState) -> None:
    """Records which stored requests have ended and finds the segments to delete."""
    by_id = state.requests.by_id
    for request_id in list(state.work.unfinished_ids):
        entry = by_id.get(request_id)
        if entry is None or entry.outcome is not None:
            decisions.work.ended(state.work, request_id)
    decisions.work.find_deletable(state.work, by_id.__contains__)


def count_requests_to_hand_over(state: DispatcherState) -> int:
    """Counts the stored requests that the next owner will run once this host stops."""
    return sum(
        decisions.claims.can_hand_over(state.claims, request_id)
        for request_id in state.work.unfinished_ids
        if _is_queued(state, request_id)
    )


def _is_queued(state: DispatcherState, request_id: str) -> bool:
    entry = state.requests.by_id.get(request_id)
    return entry is not None and entry.phase is RequestPhase.QUEUED
