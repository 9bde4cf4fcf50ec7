"""Handles calls that fetch the answer to a request or cancel a request."""

import asyncio

from result import Err, Ok, Result

from dandelionknot import codec, decisions
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms
from dandelionknot.entry._ends import end_not_run
from dandelionknot.entry._forwarding import PeerFailure, ask_peer, call_for_peer
from dandelionknot.entry._ownership import owner_of
from dandelionknot.entry._queues import remove_queued
from dandelionknot.entry._requests import (
    END_PHASES,
    RequestEntry,
    current_answer,
)
from dandelionknot.entry._starts import stop_running
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import (
    AnswerBody,
    CallerGone,
    CancelRequest,
    ErrorCode,
    FetchAnswer,
    PeerCall,
    PeerCancel,
    PeerFetch,
    PeerMessageKind,
    Refusal,
    RequestMode,
    RequestPhase,
    RunState,
)

# Timeout of a call to the owner of a request id, in addition to the wait that the
# caller asked for.
OWNER_CALL_TIMEOUT_MS = 2000
# Time that a refused caller is asked to wait before it tries again.
RETRY_AFTER_MS = 1000


def fetch(state: DispatcherState, call: Call, message: FetchAnswer) -> None:
    """Answers with the state of a request, waiting up to `wait_ms` for its end."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        _ask_owner(state, call, message, PeerMessageKind.FETCH_ANSWER)
        return
    if not _check_access(state, call, entry, message.presented_key):
        return
    if entry.storage_waiters:
        # The request is still being stored. Its waiting calls are answered afterwards.
        entry.storage_waiters.append(call)
        return
    if entry.outcome is None and message.wait_ms > 0:
        entry.waiters.append(call)
        asyncio.get_running_loop().call_later(
            message.wait_ms / 1000, lambda: call.answer(current_answer(entry))
        )
        return
    call.answer(current_answer(entry))


def fetch_for_peer(state: DispatcherState, call: Call, received: PeerFetch) -> None:
    """Handles a fetch that a peer sent because this entry host owns the request id."""
    message = received.fetch
    forwarded_call = call_for_peer(call)
    if message.request_id in state.requests.by_id:
        fetch(state, forwarded_call, message)
    else:
        forwarded_call.answer(_missing_request_refusal(state, message.request_id))


def cancel_for_peer(state: DispatcherState, call: Call, received: PeerCancel) -> None:
    """Handles a cancellation that a peer sent because this host owns the request id."""
    message = received.cancel
    forwarded_call = call_for_peer(call)
    if message.request_id in state.requests.by_id:
        cancel(state, forwarded_call, message)
    else:
        forwarded_call.answer(_missing_request_refusal(state, message.request_id))


def _ask_owner(
    state: DispatcherState,
    call: Call,
    message: FetchAnswer | CancelRequest,
    kind: PeerMessageKind,
) -> None:
    owner = owner_of(state, message.request_id)
    if owner is None or owner == state.member_id:
        call.answer(_missing_request_refusal(state, message.request_id))
        return
    wait_ms = message.wait_ms if isinstance(message, FetchAnswer) else 0
    peer_call = PeerCall(
        member_id=owner,
        kind=kind,
        body=codec.to_data(message),
        timeout_ms=OWNER_CALL_TIMEOUT_MS + wait_ms,
    )

    def answer(result: Result[AnswerBody, PeerFailure]) -> None:
        if isinstance(result, Ok):
            call.answer(result.ok_value)
        elif isinstance(result.err_value, Refusal):
            call.answer(result.err_value)
        else:
            call.answer(_no_answer_refusal(message.request_id, owner))

    ask_peer(state, peer_call, answer)


def _missing_request_refusal(state: DispatcherState, request_id: str) -> Refusal:
    """Returns the refusal of a call about a request that is not in this host's table.

    The code is `REQUEST_NOT_FOUND` only if this host owns the request id, because
    only the owner has read which requests the former owners accepted.
    """
    if decisions.claims.is_owner(state.claims, request_id, now_ms()):
        return _not_found_refusal(request_id)
    return Refusal(
        code=ErrorCode.OWNER_UNREACHABLE,
        message='the owner of the request id is changing; try again later',
        run_state=RunState.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
        request_id=request_id,
    )


def _no_answer_refusal(request_id: str, owner: str) -> Refusal:
    return Refusal(
        code=ErrorCode.OWNER_UNREACHABLE,
        message=f'entry host {owner!r}, which owns the request id, gave no answer',
        run_state=RunState.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
        request_id=request_id,
    )


def _not_found_refusal(request_id: str) -> Refusal:
    """Returns the refusal for a request that is unknown or of another team."""
    return Refusal(
        code=ErrorCode.REQUEST_NOT_FOUND,
        message='the request was not found',
        run_state=RunState.UNKNOWN,
        request_id=request_id,
    )


def _check_access(
    state: DispatcherState, call: Call, entry: RequestEntry, presented_key: str | None
) -> bool:
    """Returns whether the caller belongs to the team of the request.

    If not, answers the call with an error.
    """
    caller = decisions.keys.authenticate(
        state.configuration, entry.body.service, presented_key
    )
    if isinstance(caller, Err):
        call.answer(caller.err_value)
        return False
    if caller.ok_value.team_id != entry.team_id:
        call.answer(_not_found_refusal(entry.request_id))
        return False
    return True


def cancel(state: DispatcherState, call: Call, message: CancelRequest) -> None:
    """Cancels a request: ends it if it is queued, stops its task if it is running."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        _ask_owner(state, call, message, PeerMessageKind.CANCEL_REQUEST)
        return
    if not _check_access(state, call, entry, message.presented_key):
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


def handle_caller_gone(state: DispatcherState, message: CallerGone) -> None:
    """Cancels a queued request in mode WAIT when its last caller has disconnected."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.phase is not RequestPhase.QUEUED:
        return
    # `waiters` still has the call of the caller that disconnected.
    if entry.body.mode is RequestMode.WAIT and len(entry.waiters) <= 1:
        _cancel_queued(state, entry)
