"""Backend link: the task that starts, follows and stops tasks on one server."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dandelionknot import decisions
from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    AttemptEnd,
    AttemptEnded,
    DrainOrder,
    FollowOrder,
    HostRebooted,
    HostSilent,
    HostUsage,
    LeaseRenewal,
    RebootOrder,
    RenewUntil,
    StartCheck,
    StartOrder,
    StartRefusal,
    StopOrder,
    StopService,
    TaskReport,
    TaskStart,
    TaskState,
)
from dandelionknot.ports import BackendPort, PortError, PortErrorKind

# Longest wait of a status call for the end of a task.
LONG_POLL_MS = 10_000
# First and longest pause between calls that ask about a start whose answer was lost.
RESOLVE_BACK_OFF_MS = 50
MAX_RESOLVE_BACK_OFF_MS = 1000
RENEWALS_PER_LEASE = 3
# Longest wait of a start call for the end of a short task.
MAX_START_WAIT_MS = 1000
# Maximum number of times that one start is sent if its token is refused as stale.
MAX_STALE_TOKENS = 3
# Interval of usage calls to a server that has answered no other call.
IDLE_POLL_MS = 30_000
# Usage calls to different servers are made at multiples of this time, so that many are
# made together: before a call, libcurl checks every open connection, but at most once
# a second.
POLL_SLOT_MS = 2000
# Interval of usage calls to a server that did not answer.
UNREACHABLE_POLL_MS = 2000

Random = Callable[[], float]


@dataclass(slots=True)
class _BackendLink:
    """State of the link to one backend server, owned by the link's task.

    `poll_soon` is set when a call had no answer and ends the wait for the next
    usage call.
    """

    host_id: str
    port: BackendPort
    dispatcher: Mailbox
    lease_ms: int
    token_ms: int
    token: str = ''
    token_received_ms: int = 0
    running_by_task: dict[str, StartOrder] = field(default_factory=dict)
    stop_requested: set[str] = field(default_factory=set)
    reachable: bool = True
    last_answered_ms: int = 0
    last_used_ms: int = 0
    renew_until_ms: int = 0
    poll_soon: asyncio.Event = field(default_factory=asyncio.Event)

    def answered(self) -> None:
        """Records that the server answered a call."""
        self.last_answered_ms = now_ms()
        if not self.reachable:
            self.reachable = True
            log_event(Event.HOST_REACHED, host_id=self.host_id)

    def not_answered(self) -> None:
        """Records a call without an answer and requests a usage call soon."""
        if self.reachable:
            self.reachable = False
            log_event(Event.HOST_UNREACHABLE, host_id=self.host_id)
        self.dispatcher.send(HostSilent(host_id=self.host_id))
        self.poll_soon.set()

    def store_token(self, token: str, asked_ms: int) -> None:
        """Stores a start token; its age counts from the call that asked for it."""
        if token:
            self.token = token
            self.token_received_ms = asked_ms

    def is_token_usable(self) -> bool:
        """Returns whether a start sent now can arrive before the token expires."""
        age_ms = now_ms() - self.token_received_ms
        return bool(self.token) and age_ms <= self.token_ms // 2


async def _refresh_token(link: _BackendLink) -> Result[None, PortError]:
    """Reads the usage, which comes with a new start token, and reports it."""
    asked_ms = now_ms()
    usage = await link.port.usage()
    if isinstance(usage, Err):
        return usage
    link.answered()
    link.store_token(usage.ok_value.start_token, asked_ms)
    link.dispatcher.send(
        HostUsage(host_id=link.host_id, asked_ms=asked_ms, usage=usage.ok_value)
    )
    return Ok(None)


def _attempt_ended(
    order: StartOrder,
    link: _BackendLink,
    end: AttemptEnd,
    report: TaskReport | None = None,
    message: str = '',
) -> AttemptEnded:
    return AttemptEnded(
        request_id=order.task.request_id,
        attempt=order.task.attempt,
        host_id=link.host_id,
        end=end,
        report=report,
        message=message,
    )


async def _end_unless_allowed(
    link: _BackendLink, order: StartOrder
) -> AttemptEnded | None:
    """Returns the end of an attempt that must not be sent, or None if it may be sent.

    The dispatcher checks whether the start is allowed, and must do so after the
    receipt of the token. A new token therefore needs a new check.
    """
    if link.is_token_usable() and link.token_received_ms <= order.checked_at_ms:
        return None
    if not link.is_token_usable():
        refreshed = await _refresh_token(link)
        if isinstance(refreshed, Err):
            link.not_answered()
            message = refreshed.err_value.message
            return _attempt_ended(order, link, AttemptEnd.NOT_SENT, message=message)
    check = StartCheck(request_id=order.task.request_id)
    allowed = await link.dispatcher.ask(check)
    if isinstance(allowed, Err) or not allowed.ok_value:
        message = 'the start was no longer allowed once its token was received'
        return _attempt_ended(order, link, AttemptEnd.NOT_ALLOWED, message=message)
    return None


async def _start(link: _BackendLink, order: StartOrder) -> AttemptEnded:
    """Sends a start and follows its task to the end.

    A start that was refused because of a stale token is sent again with a new one,
    unless the order permits a single send only.
    """
    for _ in range(MAX_STALE_TOKENS):
        ended = await _end_unless_allowed(link, order)
        if ended is not None:
            return ended
        wait_ms = max(0, min(MAX_START_WAIT_MS, order.deadline_at_ms - now_ms()))
        task = replace(
            order.task,
            start_token=link.token,
            lease_ms=link.lease_ms,
            wait_ms=min(wait_ms, link.lease_ms // 2),
        )
        asked_ms = now_ms()
        started = await link.port.start(task)
        if isinstance(started, Ok):
            link.answered()
            link.store_token(started.ok_value.start_token, asked_ms)
            if started.ok_value.refusal is StartRefusal.STALE_TOKEN:
                link.token = ''
                if order.sent_once:
                    return _attempt_ended(
                        order, link, AttemptEnd.REFUSED, started.ok_value
                    )
                continue
            return await _follow(link, order, started.ok_value)
        if started.err_value.kind is PortErrorKind.NOT_SENT:
            link.not_answered()
            message = started.err_value.message
            return _attempt_ended(order, link, AttemptEnd.NOT_SENT, message=message)
        return await _resolve_start(link, order)
    return _attempt_ended(
        order,
        link,
        AttemptEnd.REFUSED,
        message='the backend server refused every start token as stale',
    )


def _is_complete(report: TaskReport, order: StartOrder) -> bool:
    """Returns whether a report is the complete answer to the ordered attempt."""
    task = order.task
    matches = decisions.outcomes.answer_matches(task.task_id, task.attempt, report)
    return matches.is_ok()


async def _follow(
    link: _BackendLink, order: StartOrder, report: TaskReport
) -> AttemptEnded:
    """Waits for the end of a task on which the server has reported."""
    task_id = order.task.task_id
    while True:
        if not _is_complete(report, order):
            return await _resolve_start(link, order)
        if report.refusal is not None:
            return _attempt_ended(order, link, AttemptEnd.REFUSED, report)
        if report.state is not TaskState.RUNNING:
            return _attempt_ended(order, link, _end_of(report), report)
        if task_id in link.stop_requested or now_ms() >= order.deadline_at_ms:
            return await _stop_started(link, order)
        wait_ms = min(LONG_POLL_MS, max(1, order.deadline_at_ms - now_ms()))
        answer = await link.port.status(task_id, wait_ms)
        if isinstance(answer, Err):
            return await _resolve_start(link, order)
        report = answer.ok_value


def _end_of(report: TaskReport) -> AttemptEnd:
    if report.state is TaskState.STOPPED:
        return AttemptEnd.STOPPED
    if report.state is TaskState.EXPIRED:
        return AttemptEnd.LEASE_LOST
    if report.state is TaskState.NEVER_STARTED:
        return AttemptEnd.REFUSED
    return AttemptEnd.ANSWERED


async def _stop_started(link: _BackendLink, order: StartOrder) -> AttemptEnded:
    """Stops a task that has started, at its deadline or on cancellation."""
    stopped = await link.port.stop(order.task.task_id)
    if isinstance(stopped, Err):
        return _attempt_ended(order, link, AttemptEnd.DEADLINE_PASSED)
    report = stopped.ok_value
    if not _is_complete(report, order):
        return _attempt_ended(order, link, AttemptEnd.DEADLINE_PASSED)
    return _attempt_ended(order, link, _end_of(report), report)


async def _resolve_start(link: _BackendLink, order: StartOrder) -> AttemptEnded:
    """Asks the server what became of a start whose answer was lost.

    The start of a task that the server does not know may still arrive. The task
    counts as never started only after a stop, which makes the server refuse that
    start. The adapter opens a new connection after a call without an answer.
    """
    task_id = order.task.task_id
    back_off_ms = RESOLVE_BACK_OFF_MS
    while now_ms() < order.settle_until_ms:
        answer = await link.port.status(task_id, 0)
        if isinstance(answer, Ok) and answer.ok_value.task_id == task_id:
            report = answer.ok_value
            if report.state is TaskState.NEVER_STARTED:
                stopped = await link.port.stop(task_id)
                if isinstance(stopped, Ok) and _is_complete(stopped.ok_value, order):
                    report = stopped.ok_value
                    return _attempt_ended(order, link, _end_of(report), report)
            elif _is_complete(report, order):
                return await _follow(link, order, report)
        await asyncio.sleep(seconds(back_off_ms))
        back_off_ms = min(back_off_ms * 2, MAX_RESOLVE_BACK_OFF_MS)
    link.not_answered()
    log_event(Event.ATTEMPT_OUTCOME_UNKNOWN, task_id=task_id, host_id=link.host_id)
    return _attempt_ended(order, link, AttemptEnd.NO_ANSWER)


async def _run_attempt(link: _BackendLink, order: StartOrder) -> None:
    """Runs an attempt and reports its end to the dispatcher."""
    task_id = order.task.task_id
    link.running_by_task[task_id] = order
    try:
        ended = await _start(link, order)
    finally:
        link.running_by_task.pop(task_id, None)
        link.stop_requested.discard(task_id)
    await link.dispatcher.deliver(ended)


async def _stop(link: _BackendLink, order: StopOrder) -> None:
    """Stops a task; the attempt that follows the task receives the stopped state."""
    link.stop_requested.add(order.task_id)
    await link.port.stop(order.task_id)


async def _drain(link: _BackendLink, order: DrainOrder) -> None:
    asked_ms = now_ms()
    answer = await link.port.drain(order.draining)
    if isinstance(answer, Err):
        link.not_answered()
        return
    link.answered()
    report = answer.ok_value
    link.dispatcher.send(
        HostUsage(host_id=link.host_id, asked_ms=asked_ms, usage=report)
    )


async def _reboot(link: _BackendLink) -> None:
    answer = await link.port.reboot()
    if isinstance(answer, Ok):
        link.dispatcher.send(HostRebooted(host_id=link.host_id))


async def _follow_inherited(link: _BackendLink, order: FollowOrder) -> None:
    """Asks what became of a task that another entry host may have started."""
    start = StartOrder(
        host_id=link.host_id,
        task=TaskStart(
            task_id=order.task_id,
            request_id=order.request_id,
            attempt=order.attempt,
            service='',
            team='',
            pool_epoch=0,
            start_token='',
            lease_ms=link.lease_ms,
            payload='',
        ),
        deadline_at_ms=order.until_ms,
        checked_at_ms=0,
        settle_until_ms=order.settle_until_ms,
    )
    link.running_by_task[order.task_id] = start
    try:
        ended = await _resolve_start(link, start)
    finally:
        link.running_by_task.pop(order.task_id, None)
    await link.dispatcher.deliver(ended)


async def _renew_leases(link: _BackendLink) -> None:
    """Renews the leases of running tasks for as long as the dispatcher permits."""
    while True:
        await asyncio.sleep(seconds(link.lease_ms / RENEWALS_PER_LEASE))
        task_ids = sorted(link.running_by_task)
        if not task_ids or now_ms() >= link.renew_until_ms:
            continue
        asked_ms = now_ms()
        renewal = LeaseRenewal(task_ids=task_ids, lease_ms=link.lease_ms)
        renewed = await link.port.renew(renewal)
        if isinstance(renewed, Ok):
            link.store_token(renewed.ok_value.start_token, asked_ms)


async def _poll_usage(link: _BackendLink, always: bool, random: Random) -> None:
    """Reads the usage of a server that has answered no other call for a while.

    If `always` is False, as for a server of another zone, a reachable server is polled
    only if the link has recently received an order. An unreachable server is polled at
    a shorter interval until it answers, each time over a new connection.
    """
    await asyncio.sleep(seconds(_wait_until_slot_ms(IDLE_POLL_MS * random())))
    while True:
        now = now_ms()
        is_used = always or now - link.last_used_ms < IDLE_POLL_MS
        is_quiet = now - link.last_answered_ms >= IDLE_POLL_MS - POLL_SLOT_MS
        if not link.reachable or (is_used and is_quiet):
            await _poll_with_retry(link)
        interval_ms = (
            _wait_until_slot_ms(IDLE_POLL_MS) if link.reachable else UNREACHABLE_POLL_MS
        )
        link.poll_soon.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(link.poll_soon.wait(), seconds(interval_ms))
            await asyncio.sleep(seconds(UNREACHABLE_POLL_MS))


def _wait_until_slot_ms(wait_ms: float) -> float:
    """Shortens a wait so that it ends at a multiple of `POLL_SLOT_MS`."""
    return max(0, wait_ms - (now_ms() + wait_ms) % POLL_SLOT_MS)


async def _poll_with_retry(link: _BackendLink) -> None:
    """Reads the usage, and again over a new connection if the first call failed.

    The connection of the first call may be dead although the server runs.
    """
    for _ in range(2):
        polled = await _refresh_token(link)
        if isinstance(polled, Ok):
            return
    link.not_answered()


async def _execute_order(link: _BackendLink, order: object) -> None:
    match order:
        case StartOrder():
            await _run_attempt(link, order)
        case FollowOrder():
            await _follow_inherited(link, order)
        case StopOrder():
            await _stop(link, order)
        case DrainOrder():
            await _drain(link, order)
        case RebootOrder():
            await _reboot(link)


async def run_backend_link(
    host_id: str,
    port: BackendPort,
    mailbox: Mailbox,
    dispatcher: Mailbox,
    lease_ms: int,
    token_ms: int,
    always_poll: bool,
    random: Random,
) -> None:
    """Executes orders for one backend server until a `StopService` arrives.

    Attempts that run by then are followed to their end.
    """
    link = _BackendLink(host_id, port, dispatcher, lease_ms, token_ms)
    async with asyncio.TaskGroup() as group:
        background_tasks = [
            group.create_task(_renew_leases(link)),
            group.create_task(_poll_usage(link, always_poll, random)),
        ]
        attempts: set[asyncio.Task] = set()
        while True:
            message = await mailbox.receive()
            if isinstance(message, StopService):
                break
            if isinstance(message, RenewUntil):
                # This message comes once a second for every link, so it is handled
                # without a task and does not count as use of the server.
                link.renew_until_ms = message.until_ms
                continue
            link.last_used_ms = now_ms()
            task = group.create_task(_execute_order(link, message))
            if isinstance(message, (StartOrder, FollowOrder)):
                attempts.add(task)
                task.add_done_callback(attempts.discard)
        if attempts:
            await asyncio.wait(attempts)
        for task in background_tasks:
            task.cancel()
