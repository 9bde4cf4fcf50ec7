"""Forwards requests to the owner of their id, or waits until there is one."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms, seconds
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    ForwardedAnswer,
    ForwardedRequest,
    PeerCall,
    PeerMessageKind,
    Refusal,
    RunState,
    SubmitRequest,
)
from dandelionknot.metrics import Counter
from dandelionknot.ports import PortError, PortErrorKind

# Time after the deadline of a forwarded request for which its owner may still answer.
FORWARD_GRACE_MS = 3000
RESUBMIT_DELAY_MS = 100

# Refusals by an owner that has not accepted the request; another one may accept it.
RESUBMIT_CODES = frozenset({ErrorCode.OWNER_UNREACHABLE, ErrorCode.ENTRY_HOST_STOPPING})

PeerFailure = Refusal | PortErrorKind


def local_refusal(message: SubmitRequest, code: ErrorCode, text: str) -> Refusal:
    """Returns a refusal made without asking the owner of the request id.

    An earlier submission of the same id may have run. For an idempotent request
    that does no harm, so the refusal says "not run"; for others only the owner
    can say so. If an owner may have accepted the submission, the run state is
    unknown in both cases.
    """
    request = message.request
    run_state = RunState.UNKNOWN
    if message.may_be_known:
        text += '; send the same request again to ask'
    elif request.idempotent:
        run_state = RunState.NOT_RUN
    else:
        text += '; this submission was not run'
    return Refusal(
        code=code,
        message=text,
        run_state=run_state,
        request_id=request.request_id,
    )


def answer_refusal(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    """Sends a refusal and records its reason in the journal."""
    state.context.metrics.count(Counter.REFUSALS)
    state.context.explain(
        Subject.REQUEST, message.request.request_id, 'refused', refusal.message
    )
    call.answer(refusal)


def forward(
    state: DispatcherState, call: Call, message: SubmitRequest, owner: str | None
) -> None:
    """Forwards a request to the owner of its id and returns the owner's answer."""
    request = message.request
    if owner is None:
        text = 'no entry host owns the request id now'
        refusal = local_refusal(message, ErrorCode.OWNER_UNREACHABLE, text)
        refuse_or_wait(state, call, message, refusal)
        return
    state.context.metrics.count(Counter.FORWARDED)
    body = ForwardedRequest(
        request=request,
        arrival_age_ms=message.age_ms,
        presented_key=message.presented_key,
    )
    peer_call = PeerCall(
        member_id=owner,
        kind=PeerMessageKind.FORWARDED_REQUEST,
        body=codec.to_data(body),
        timeout_ms=max(1, request.deadline_ms - message.age_ms + FORWARD_GRACE_MS),
    )
    arrived_ms = now_ms() - message.age_ms

    def answer(result: Result[AnswerBody, PeerFailure]) -> None:
        aged = replace(message, age_ms=now_ms() - arrived_ms)
        if isinstance(result, Ok):
            call.answer(result.ok_value)
        elif isinstance(result.err_value, Refusal):
            refusal = _with_known_run_state(message, result.err_value)
            refuse_or_wait(state, call, aged, refusal)
        elif result.err_value is PortErrorKind.NOT_SENT:
            text = f'entry host {owner!r}, which owns the request id, cannot be reached'
            refusal = local_refusal(message, ErrorCode.OWNER_UNREACHABLE, text)
            refuse_or_wait(state, call, aged, refusal)
        else:
            _resubmit_or_refuse(state, call, replace(aged, may_be_known=True), owner)

    ask_peer(state, peer_call, answer)


def _with_known_run_state(message: SubmitRequest, refusal: Refusal) -> Refusal:
    """Returns an owner's refusal, with run state "unknown" if the request may have run.

    An owner that refuses an idempotent request does not check whether an earlier
    owner accepted the request.
    """
    not_run = refusal.run_state is RunState.NOT_RUN
    if not_run and message.request.idempotent and message.may_be_known:
        return replace(refusal, run_state=RunState.UNKNOWN)
    return refusal


def _resubmit_or_refuse(
    state: DispatcherState, call: Call, message: SubmitRequest, owner: str
) -> None:
    """Submits a request again after its owner gave no answer, or refuses it.

    If the owner has accepted the request, it knows the id and does not run the
    request again. The peer link reconnects in the meantime. The request is refused
    if its deadline leaves no time.
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
    if message.request.deadline_ms - message.age_ms <= RESUBMIT_DELAY_MS:
        answer_refusal(state, call, message, refusal)
        return
    _submit_later(state, call, message, refusal)


def refuse_or_wait(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    """Submits a request again as long as no owner of its id accepts it.

    A slice gets its new owner after a short time, and lost freshness returns with
    the next answer of the platform. Only the entry host that the caller asked
    waits; for a forwarded request, the refusal is sent at once.
    """
    left_ms = message.request.deadline_ms - message.age_ms
    should_wait = refusal.code in RESUBMIT_CODES and left_ms > RESUBMIT_DELAY_MS
    if not should_wait or message.forwarded or call.reply.done():
        answer_refusal(state, call, message, refusal)
        return
    _submit_later(state, call, message, refusal)


def _submit_later(
    state: DispatcherState, call: Call, message: SubmitRequest, refusal: Refusal
) -> None:
    """Submits a request again after a delay, or refuses it if the mailbox is full."""
    arrived_ms = now_ms() - message.age_ms
    state.waiting_calls += 1

    def submit_again() -> None:
        again = replace(message, age_ms=now_ms() - arrived_ms, resubmitted=True)
        sent = state.outboxes.inbox.send(Call(again, call.reply))
        if isinstance(sent, Err):
            state.waiting_calls -= 1
            call.answer(refusal)

    asyncio.get_running_loop().call_later(seconds(RESUBMIT_DELAY_MS), submit_again)


def ask_peer(
    state: DispatcherState,
    peer_call: PeerCall,
    answer: Callable[[Result[AnswerBody, PeerFailure]], None],
) -> None:
    """Calls a peer, and then `answer` with its answer, its refusal or the error."""
    reply = asyncio.get_running_loop().create_future()
    state.waiting_calls += 1

    def finish(done: asyncio.Future) -> None:
        state.waiting_calls -= 1
        if not done.cancelled():
            answer(_peer_answer(done.result()))

    reply.add_done_callback(finish)
    if isinstance(state.outboxes.peers.send(Call(peer_call, reply)), Err):
        error = PortError(
            kind=PortErrorKind.NOT_SENT,
            message='not sent: too many calls to peers are waiting',
        )
        reply.set_result(Err(error))


def _peer_answer(
    result: Result[object, PortError],
) -> Result[AnswerBody, PeerFailure]:
    if isinstance(result, Err):
        return Err(result.err_value.kind)
    found = result.ok_value
    if isinstance(found, ForwardedAnswer) and found.answer is not None:
        return Ok(found.answer)
    if isinstance(found, ForwardedAnswer) and found.refusal is not None:
        return Err(found.refusal)
    return Err(PortErrorKind.MALFORMED)


def call_for_peer(call: Call) -> Call:
    """Returns a call whose answer is sent to a peer as a `ForwardedAnswer`."""
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
