"""Requests as they come in: submit, fetch and cancel."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from dandelionknot import codec, decisions
from dandelionknot._kept_work import keep
from dandelionknot._mailbox import Call
from dandelionknot._ownership import owner_of
from dandelionknot._requests import (
    END_PHASES,
    RequestEntry,
    current_answer,
    refusal_for,
)
from dandelionknot._starts import (
    end_not_run,
    enqueue,
    follow_inherited,
    remove_queued,
    start_queued,
    stop_running,
)
from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms, seconds, unix_ms
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    CallerGone,
    CancelRequest,
    ErrorCode,
    FetchAnswer,
    ForwardedAnswer,
    ForwardedRequest,
    PeerCall,
    PeerCancel,
    PeerFetch,
    PeerMessageKind,
    Refusal,
    RequestBody,
    RequestMode,
    RequestPhase,
    RunState,
    SubmitRequest,
)
from dandelionknot.metrics import Counter
from dandelionknot.ports import PortError, PortErrorKind

FORWARD_GRACE_MS = 3000
FETCH_TIMEOUT_MS = 2000
RETRY_AFTER_MS = 1000
RESUBMIT_MS = 100
STOPPING_TEXT = 'this entry host is stopping'

# Refusals of an owner that has not taken the request; another one may.
WAITING_CODES = frozenset({ErrorCode.OWNER_UNREACHABLE, ErrorCode.ENTRY_HOST_STOPPING})


PeerRefusal = Refusal | PortErrorKind


def refuse_here(message: SubmitRequest, code: ErrorCode, text: str) -> Refusal:
    """Returns a refusal made before the slice owner looked at the request.

    An earlier submission of the same id may have run. That is harmless for an
    idempotent request; for others only the owner can say "not run". Nobody can
    say it of a submission that an owner may have taken already.
    """
    request = message.request
    if request.idempotent and not message.may_be_known:
        run_state = RunState.NOT_RUN
    else:
        run_state = RunState.UNKNOWN
        text += '; this submission was not run'
    if message.may_be_known:
        text = f'{text.partition(";")[0]}; send the same request again to ask'
    return Refusal(
        code=code,
        message=text,
        run_state=run_state,
        request_id=request.request_id,
    )


def needs_owner(request: RequestBody) -> bool:
    """Tells whether a request is handled by the owner of its id alone."""
    return not request.idempotent or request.mode is RequestMode.ASYNC


def submit(state: DispatcherState, call: Call, message: SubmitRequest) -> None:
    """Takes a request, passes it to its owner or refuses it."""
    state.context.metrics.count(Counter.REQUESTS)
    authenticated = _authenticate(state, message)
    if isinstance(authenticated, Err):
        _answer_refusal(state, call, message, authenticated.err_value)
        return
    caller = authenticated.ok_value
    known = state.requests.by_id.get(message.request.request_id)
    if known is not None:
        _join(call, known, message, caller.team_id)
        return
    refusal = _refusal_of_new(state, message)
    if refusal is not None:
        _answer_refusal(state, call, message, refusal)
        return
    if not needs_owner(message.request):
        _take(state, call, message, caller)
        return
    owner = owner_of(state, message.request.request_id)
    if owner != state.member_id and not message.forwarded:
        _forward(state, call, message, owner)
    elif state.stopping:
        refusal = refuse_here(message, ErrorCode.ENTRY_HOST_STOPPING, STOPPING_TEXT)
        _refuse_or_wait(state, call, message, refusal)
    else:
        _claim(state, call, message, caller)


def _answer_refusal(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    state.context.metrics.count(Counter.REFUSALS)
    state.context.explain(
        Subject.REQUEST, message.request.request_id, 'refused', refusal.message
    )
    call.answer(refusal)


def _authenticate(
    state: DispatcherState, message: SubmitRequest
) -> Result[decisions.keys.Caller, Refusal]:
    caller = decisions.keys.authenticate(
        state.configuration, message.request.service, message.presented_key
    )
    if isinstance(caller, Err):
        refusal = caller.err_value
        return Err(refuse_here(message, refusal.code, refusal.message))
    return caller


def _refusal_of_new(state: DispatcherState, message: SubmitRequest) -> Refusal | None:
    """Returns why this entry host cannot take a request that it does not know.

    A submission that waits for its owner is not refused because this entry
    host stops meanwhile.
    """
    request = message.request
    if state.stopping and not message.resubmitted:
        return refuse_here(message, ErrorCode.ENTRY_HOST_STOPPING, STOPPING_TEXT)
    if request.deadline_ms - message.age_ms <= 0:
        text = 'the deadline has passed'
        return refuse_here(message, ErrorCode.DEADLINE_PASSED, text)
    cannot_fit = _cannot_fit(state, request)
    if cannot_fit is not None:
        return refuse_here(message, ErrorCode.TASK_CANNOT_FIT, cannot_fit)
    if len(state.requests.by_id) >= state.context.settings.max_requests:
        text = 'this entry host is full'
        return refuse_here(message, ErrorCode.QUEUE_FULL, text)
    return None


def _reused(request_id: str) -> Refusal:
    return Refusal(
        code=ErrorCode.REQUEST_ID_REUSED,
        message='the request id was used for another request',
        run_state=RunState.UNKNOWN,
        request_id=request_id,
    )


def _join(
    call: Call, known: RequestEntry, message: SubmitRequest, team_id: str | None
) -> None:
    """Lets a resend wait for the same answer."""
    same_team = known.team_id == team_id
    if not same_team or known.body_digest != decisions.claims.body_digest(
        message.request
    ):
        call.answer(_reused(message.request.request_id))
        return
    if known.outcome is None and message.request.mode is RequestMode.WAIT:
        known.waiters.append(call)
        return
    if known.keep_calls:
        known.keep_calls.append(call)
        return
    call.answer(current_answer(known))


def _new_entry(message: SubmitRequest, caller: decisions.keys.Caller) -> RequestEntry:
    arrived_ms = now_ms() - message.age_ms
    return RequestEntry(
        body=message.request,
        body_digest=decisions.claims.body_digest(message.request),
        team_id=caller.team_id,
        key_id=caller.key_id,
        arrived_ms=arrived_ms,
        deadline_at_ms=arrived_ms + message.request.deadline_ms,
    )


def _take(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.Caller,
) -> None:
    """Queues a request that was not seen before."""
    entry = _new_entry(message, caller)
    if entry.body.mode is RequestMode.ASYNC:
        keep(state, call, entry)
        return
    offered = enqueue(state, entry)
    if isinstance(offered, Err) and not needs_owner(entry.body):
        _answer_refusal(state, call, message, offered.err_value)
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


def _cannot_fit(state: DispatcherState, request: RequestBody) -> str | None:
    """Returns why no host of the pool can ever run a request."""
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


def _claim(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.Caller,
) -> None:
    """Decides as the owner of the id whether the request is new."""
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
        _refuse_or_wait(state, call, message, claimed.err_value)
        return
    match claimed.ok_value:
        case decisions.claims.NewClaim():
            _take(state, call, message, caller)
        case decisions.claims.Repeated(answer=AnswerBody() as answer):
            call.answer(answer)
        case decisions.claims.ReusedId():
            call.answer(_reused(request.request_id))
        case (
            decisions.claims.InDoubt(tasks=tasks)
            | decisions.claims.Repeated(tasks=tasks)
        ):
            _settle_doubt(state, call, message, caller, tasks)


def _settle_doubt(
    state: DispatcherState,
    call: Call,
    message: SubmitRequest,
    caller: decisions.keys.Caller,
    tasks: tuple[decisions.claims.TaskPlace, ...],
) -> None:
    """Asks the hosts that a former owner may have started the request on."""
    entry = _new_entry(message, caller)
    if not tasks:
        text = (
            'a former owner of this id may have run it; '
            'send the same request again to ask'
        )
        refusal = refusal_for(
            entry, ErrorCode.OUTCOME_UNKNOWN, text, RunState.UNKNOWN, RETRY_AFTER_MS
        )
        _answer_refusal(state, call, message, refusal)
        return
    state.requests.by_id[entry.request_id] = entry
    _wait_or_answer(call, entry)
    follow_inherited(state, entry, tasks[-1])


def _forward(
    state: DispatcherState, call: Call, message: SubmitRequest, owner: str | None
) -> None:
    """Passes a request to the owner of its id and its answer back."""
    request = message.request
    if owner is None:
        text = 'no entry host owns the request id now'
        refusal = refuse_here(message, ErrorCode.OWNER_UNREACHABLE, text)
        _refuse_or_wait(state, call, message, refusal)
        return
    state.context.metrics.count(Counter.FORWARDED)
    body = ForwardedRequest(
        request=request,
        arrival_age_ms=message.age_ms,
        presented_key=message.presented_key,
    )
    order = PeerCall(
        member_id=owner,
        kind=PeerMessageKind.FORWARDED_REQUEST,
        body=codec.to_data(body),
        timeout_ms=max(1, request.deadline_ms - message.age_ms + FORWARD_GRACE_MS),
    )

    arrived_ms = now_ms() - message.age_ms

    def answer(result: Result[AnswerBody, PeerRefusal]) -> None:
        aged = replace(message, age_ms=now_ms() - arrived_ms)
        if isinstance(result, Ok):
            call.answer(result.ok_value)
        elif isinstance(result.err_value, Refusal):
            refusal = _told_truly(message, result.err_value)
            _refuse_or_wait(state, call, aged, refusal)
        elif result.err_value is PortErrorKind.NOT_SENT:
            text = f'entry host {owner!r}, which owns the request id, cannot be reached'
            refusal = refuse_here(message, ErrorCode.OWNER_UNREACHABLE, text)
            _refuse_or_wait(state, call, aged, refusal)
        else:
            _ask_again(state, call, replace(aged, may_be_known=True), owner)

    _ask_peer(state, order, answer)


def _told_truly(message: SubmitRequest, refusal: Refusal) -> Refusal:
    """Returns what a caller may be told of an owner's refusal.

    An owner that refuses an idempotent request does not look whether an
    earlier owner took it.
    """
    not_run = refusal.run_state is RunState.NOT_RUN
    if not_run and message.request.idempotent and message.may_be_known:
        return replace(refusal, run_state=RunState.UNKNOWN)
    return refusal


def _ask_again(
    state: DispatcherState, call: Call, message: SubmitRequest, owner: str
) -> None:
    """Submits a request again whose owner gave no answer.

    The owner knows the id if it has taken the request, so that it is not run
    again; the link is opened anew in the meantime.
    """
    text = (
        f'entry host {owner!r}, which owns the request id, gave no answer; '
        'send the same request again to ask'
    )
    refusal = Refusal(
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=text,
        run_state=RunState.UNKNOWN,
        request_id=message.request.request_id,
    )
    if message.request.deadline_ms - message.age_ms <= RESUBMIT_MS:
        _answer_refusal(state, call, message, refusal)
        return
    _submit_later(state, call, message, refusal)


def _refuse_or_wait(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    """Submits a request again while its id has no owner that takes it.

    Slices change owners within moments, and a lapse of freshness ends with the
    next answer of the platform. The entry host that the caller asked waits.
    """
    left_ms = message.request.deadline_ms - message.age_ms
    waits = refusal.code in WAITING_CODES and left_ms > RESUBMIT_MS
    if not waits or message.forwarded or call.reply.done():
        _answer_refusal(state, call, message, refusal)
        return
    _submit_later(state, call, message, refusal)


def _submit_later(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    """Submits a request again after a pause, or refuses it if that fails."""
    arrived_ms = now_ms() - message.age_ms
    state.waiting_calls += 1

    def submit_again() -> None:
        state.waiting_calls -= 1
        again = replace(message, age_ms=now_ms() - arrived_ms, resubmitted=True)
        sent = state.outboxes.inbox.send(Call(again, call.reply))
        if isinstance(sent, Err):
            call.answer(refusal)

    asyncio.get_running_loop().call_later(seconds(RESUBMIT_MS), submit_again)


def _ask_peer(
    state: DispatcherState,
    order: PeerCall,
    answer: Callable[[Result[AnswerBody, PeerRefusal]], None],
) -> None:
    """Passes on what a peer answers, or why there was no answer."""
    reply = asyncio.get_running_loop().create_future()
    state.waiting_calls += 1

    def finish(done: asyncio.Future) -> None:
        state.waiting_calls -= 1
        if not done.cancelled():
            answer(_peer_answer(done.result()))

    reply.add_done_callback(finish)
    if isinstance(state.outboxes.peers.send(Call(order, reply)), Err):
        error = PortError(kind=PortErrorKind.NOT_SENT, message='too many calls')
        reply.set_result(Err(error))


def _peer_answer(
    result: Result[object, PortError],
) -> Result[AnswerBody, PeerRefusal]:
    if isinstance(result, Err):
        return Err(result.err_value.kind)
    found = result.ok_value
    if isinstance(found, ForwardedAnswer) and found.answer is not None:
        return Ok(found.answer)
    if isinstance(found, ForwardedAnswer) and found.refusal is not None:
        return Err(found.refusal)
    return Err(PortErrorKind.MALFORMED)


def forwarded(state: DispatcherState, call: Call, message: ForwardedRequest) -> None:
    """Takes a request that a peer passed on."""
    submit(
        state,
        _for_peer(call),
        SubmitRequest(
            request=message.request,
            presented_key=message.presented_key,
            age_ms=message.arrival_age_ms,
            forwarded=True,
        ),
    )


def _for_peer(call: Call) -> Call:
    """Returns a call whose answer goes to a peer as a `ForwardedAnswer`."""
    reply = asyncio.get_running_loop().create_future()

    def finish(done: asyncio.Future) -> None:
        if done.cancelled():
            return
        outcome = done.result()
        if isinstance(outcome, Refusal):
            call.answer([ForwardedAnswer(refusal=outcome)])
        else:
            call.answer([ForwardedAnswer(answer=outcome)])

    reply.add_done_callback(finish)
    return Call(call.message, reply)


def fetch(state: DispatcherState, call: Call, message: FetchAnswer) -> None:
    """Answers with the state of a request, waiting for its end if asked to."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        _fetch_from_owner(state, call, message, PeerMessageKind.FETCH_ANSWER)
        return
    if not _may_see(state, call, entry, message.presented_key):
        return
    if entry.outcome is None and message.wait_ms > 0:
        entry.waiters.append(call)
        asyncio.get_running_loop().call_later(
            message.wait_ms / 1000, lambda: call.answer(current_answer(entry))
        )
        return
    call.answer(current_answer(entry))


