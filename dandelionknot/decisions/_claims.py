"""Claims of an entry host, by which a request runs at most once.

A claim names the task and the host of a start that may have been sent. It is
written to the platform before the start is sent, so that the next owner of the
slice asks that host instead of running the request again. Design section 5.4.
"""

import hashlib
import heapq

from result import Err, Ok, Result

from dandelionknot.decisions._claim_log import (
    deletable_segments,
    flush_interval_ms,
    is_claim_withdrawn,
    is_claim_written,
    may_renew_membership,
    pending_segment,
    segment_conflict,
    segment_failed,
    segment_read,
    segment_written,
)
from dandelionknot.decisions._claim_ownership import (
    begin_release,
    cancel_release,
    drop_ownership,
    gained_slices,
    may_release_slice,
    renew_ownership,
    take_over,
)
from dandelionknot.decisions._claim_table import (
    Attempt,
    ClaimEntry,
    ClaimOutcome,
    ClaimTable,
    InDoubt,
    NewClaim,
    OutageView,
    Repeated,
    ReusedId,
    SegmentRead,
    SegmentWrite,
    StartBlock,
    TaskPlace,
    add_entry,
    claim_record,
    drop_entry,
    has_ownership_expired,
    is_answer_final,
    is_in_doubt,
    needs_claim,
    set_not_run_answer,
    task_places,
)
from dandelionknot.decisions._claim_work import (
    adopt_kept,
    can_hand_over,
    closing_answer,
    is_closed_in_log,
    is_owner,
    keep_until_ms,
    mark_kept,
    may_begin,
    must_be_adopted,
    resolve_inherited,
)
from dandelionknot.decisions._slices import (
    MAX_CLOCK_SKEW_MS,
    MAX_FUTURE_MS,
    SLICE_COUNT,
    FormerOwner,
    assign_slices,
    doubt_until_ms,
    is_in_future,
    is_too_old,
    mark_in_doubt,
    may_take_slice,
    new_request_id,
    owner_of,
    permitted_map,
    request_time_ms,
    slice_of,
    trusts_claim_log,
)
from dandelionknot.messages import (
    AnswerBody,
    Claim,
    ErrorCode,
    Refusal,
    RequestBody,
    RequestMode,
    RunState,
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
    'adopt_kept',
    'closing_answer',
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
    'is_claim_withdrawn',
    'is_claim_written',
    'is_in_future',
    'is_closed_in_log',
    'can_hand_over',
    'is_owner',
    'is_too_old',
    'must_be_adopted',
    'resolve_inherited',
    'mark_kept',
    'may_answer',
    'may_begin',
    'may_decide_in_memory',
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
    'drop_ownership',
    'request_time_ms',
    'segment_conflict',
    'segment_failed',
    'segment_read',
    'segment_written',
    'slice_of',
    'take_over',
    'trusts_claim_log',
    'mark_in_doubt',
]


