"""Submitted requests: accepts, joins, forwards or refuses them."""

from result import Err, Ok, Result

from dandelionknot import decisions
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.entry._ends import end_not_run
from dandelionknot.entry._forwarding import (
    answer_refusal,
    call_for_peer,
    forward,
    local_refusal,
    refuse_or_wait,
)
from dandelionknot.entry._inherited import follow_inherited
from dandelionknot.entry._kept_work import store_request
from dandelionknot.entry._ownership import owner_of
from dandelionknot.entry._queues import enqueue
from dandelionknot.entry._requests import (
    RequestEntry,
    current_answer,
    needs_owner,
    refusal_for,
)
from dandelionknot.entry._starts import start_queued
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    ForwardedRequest,
    Refusal,
    RequestBody,
    RequestMode,
    RunState,
    SubmitRequest,
)
from dandelionknot.metrics import Counter

# Time that a refused caller is asked to wait before it tries again.
RETRY_AFTER_MS = 1000
STOPPING_TEXT = 'this entry host is stopping'


def submit(state: DispatcherState, call: Call, message: SubmitRequest) -> None:
    """Accepts a request, forwards it to the owner of its id or refuses it."""
    if message.resubmitted:
        state.waiting_calls -= 1
    state.context.metrics.count(Counter.REQUESTS)
    authenticated = _authenticate(state, message)
    if isinstance(authenticated, Err):
        answer_refusal(state, call, message, authenticated.err_value)
        return
    caller = authenticated.ok_value
    known = state.requests.by_id.get(message.request.request_id)
    if known is not None:
        _join_known_request(call, known, message, caller.team_id)
        return
    refusal = _refusal_of_new(state, message)
    if refusal is not None:
        answer_refusal(state, call, message, refusal)
        return
    if not needs_owner(message.request):
        _accept_request(state, call, message, caller)
        return
    owner = owner_of(state, message.request.request_id)
    if owner != state.member_id and not message.forwarded:
        forward(state, call, message, owner)
    elif state.stopping:
        refusal = local_refusal(message, ErrorCode.ENTRY_HOST_STOPPING, STOPPING_TEXT)
        refuse_or_wait(state, call, message, refusal)
    else:
        _claim_request(state, call, message, caller)


def _authenticate(
    state: DispatcherState, message: SubmitRequest
) -> Result[decisions.keys.CallerIdentity, Refusal]:
    if state.configuration.version == 0:
        text = 'this entry host has not read the configuration yet'
        return Err(local_refusal(message, ErrorCode.CONFIGURATION_NOT_FRESH, text))
    caller = decisions.keys.authenticate(
        state.configuration, message.request.service, message.presented_key
    )
    if isinstance(caller, Err):
        refusal = caller.err_value
        return Err(local_refusal(message, refusal.code, refusal.message))
    return caller


def _refusal_of_new(state: DispatcherState, message: SubmitRequest) -> Refusal | None:
    """Returns the refusal of a new request that this entry host cannot accept.

    A submission that is submitted again (`resubmitted`) was already waiting for its
    owner, so it is not refused because this entry host has begun to stop.
    """
    request = message.request
    if state.stopping and not message.resubmitted:
        return local_refusal(message, ErrorCode.ENTRY_HOST_STOPPING, STOPPING_TEXT)
    if request.deadline_ms - message.age_ms <= 0:
        text = 'the deadline passed before the request was accepted'
        return local_refusal(message, ErrorCode.DEADLINE_PASSED, text)
    cannot_fit = _cannot_fit_reason(state, request)
    if cannot_fit is not None:
        return local_refusal(message, ErrorCode.TASK_CANNOT_FIT, cannot_fit)
    if len(state.requests.by_id) >= state.context.settings.max_requests:
        text = 'the request table of this entry host is full'
        return local_refusal(message, ErrorCode.QUEUE_FULL, text)
    return None


def _id_reused_refusal(request_id: str) -> Refusal:
    return Refusal(
        code=ErrorCode.REQUEST_ID_REUSED,
        message='the request id was used for another request',
        run_state=RunState.UNKNOWN,
        request_id=request_id,
    )