def fetch_for_peer(state: DispatcherState, call: Call, received: PeerFetch) -> None:
    """Answers a peer that asks for the answer to a request of this owner."""
    message = received.fetch
    peer_call = _for_peer(call)
    if message.request_id in state.requests.by_id:
        fetch(state, peer_call, message)
    else:
        peer_call.answer(_not_found(message.request_id))


def cancel_for_peer(state: DispatcherState, call: Call, received: PeerCancel) -> None:
    """Cancels a request for a peer."""
    message = received.cancel
    peer_call = _for_peer(call)
    if message.request_id in state.requests.by_id:
        cancel(state, peer_call, message)
    else:
        peer_call.answer(_not_found(message.request_id))


def _fetch_from_owner(
    state: DispatcherState,
    call: Call,
    message: FetchAnswer | CancelRequest,
    kind: PeerMessageKind,
) -> None:
    owner = owner_of(state, message.request_id)
    if owner is None or owner == state.member_id:
        call.answer(_not_found(message.request_id))
        return
    wait_ms = message.wait_ms if isinstance(message, FetchAnswer) else 0
    order = PeerCall(
        member_id=owner,
        kind=kind,
        body=codec.to_data(message),
        timeout_ms=FETCH_TIMEOUT_MS + wait_ms,
    )

    def answer(result: Result[AnswerBody, PeerRefusal]) -> None:
        if isinstance(result, Ok):
            call.answer(result.ok_value)
        elif isinstance(result.err_value, Refusal):
            call.answer(result.err_value)
        else:
            call.answer(_no_answer(message.request_id, owner))

    _ask_peer(state, order, answer)