def body_digest(request: RequestBody) -> str:
    """Returns the SHA-256 digest of the fields that identify a request's content.

    The deadline and the mode are not included: a resend has less time left and
    may use the other mode.
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
    """Classifies a request that reached its slice owner and registers a new one.

    Every refusal has the run state "unknown": the same id may have been accepted
    before, by this owner or by an earlier one.
    """
    request_id = request.request_id
    entry = table.entries_by_id.get(request_id)
    if entry is not None:
        return Ok(_outcome_of_known(table, entry, team or '', digest, now_ms))
    refusal = _refusal_of_new(table, request_id, now_unix_ms, now_ms)
    if refusal is not None:
        return Err(refusal)
    if not request.idempotent and is_in_doubt(table, request_id):
        return Ok(InDoubt(request_id=request_id, tasks=(), is_logged=False))
    is_async = request.mode is RequestMode.ASYNC
    deadline_ms = now_unix_ms + request.deadline_ms
    add_entry(
        table,
        ClaimEntry(
            request_id=request_id,
            team=team or '',
            body_digest=digest,
            idempotent=request.idempotent,
            is_async=is_async,
            keep_until_ms=keep_until_ms(table, deadline_ms) if is_async else 0,
        ),
    )
    return Ok(NewClaim(request_id=request_id))


def _outcome_of_known(
    table: ClaimTable, entry: ClaimEntry, team: str, digest: str, now_ms: int
) -> ClaimOutcome:
    if entry.team != team or entry.body_digest != digest:
        return ReusedId(request_id=entry.request_id)
    tasks = task_places(entry)
    if entry.is_inherited and entry.answer is None:
        return InDoubt(request_id=entry.request_id, tasks=tasks, is_logged=True)
    may_show = may_answer(table, entry.request_id, None, now_ms)
    answer = entry.answer if may_show else None
    return Repeated(request_id=entry.request_id, answer=answer, tasks=tasks)


def _refusal_of_new(
    table: ClaimTable, request_id: str, now_unix_ms: int, now_ms: int
) -> Refusal | None:
    index = slice_of(request_id)
    if index not in table.owned_slices or has_ownership_expired(table, now_ms):
        return _refusal(
            request_id,
            ErrorCode.OWNER_UNREACHABLE,
            f'entry host {table.member_id!r} does not currently own slice {index}',
        )
    if index in table.closing_slices:
        return _refusal(
            request_id,
            ErrorCode.OWNER_UNREACHABLE,
            f'slice {index} is being handed over to another entry host',
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
            f'entry host already tracks {table.max_entries} requests, the maximum; '
            'resend later with the same id',
        )
    return None


def _refusal(request_id: str, code: ErrorCode, message: str) -> Refusal:
    return Refusal(
        code=code, message=message, run_state=RunState.UNKNOWN, request_id=request_id
    )


def record_start(
    table: ClaimTable, request_id: str, task_id: str, host_id: str
) -> Result[None, StartBlock]:
    """Records that a task is about to be started on a host.

    A request that is not idempotent gets a second attempt only after
    `attempt_not_run` was called for the first.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or slice_of(request_id) not in table.owned_slices:
        return Err(StartBlock.NOT_OWNER)
    if entry.answer is not None:
        return Err(StartBlock.NO_ATTEMPT)
    if not entry.idempotent and (entry.is_inherited or entry.attempts_by_task):
        return Err(StartBlock.ALREADY_SENT)
    attempt = Attempt(
        task_id=task_id, host_id=host_id, is_logged=not needs_claim(entry)
    )
    entry.attempts_by_task[task_id] = attempt
    if needs_claim(entry):
        table.log.unwritten.append(claim_record(entry, task_id, host_id))
    return Ok(None)


def may_send_start(
    table: ClaimTable,
    request_id: str,
    task_id: str,
    outage: OutageView | None,
    now_ms: int,
) -> Result[None, StartBlock]:
    """Permits the start of a task, once; called after its start token was received.

    Without a written claim the start is permitted only in an outage of the
    platform that all members see (`OutageView`), and never for an asynchronous
    request, since its next owner takes a missing claim as proof that it was not
    started.
    """
    if slice_of(request_id) not in table.owned_slices:
        return Err(StartBlock.NOT_OWNER)
    if has_ownership_expired(table, now_ms):
        return Err(StartBlock.OWNERSHIP_LAPSED)
    entry = table.entries_by_id.get(request_id)
    attempt = entry.attempts_by_task.get(task_id) if entry else None
    if entry is None or attempt is None:
        return Err(StartBlock.NO_ATTEMPT)
    if attempt.is_sent:
        return Err(StartBlock.ALREADY_SENT)
    if not attempt.is_logged:
        if entry.is_async or not may_decide_in_memory(table, outage, now_ms):
            return Err(StartBlock.CLAIM_NOT_WRITTEN)
        table.unlogged_claims.add(claim_record(entry, task_id, attempt.host_id))
    attempt.is_sent = True
    return Ok(None)


def may_decide_in_memory(
    table: ClaimTable, outage: OutageView | None, now_ms: int
) -> bool:
    """Returns whether a start or a closing may take effect before it is logged.

    This is safe only if no member will trust this host's log afterwards: every
    member has a gap in its platform contact that is longer than the freshness
    bound and ends after this host's last renewal, as `trusts_claim_log` checks.
    A full round alone is not enough: another member may still reach the platform
    and later trust the log.
    """
    if outage is None:
        return False
    if now_ms - outage.asked_ms >= table.bounds.freshness_bound_ms:
        return False
    least_ms = table.bounds.freshness_bound_ms + table.bounds.drift_margin_ms
    ages_ms = (outage.own_age_ms, *outage.peer_ages_ms)
    return all(age_ms is None or age_ms > least_ms for age_ms in ages_ms)


