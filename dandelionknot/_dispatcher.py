"""The dispatcher task: receives every message and owns all decisions' state."""

import asyncio
from collections.abc import Callable

from dandelionknot._fleet_view import (
    answer_ping,
    config_offered,
    host_silent,
    host_usage,
    is_ready,
    member_joined,
    peer_answered,
    platform_view,
)
from dandelionknot._intake import caller_gone, cancel, fetch, submit
from dandelionknot._mailbox import Call, Mailbox
from dandelionknot._requests import forget_old, unfinished_count
from dandelionknot._starts import (
    attempt_ended,
    check_start,
    expire_queued,
    start_queued,
)
from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms, seconds
from dandelionknot.messages import (
    AttemptEnded,
    CallerGone,
    CancelRequest,
    ConfigurationOffer,
    FetchAnswer,
    HostSilent,
    HostUsage,
    MemberJoined,
    PeerAnswered,
    Ping,
    PlatformView,
    ReadinessCheck,
    StartCheck,
    StopService,
    SubmitRequest,
    Tick,
    WaitUntilIdle,
)

TICK_INTERVAL_MS = 100
KEEP_ENDED = 20_000

Handler = Callable[[DispatcherState, object], None]


def _tick(state: DispatcherState, message: Tick) -> None:
    now = message.now_ms
    expire_queued(state, now)
    for service_id in list(state.queues_by_service):
        start_queued(state, service_id)
    retention_ms = state.configuration.bounds.request_id_max_age_ms
    forget_old(state.requests, now - retention_ms, KEEP_ENDED)


def _stop(state: DispatcherState, message: StopService) -> None:
    state.stopping = True


HANDLER_BY_CLASS: dict[type, Callable] = {
    PlatformView: platform_view,
    PeerAnswered: peer_answered,
    MemberJoined: member_joined,
    ConfigurationOffer: config_offered,
    AttemptEnded: attempt_ended,
    HostUsage: host_usage,
    HostSilent: host_silent,
    CallerGone: caller_gone,
    StopService: _stop,
    Tick: _tick,
}
CALL_HANDLER_BY_CLASS: dict[type, Callable] = {
    SubmitRequest: submit,
    FetchAnswer: fetch,
    CancelRequest: cancel,
    WaitUntilIdle: lambda state, call, message: state.idle_waiters.append(call),
}
REPLY_BY_CLASS: dict[type, Callable] = {
    StartCheck: check_start,
    ReadinessCheck: lambda state, message: is_ready(state),
    Ping: answer_ping,
}


def handle(state: DispatcherState, received: object) -> None:
    """Handles one message; an unknown class breaks an invariant."""
    if not isinstance(received, Call):
        HANDLER_BY_CLASS[type(received)](state, received)
        return
    message = received.message
    reply = REPLY_BY_CLASS.get(type(message))
    if reply is not None:
        received.answer(reply(state, message))
        return
    CALL_HANDLER_BY_CLASS[type(message)](state, received, message)


async def run_dispatcher(state: DispatcherState, mailbox: Mailbox) -> None:
    """Handles messages in the order in which they arrive."""
    while True:
        handle(state, await mailbox.receive())
        if state.idle_waiters and unfinished_count(state.requests) == 0:
            for waiter in state.idle_waiters:
                waiter.answer(True)
            state.idle_waiters.clear()


async def run_ticks(dispatcher: Mailbox) -> None:
    """Sends a tick at every interval."""
    while True:
        await asyncio.sleep(seconds(TICK_INTERVAL_MS))
        await dispatcher.deliver(Tick(now_ms=now_ms()))
