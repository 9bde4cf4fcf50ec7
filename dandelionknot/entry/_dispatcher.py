"""The dispatcher task: handles every message and owns the state of all decisions."""

import asyncio
from collections.abc import Callable

from dandelionknot import decisions
from dandelionknot._mailbox import Call, Mailbox
from dandelionknot.clock import now_ms, seconds, unix_ms
from dandelionknot.entry._duties import (
    answer_released,
    begin_release_everything,
    handle_change_finished,
    handle_operator_change,
    release_all_slices,
    run_duties,
)
from dandelionknot.entry._ends import answer_refused, expire_queued, retry_waiting
from dandelionknot.entry._fetches import (
    cancel,
    cancel_for_peer,
    fetch,
    fetch_for_peer,
    handle_caller_gone,
)
from dandelionknot.entry._fleet_view import (
    answer_acceptance,
    answer_ping,
    handle_config_offered,
    handle_host_silent,
    handle_host_usage,
    handle_member_joined,
    handle_peer_answered,
    handle_platform_view,
    is_fresh,
    is_ready,
    query_acceptance,
    record_membership,
    renew_until_ms,
    update_membership,
)
from dandelionknot.entry._grants import (
    handle_grant_read,
    handle_grant_written,
    update_grants,
)
from dandelionknot.entry._intake import forwarded, submit
from dandelionknot.entry._kept_work import (
    count_requests_to_hand_over,
    drop_requests_of_lost_slices,
    flush_work,
    handle_list_finished,
    handle_work_read,
    handle_work_written,
    reconcile_stored_work,
    release_held_back,
)
from dandelionknot.entry._ownership import (
    flush_claims,
    handle_claim_read,
    handle_claim_written,
    handle_slices_written,
    refresh_ownership,
)
from dandelionknot.entry._platform_sync import (
    CLAIMS_PREFIX,
    GRANTS_PREFIX,
    SLICES_KEY,
    WORK_PREFIX,
)
from dandelionknot.entry._requests import remove_old_requests, unfinished_count
from dandelionknot.entry._starts import (
    check_start,
    handle_attempt_ended,
    start_claimed,
    start_queued,
)
from dandelionknot.entry._state import DispatcherState
from dandelionknot.entry._status import (
    configuration_in_force,
    fleet_status,
    histograms,
    why,
)
from dandelionknot.messages import (
    AcceptanceQuery,
    AttemptEnded,
    CallerGone,
    CancelRequest,
    ChangeFinished,
    ConfigurationOffer,
    ConfigurationQuery,
    FetchAnswer,
    ForwardedRequest,
    HistogramQuery,
    HostRebooted,
    HostSilent,
    HostUsage,
    ListFinished,
    MemberJoined,
    OperatorChangeWritten,
    PeerAnswered,
    PeerCancel,
    PeerFetch,
    Ping,
    PlatformView,
    ReadFinished,
    ReadinessCheck,
    RenewUntil,
    StartCheck,
    StatusQuery,
    StopService,
    SubmitRequest,
    Tick,
    WaitUntilIdle,
    WaitUntilReleased,
    WhyQuery,
    WriteFinished,
)

TICK_INTERVAL_MS = 50
TICKS_PER_PERIODIC_WORK = 20
# A stopping entry host often tries to hand over its slices, since requests have to
# wait for the next owner of their slice.
TICKS_PER_HANDOVER = 4
TICKS_PER_HELD_BACK_CHECK = 4
# Ended requests that are retained to answer repeated submissions.
MAX_ENDED_REQUESTS = 20_000

Handler = Callable[[DispatcherState, object], None]


def _tick(state: DispatcherState, message: Tick) -> None:
    now = message.now_ms
    state.tick_count += 1
    expire_queued(state, now)
    retry_waiting(state, now)
    for service_id, queues in state.queues_by_service.items():
        if queues.requests_by_id:
            start_queued(state, service_id)
    if state.tick_count % TICKS_PER_HELD_BACK_CHECK == 0 and state.work.held_back_ids:
        release_held_back(state)
    if (
        state.stopping
        and state.tick_count % TICKS_PER_HANDOVER == 0
        and is_fresh(state, now)
    ):
        release_all_slices(state)
    if state.tick_count % TICKS_PER_PERIODIC_WORK == 0:
        _run_periodic_work(state, now)
    elif state.grants_due:
        update_grants(state, may_create=False)