def _no_answer(request_id: str, owner: str) -> Refusal:
    return Refusal(
        code=ErrorCode.OWNER_UNREACHABLE,
        message=f'entry host {owner!r}, which owns the request id, gave no answer',
        run_state=RunState.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
        request_id=request_id,
    )


def _not_found(request_id: str) -> Refusal:
    return Refusal(
        code=ErrorCode.REQUEST_NOT_FOUND,
        message='the owner of the request id does not know the request',
        run_state=RunState.UNKNOWN,
        request_id=request_id,
    )


def _may_see(
    state: DispatcherState, call: Call, entry: RequestEntry, presented_key: str | None
) -> bool:
    """Answers with an error unless the caller belongs to the request's team."""
    caller = decisions.keys.authenticate(
        state.configuration, entry.body.service, presented_key
    )
    if isinstance(caller, Err):
        call.answer(caller.err_value)
        return False
    if caller.ok_value.team_id != entry.team_id:
        call.answer(_not_found(entry.request_id))
        return False
    return True


def cancel(state: DispatcherState, call: Call, message: CancelRequest) -> None:
    """Cancels a request: queued ones end, running ones are stopped."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        _fetch_from_owner(state, call, message, PeerMessageKind.CANCEL_REQUEST)
        return
    if not _may_see(state, call, entry, message.presented_key):
        return
    if entry.phase in END_PHASES:
        call.answer(current_answer(entry))
        return
    entry.cancel_requested = True
    entry.waiters.append(call)
    if entry.phase is RequestPhase.QUEUED:
        _cancel_queued(state, entry)
    else:
        stop_running(state, entry)


def _cancel_queued(state: DispatcherState, entry: RequestEntry) -> None:
    remove_queued(state, entry)
    end_not_run(state, entry, ErrorCode.CANCELLED, 'the request was cancelled')


def caller_gone(state: DispatcherState, message: CallerGone) -> None:
    """Drops a queued request for whose answer nobody waits any more."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return
    if entry.body.mode is RequestMode.WAIT and len(entry.waiters) <= 1:
        _cancel_queued(state, entry)
