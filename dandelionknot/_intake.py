"""Requests as they come in: submit, fetch and cancel."""

from result import Err, Result

from dandelionknot import decisions
from dandelionknot._mailbox import Call
from dandelionknot._requests import (
    END_PHASES,
    RequestEntry,
    current_answer,
    digest_of,
    end_request,
    refusal_for,
)
from dandelionknot._starts import enqueue, remove_queued, start_queued, stop_running
from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    CallerGone,
    CancelRequest,
    ErrorCode,
    FetchAnswer,
    Refusal,
    RequestMode,
    RequestPhase,
    RunState,
    SubmitRequest,
)
from dandelionknot.metrics import Counter


def _refuse(request_id: str, code: ErrorCode, message: str) -> Refusal:
    return Refusal(
        code=code, message=message, run_state=RunState.NOT_RUN, request_id=request_id
    )


def submit(state: DispatcherState, call: Call, message: SubmitRequest) -> None:
    """Takes a request or refuses it; a request that is known is joined."""
    state.context.metrics.count(Counter.REQUESTS)
    checked = _check(state, message)
    if isinstance(checked, Err):
        state.context.metrics.count(Counter.REFUSALS)
        refusal = checked.err_value
        state.context.explain(
            Subject.REQUEST, message.request.request_id, 'refused', refusal.message
        )
        call.answer(refusal)
        return
    known = state.requests.by_id.get(message.request.request_id)
    if known is not None:
        _join(call, known, message, checked.ok_value.team_id)
        return
    _take(state, call, message, checked.ok_value.team_id)


def _check(
    state: DispatcherState, message: SubmitRequest
) -> Result[decisions.Caller, Refusal]:
    request = message.request
    if state.stopping:
        code = ErrorCode.ENTRY_HOST_STOPPING
        return Err(_refuse(request.request_id, code, 'this entry host is stopping'))
    caller = decisions.authenticate(
        state.configuration, request.service, message.presented_key
    )
    if isinstance(caller, Err):
        return caller
    if request.deadline_ms - message.age_ms <= 0:
        code = ErrorCode.DEADLINE_PASSED
        return Err(_refuse(request.request_id, code, 'the deadline has passed'))
    return caller


def _join(
    call: Call, known: RequestEntry, message: SubmitRequest, team_id: str | None
) -> None:
    """Lets a resend wait for the same answer."""
    same = known.team_id == team_id
    if not same or known.body_digest != digest_of(message.request):
        text = 'the request id was used for another request'
        call.answer(
            _refuse(message.request.request_id, ErrorCode.REQUEST_ID_REUSED, text)
        )
        return
    if known.outcome is None and message.request.mode is RequestMode.WAIT:
        known.waiters.append(call)
        return
    call.answer(current_answer(known))


def _take(
    state: DispatcherState, call: Call, message: SubmitRequest, team_id: str | None
) -> None:
    request = message.request
    now = now_ms()
    entry = RequestEntry(
        body=request,
        body_digest=digest_of(request),
        team_id=team_id,
        arrived_ms=now - message.age_ms,
        deadline_at_ms=now - message.age_ms + request.deadline_ms,
    )
    state.requests.by_id[entry.request_id] = entry
    enqueue(state, entry)
    state.context.explain(Subject.REQUEST, entry.request_id, 'queued')
    if request.mode is RequestMode.WAIT:
        entry.waiters.append(call)
    else:
        call.answer(current_answer(entry))
    start_queued(state, request.service)


def fetch(state: DispatcherState, call: Call, message: FetchAnswer) -> None:
    """Answers with the state of a request, waiting for its end if asked to."""
    entry = _find(state, call, message.request_id, message.presented_key)
    if entry is None:
        return
    if entry.outcome is None and message.wait_ms > 0:
        entry.waiters.append(call)
        return
    call.answer(current_answer(entry))


def _find(
    state: DispatcherState, call: Call, request_id: str, presented_key: str | None
) -> RequestEntry | None:
    """Returns a request of the caller's own team, or answers that there is none."""
    entry = state.requests.by_id.get(request_id)
    if entry is not None:
        caller = decisions.authenticate(
            state.configuration, entry.body.service, presented_key
        )
        if isinstance(caller, Err):
            call.answer(caller.err_value)
            return None
        if caller.ok_value.team_id == entry.team_id:
            return entry
    text = 'this entry host does not know the request'
    call.answer(
        Refusal(
            code=ErrorCode.REQUEST_NOT_FOUND,
            message=text,
            run_state=RunState.UNKNOWN,
            request_id=request_id,
        )
    )
    return None


def cancel(state: DispatcherState, call: Call, message: CancelRequest) -> None:
    """Cancels a request: queued ones end at once, running ones are stopped."""
    entry = _find(state, call, message.request_id, message.presented_key)
    if entry is None:
        return
    if entry.phase in END_PHASES:
        call.answer(current_answer(entry))
        return
    entry.cancel_requested = True
    if entry.phase is RequestPhase.QUEUED:
        _cancel_queued(state, entry)
        call.answer(current_answer(entry))
        return
    entry.waiters.append(call)
    stop_running(state, entry)


def _cancel_queued(state: DispatcherState, entry: RequestEntry) -> None:
    remove_queued(state, entry)
    refusal = refusal_for(
        entry, ErrorCode.CANCELLED, 'the request was cancelled', RunState.NOT_RUN
    )
    end_request(state.requests, entry, RequestPhase.CANCELLED, refusal, now_ms())


def caller_gone(state: DispatcherState, message: CallerGone) -> None:
    """Drops a queued request for whose answer nobody waits any more."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return
    if entry.body.mode is RequestMode.WAIT and len(entry.waiters) <= 1:
        _cancel_queued(state, entry)