def _join_known_request(
    call: Call, known: RequestEntry, message: SubmitRequest, team_id: str | None
) -> None:
    """Adds a repeated submission to the calls that wait for the answer to the first."""
    same_team = known.team_id == team_id
    if not same_team or known.body_digest != decisions.claims.body_digest(
        message.request
    ):
        call.answer(_id_reused_refusal(message.request.request_id))
        return
    if known.outcome is None and message.request.mode is RequestMode.WAIT:
        known.waiters.append(call)
        return
    if known.storage_waiters:
        known.storage_waiters.append(call)
        return
    call.answer(current_answer(known))


def _new_entry(
    message: SubmitRequest, caller: decisions.keys.CallerIdentity
) -> RequestEntry:
    arrived_ms = now_ms() - message.age_ms
    return RequestEntry(
        body=message.request,
        body_digest=decisions.claims.body_digest(message.request),
        team_id=caller.team_id,
        key_id=caller.key_id,
        arrived_ms=arrived_ms,
        deadline_at_ms=arrived_ms + message.request.deadline_ms,
    )


def _accept_request(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.CallerIdentity,
) -> None:
    """Creates the entry of a new request and queues it or has it stored."""
    entry = _new_entry(message, caller)
    if entry.body.mode is RequestMode.ASYNC:
        store_request(state, call, entry)
        return
    offered = enqueue(state, entry)
    if isinstance(offered, Err) and not needs_owner(entry.body):
        answer_refusal(state, call, message, offered.err_value)
        return
    state.requests.by_id[entry.request_id] = entry
    _wait_or_answer(call, entry)
    if isinstance(offered, Err):
        refusal = offered.err_value
        end_not_run(state, entry, refusal.code, refusal.message, refusal.retry_after_ms)
        return
    state.context.explain(Subject.REQUEST, entry.request_id, 'queued')
    start_queued(state, entry.body.service)


def _wait_or_answer(call: Call, entry: RequestEntry) -> None:
    if entry.body.mode is RequestMode.WAIT:
        entry.waiters.append(call)
    else:
        call.answer(current_answer(entry))


def _cannot_fit_reason(state: DispatcherState, request: RequestBody) -> str | None:
    """Returns why no host of the pool can ever run a request, or None if one can."""
    if state.routing is None:
        return None
    chosen = decisions.routing.choose(
        state.routing,
        request.service,
        (0.0, 0.0, 0.0),
        now_ms(),
        size=decisions.routing.TaskSize(request.cores, request.memory_mb),
    )
    if isinstance(chosen, Ok) or chosen.err_value.code is not ErrorCode.TASK_CANNOT_FIT:
        return None
    return chosen.err_value.message


def _claim_request(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.CallerIdentity,
) -> None:
    """Decides, as the owner of the id, whether the request is new, and handles it."""
    request = message.request
    claimed = decisions.claims.claim(
        state.claims,
        request,
        caller.team_id,
        decisions.claims.body_digest(request),
        now_unix_ms=unix_ms(),
        now_ms=now_ms(),
    )
    if isinstance(claimed, Err):
        refuse_or_wait(state, call, message, claimed.err_value)
        return
    match claimed.ok_value:
        case decisions.claims.NewClaim():
            _accept_request(state, call, message, caller)
        case decisions.claims.Repeated(answer=AnswerBody() as answer):
            call.answer(answer)
        case decisions.claims.ReusedId():
            call.answer(_id_reused_refusal(request.request_id))
        case (
            decisions.claims.InDoubt(tasks=tasks)
            | decisions.claims.Repeated(tasks=tasks)
        ):
            _resolve_doubt(state, call, message, caller, tasks)


def _resolve_doubt(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.CallerIdentity,
    tasks: tuple[decisions.claims.TaskPlace, ...],
) -> None:
    """Asks the host on which a former owner may have started the request."""
    entry = _new_entry(message, caller)
    if not tasks:
        text = (
            'a former owner of this id may have run it; '
            'send the same request again to ask'
        )
        refusal = refusal_for(
            entry, ErrorCode.OUTCOME_UNKNOWN, text, RunState.UNKNOWN, RETRY_AFTER_MS
        )
        answer_refusal(state, call, message, refusal)
        return
    state.requests.by_id[entry.request_id] = entry
    _wait_or_answer(call, entry)
    follow_inherited(state, entry, tasks[-1])


def forwarded(state: DispatcherState, call: Call, message: ForwardedRequest) -> None:
    """Handles a request that a peer forwarded."""
    submit(
        state,
        call_for_peer(call),
        SubmitRequest(
            request=message.request,
            presented_key=message.presented_key,
            age_ms=message.arrival_age_ms,
            forwarded=True,
        ),
    )