def attempt_not_run(table: ClaimTable, request_id: str, task_id: str) -> None:
    """Records that a task did not run and never will.

    An inherited request none of whose tasks ran is dropped if the log that named
    them is trusted, so that a resend may run it.
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None:
        return
    entry.attempts_by_task.pop(task_id, None)
    if not entry.is_inherited or entry.attempts_by_task or entry.answer is not None:
        return
    if not entry.is_kept and is_in_doubt(table, request_id):
        return
    if entry.is_closing_logged:
        set_not_run_answer(entry)
    elif not entry.is_kept:
        drop_entry(table, entry)


def finish(table: ClaimTable, request_id: str, answer: AnswerBody) -> bool:
    """Records the answer of a request; returns False if the answer is rejected.

    Only an "unknown" answer is replaced by a later one. The answer "not run" is
    rejected while an attempt is open or another member may own the id. Once
    recorded it closes the id: a resend that is still in transit must not run the
    request after its caller received "not run".
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None:
        return False
    if entry.answer is not None and entry.answer.run_state is not RunState.UNKNOWN:
        return False
    if answer.run_state is RunState.NOT_RUN and not _close_id(table, entry):
        return False
    if entry.answer is not None:
        table.result_bytes -= len(entry.answer.result or '')
    entry.answer = answer
    table.result_bytes += len(answer.result or '')
    table.answered_ids.append(request_id)
    _drop_old_results(table)
    return True


def _close_id(table: ClaimTable, entry: ClaimEntry) -> bool:
    """Closes an id: queues a claim without a task, if the request needs claims.

    Returns False if the id must stay open.
    """
    if slice_of(entry.request_id) not in table.owned_slices:
        return False
    in_doubt = entry.is_inherited and is_in_doubt(table, entry.request_id)
    if entry.attempts_by_task or in_doubt:
        return False
    if needs_claim(entry):
        table.log.unwritten.append(claim_record(entry, '', ''))
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
    """Returns whether the final answer may be sent to the caller.

    "Not run" may be sent only while this host owns the slice, and once the closing
    of the id is on the platform or may take effect in memory (see
    `may_decide_in_memory`). It is then final. A caller that cannot wait is answered
    "unknown".
    """
    entry = table.entries_by_id.get(request_id)
    if entry is None or entry.answer is None:
        return False
    if is_answer_final(entry):
        return True
    owns_slice = slice_of(request_id) in table.owned_slices
    if not owns_slice or has_ownership_expired(table, now_ms):
        return False
    if not entry.is_closing_logged:
        if entry.is_async or not may_decide_in_memory(table, outage, now_ms):
            return False
        table.unlogged_claims.add(claim_record(entry, '', ''))
    entry.not_run_is_final = True
    return True


def forget_old(table: ClaimTable, now_unix_ms: int) -> int:
    """Evicts answered requests whose ids are too old and returns their number.

    The time up to which ids were evicted never goes back, so a wall clock that
    is set back does not let an evicted id run again.
    """
    limit_ms = now_unix_ms - table.bounds.request_id_max_age_ms
    table.forgotten_until_ms = max(table.forgotten_until_ms, limit_ms - 1)
    retained = []
    count = 0
    while table.ids_by_age and _is_forgotten(table, table.ids_by_age[0]):
        request_id = heapq.heappop(table.ids_by_age)
        entry = table.entries_by_id.get(request_id)
        if entry is None:
            continue
        is_needed = not entry.is_inherited or entry.keep_until_ms > now_unix_ms
        if entry.answer is None and is_needed:
            retained.append(request_id)
            continue
        drop_entry(table, entry)
        count += 1
    for request_id in retained:
        heapq.heappush(table.ids_by_age, request_id)
    while table.answered_ids and table.answered_ids[0] not in table.entries_by_id:
        table.answered_ids.popleft()
    _drop_expired_claims(table)
    return count


def _drop_expired_claims(table: ClaimTable) -> None:
    """Drops unwritten claims that no owner needs any more.

    Otherwise, they would accumulate during a long outage of the platform.
    """
    unwritten = table.log.unwritten
    while unwritten and _is_expired(table, unwritten[0]):
        table.unlogged_claims.discard(unwritten.popleft())


def _is_expired(table: ClaimTable, record: Claim) -> bool:
    limit_ms = table.forgotten_until_ms - MAX_CLOCK_SKEW_MS
    return max(request_time_ms(record.request_id), record.keep_until_ms) <= limit_ms


def _is_forgotten(table: ClaimTable, request_id: str) -> bool:
    return request_time_ms(request_id) <= table.forgotten_until_ms