def _run_periodic_work(state: DispatcherState, now: int) -> None:
    """Does the work that is necessary only once a second."""
    refresh_ownership(state)
    answer_acceptance(state)
    update_grants(state)
    update_membership(state)
    if not state.stopping and is_fresh(state, now):
        run_duties(state)
    state.outboxes.links.send(RenewUntil(until_ms=renew_until_ms(state)))
    retention_ms = state.configuration.bounds.request_id_max_age_ms
    remove_old_requests(state.requests, now - retention_ms, MAX_ENDED_REQUESTS)
    decisions.claims.forget_old(state.claims, unix_ms())
    reconcile_stored_work(state)


def _after_message(state: DispatcherState) -> None:
    """Continues the work that the message just handled may have unblocked."""
    flush_claims(state)
    flush_work(state)
    if state.work.map_epoch != state.claims.map_epoch:
        drop_requests_of_lost_slices(state)
    if state.waiting_for_claim:
        start_claimed(state)
    if state.waiting_to_refuse:
        answer_refused(state)
    if state.idle_waiters and _is_idle(state):
        for waiter in state.idle_waiters:
            waiter.answer(True)
        state.idle_waiters.clear()
    if state.release_waiters:
        answer_released(state)


def _is_idle(state: DispatcherState) -> bool:
    """Returns whether all requests have ended and all waiting calls are answered.

    Queued asynchronous requests that the next owner of their slice will run are not
    counted. The waiting calls are those to peers and those to be submitted again.
    """
    if state.waiting_calls:
        return False
    return unfinished_count(state.requests) == count_requests_to_hand_over(state)


def _stop(state: DispatcherState, message: StopService) -> None:
    """Publishes that this member is stopping, so that no slices are assigned to it."""
    state.stopping = True
    record_membership(state)


def _handle_write_finished(state: DispatcherState, message: WriteFinished) -> None:
    key = message.request.key
    if key.startswith(CLAIMS_PREFIX):
        handle_claim_written(state, message)
    elif key.startswith(WORK_PREFIX):
        handle_work_written(state, message)
    elif key.startswith(GRANTS_PREFIX):
        handle_grant_written(state, message)
    elif key == SLICES_KEY:
        handle_slices_written(state, message)


def _handle_read_finished(state: DispatcherState, message: ReadFinished) -> None:
    if message.key.startswith(CLAIMS_PREFIX):
        handle_claim_read(state, message)
    elif message.key.startswith(WORK_PREFIX):
        handle_work_read(state, message)
    elif message.key.startswith(GRANTS_PREFIX):
        handle_grant_read(state, message)


def _handle_host_rebooted(state: DispatcherState, message: HostRebooted) -> None:
    state.rebooted_hosts.add(message.host_id)


HANDLER_BY_CLASS: dict[type, Callable] = {
    PlatformView: handle_platform_view,
    PeerAnswered: handle_peer_answered,
    MemberJoined: handle_member_joined,
    ConfigurationOffer: handle_config_offered,
    AttemptEnded: handle_attempt_ended,
    HostUsage: handle_host_usage,
    HostSilent: handle_host_silent,
    HostRebooted: _handle_host_rebooted,
    CallerGone: handle_caller_gone,
    StopService: _stop,
    WriteFinished: _handle_write_finished,
    ReadFinished: _handle_read_finished,
    ListFinished: handle_list_finished,
    ChangeFinished: handle_change_finished,
    OperatorChangeWritten: handle_operator_change,
    Tick: _tick,
}
CALL_HANDLER_BY_CLASS: dict[type, Callable] = {
    SubmitRequest: submit,
    FetchAnswer: fetch,
    CancelRequest: cancel,
    ForwardedRequest: forwarded,
    PeerFetch: fetch_for_peer,
    PeerCancel: cancel_for_peer,
    AcceptanceQuery: query_acceptance,
    WaitUntilIdle: lambda state, call, message: state.idle_waiters.append(call),
    WaitUntilReleased: begin_release_everything,
}
REPLY_BY_CLASS: dict[type, Callable] = {
    StartCheck: check_start,
    ReadinessCheck: lambda state, message: is_ready(state),
    Ping: answer_ping,
    ConfigurationQuery: configuration_in_force,
    StatusQuery: fleet_status,
    WhyQuery: why,
    HistogramQuery: histograms,
}


def handle(state: DispatcherState, received: object) -> None:
    """Handles one message. A message of an unknown class raises `KeyError`."""
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
    """Handles messages one at a time in the order of their arrival."""
    while True:
        handle(state, await mailbox.receive())
        _after_message(state)


async def run_ticks(dispatcher: Mailbox) -> None:
    """Sends a `Tick` to the dispatcher every `TICK_INTERVAL_MS`."""
    while True:
        await asyncio.sleep(seconds(TICK_INTERVAL_MS))
        await dispatcher.deliver(Tick(now_ms=now_ms()))
