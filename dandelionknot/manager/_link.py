"""The task that owns the connections to one lifetime of a backend server."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, log_unexpected_error
from dandelionknot.jobs._generated import (
    ContactLost,
    EndsStored,
    HoldAnswered,
    HoldReport,
    OrderOutcome,
    PaceTask,
    RepeatStart,
    StartFinished,
    StartTask,
    StartUnanswered,
    StopFinished,
    StopTask,
    TasksExpected,
)
from dandelionknot.jobs._late_starts import LATE_CALL_MS, MAX_WITHHELD_ENDS
from dandelionknot.jobs._leases import LeaseClock, task_lease_ms
from dandelionknot.manager._ports import BackendClient

# Longest time for which the backend server may delay its answer to a hold call, which
# extends the lease and lists the runs.
HOLD_WAIT_MS = 1000
# Longest time for which it may delay the answer if the last one listed no run although
# the scheduler expects one.
UNLISTED_WAIT_MS = 150
# Longest time for which it may delay the answer if a report is wanted soon.
SOON_WAIT_MS = 50
# Time limit of a call to a backend server, in addition to the requested delay.
ORDER_TIMEOUT_MS = 700
# Pause between hold calls, so that runs that end at about the same time are reported
# in one answer.
HOLD_PAUSE_MS = 25
# Longest wait until reported ends may be acknowledged, before the next hold call. The
# backend server answers at once while it lists ends.
STORED_WAIT_MS = 300
# Pause between calls to a backend server that does not answer. Also the pause between
# checks whether calls are allowed again.
PROBE_PAUSE_MS = 300
# Time limits of the tries of an order that is not answered. The first are short, since
# an answer usually takes some milliseconds. Repeating an order is safe: the backend
# server starts the same run only once.
TRY_TIMEOUTS_MS = (150, 300, ORDER_TIMEOUT_MS)
# Time limits of the calls that check whether contact is lost after a hold call without
# an answer.
CHECK_TIMEOUTS_MS = (150, 300)
# Successive hold calls that are refused until contact counts as lost, and the pause
# between them. A refusal shows that the process lives.
MAX_REFUSED_HOLDS = 5
REFUSED_PAUSE_MS = 100
# Outcomes of a hold call which leave open whether the backend server lives.
SILENT_OUTCOMES = frozenset({OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT})
# Pause between the tries of an order that is repeated until it is carried out. It
# doubles with each refusal that does not pass by itself, up to the second number.
REPEAT_PAUSE_MS = 300
MAX_REPEAT_PAUSE_MS = 5000
# Outcomes after which the same order may soon be carried out.
PASSING_OUTCOMES = frozenset(
    {OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT, OrderOutcome.UNHEALTHY}
)
# Outcomes which show that the order was carried out, or that the run has ended.
CARRIED_OUT = frozenset({OrderOutcome.ACCEPTED, OrderOutcome.SUPERSEDED})
# Outcomes after which the order would be rejected each time.
POINTLESS = frozenset({OrderOutcome.FENCED, OrderOutcome.OTHER_LIFETIME})
# Outcomes which show that no earlier try of the same start will still be carried out by
# the lifetime that has answered. A later one may carry it out.
FINAL_OUTCOMES = frozenset(
    {
        OrderOutcome.ACCEPTED,
        OrderOutcome.SUPERSEDED,
        OrderOutcome.TOO_LATE,
        OrderOutcome.FENCED,
        OrderOutcome.OTHER_LIFETIME,
    }
)

# Longest wait until it is stored that a try of a start was not answered.
REPEAT_WAIT_MS = 1000
# Longest wait for the answers to starts before a hold call that acknowledges ends.
STARTS_WAIT_MS = TRY_TIMEOUTS_MS[0]

# Name and number of a run.
RunKey = tuple[str, int]


@dataclass(slots=True)
class BackendLink:
    """Sends orders to one lifetime of a backend server and renews its task lease.

    The lease is renewed only while the backend server runs, or is expected to run,
    tasks, or has ended runs that are not acknowledged.

    A call without an answer may be carried out late, by the next lifetime too. An
    acknowledgement would then make that one forget the end of a run that a late start
    has begun there. So the two are never open together: a start has a higher fencing
    token than the acknowledgements before it, which are rejected once the start is
    carried out, and nothing is acknowledged while a start is open.
    """

    client: BackendClient
    backend_id: str
    born_ms: int
    hold_max_ms: int
    report: Callable[[object], object]
    # Return whether starts and stops may be sent, and whether leases may be extended.
    may_order: Callable[[], bool]
    may_hold: Callable[[], bool]
    # Fencing token of the latest calls.
    fencing_token: int = 0
    inbox: Mailbox = field(default_factory=lambda: Mailbox(4096))
    clock: LeaseClock = field(init=False)
    # Whether the backend server did not answer the last calls.
    is_contact_lost: bool = False
    # Cleared while it is checked whether contact is lost. Starts wait for it: those
    # sent after a crash would hide which start came right before it.
    contact_checked: asyncio.Event = field(default_factory=asyncio.Event)
    # Number of successive hold calls that were refused.
    refused_holds: int = 0
    # Whether the last report listed a run, or an order was sent after it.
    busy: bool = True
    # Whether the scheduler has tasks on this backend server.
    expected: bool = False
    # Whether the scheduler waits for a report on a run.
    report_soon: bool = False
    starts_in_progress: set[RunKey] = field(default_factory=set)
    # Set once a start of which a try was not answered may be repeated, by its run.
    repeatable_by_run: dict[RunKey, asyncio.Event] = field(default_factory=dict)
    # Set while no start is in progress.
    starts_answered: asyncio.Event = field(default_factory=asyncio.Event)
    # Local time until which a start without an answer may be carried out.
    start_open_until_ms: int = 0
    # Starts in progress whose run has been stopped, so that they are not repeated.
    withdrawn_starts: set[RunKey] = field(default_factory=set)
    stops_in_progress: set[RunKey] = field(default_factory=set)
    # Latest pace that is not carried out yet, by run.
    paces_by_run: dict[RunKey, int] = field(default_factory=dict)
    # Number of the last end of a run that was stored, of the last that the backend
    # server reported, and of the last that was acknowledged to the backend server.
    stored_end: int = 0
    seen_end: int = 0
    acknowledged_end: int = 0
    # Set when there is a reason to make the next hold call at once.
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    # Asyncio tasks that send orders.
    running: set[asyncio.Task] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Creates the lease clock, which has no reading yet."""
        self.contact_checked.set()
        self.starts_answered.set()
        self.clock = LeaseClock(now_ms(), self.hold_max_ms)

    async def run(self) -> None:
        """Carries out commands and renews the lease until its task is cancelled."""
        holding = asyncio.create_task(self._hold_forever())
        try:
            while True:
                message = await self.inbox.receive()
                if isinstance(message, EndsStored):
                    self.stored_end = max(self.stored_end, message.number)
                    self.wake.set()
                    continue
                if isinstance(message, TasksExpected):
                    self.expected = message.expected
                    self.report_soon = message.report_soon
                    self.wake.set()
                    continue
                if isinstance(message, RepeatStart):
                    self._allow_repeat((message.task_name, message.run))
                    continue
                if isinstance(message, StartTask):
                    self._expect_start(message)
                task = asyncio.create_task(self._carry_out(message))
                self.running.add(task)
                task.add_done_callback(self.running.discard)
        finally:
            holding.cancel()
            for task in self.running:
                task.cancel()
            self.client.close()

    def _expect_start(self, message: StartTask) -> None:
        """Keeps a start and acknowledgements from being open together."""
        self.starts_in_progress.add((message.order.task_name, message.order.run))
        self.starts_answered.clear()
        if message.fencing_token > self.fencing_token:
            self.fencing_token = message.fencing_token
            self.client.use_token(message.fencing_token)

    def _allow_repeat(self, key: RunKey) -> None:
        event = self.repeatable_by_run.get(key)
        if event is not None:
            event.set()

    async def _wait_until_stored(self, key: RunKey, unanswered_ms: int) -> bool:
        """Waits until it is stored that the first try of a start was not answered.

        Returns whether the start may be repeated. So the next leader knows, of each run
        that it finds without that record, that no further try of its start is open.
        """
        stored = self.repeatable_by_run[key] = asyncio.Event()
        self.report(
            StartUnanswered(
                backend_id=self.backend_id,
                born_ms=self.born_ms,
                task_name=key[0],
                run=key[1],
                unanswered_ms=unanswered_ms,
            )
        )
        try:
            async with asyncio.timeout(seconds(REPEAT_WAIT_MS)):
                await stored.wait()
        except TimeoutError:
            return False
        finally:
            del self.repeatable_by_run[key]
        return True

    def _is_overtaken(self, outcome: OrderOutcome, token: int) -> bool:
        """Whether a call was rejected because a later one of this link came first.

        `token` is the fencing token of the call, which had no effect.
        """
        return outcome is OrderOutcome.FENCED and token < self.fencing_token

    async def _carry_out(self, message: object) -> None:
        try:
            await self._send_order(message)
        except Exception as error:
            log_unexpected_error('order', error, backend_id=self.backend_id)

    async def _send_order(self, message: object) -> None:
        if isinstance(message, StartTask):
            await self._start(message)
        elif isinstance(message, StopTask):
            await self._stop(message)
        elif isinstance(message, PaceTask):
            await self._pace(message)

    async def _start(self, message: StartTask) -> None:
        """Sends a start, if need be repeatedly, and reports its outcome."""
        key = (message.order.task_name, message.order.run)
        # After an unexpected error, the start may have been carried out.
        finished = self._start_finished(
            message, OrderOutcome.NO_ANSWER, unanswered_ms=now_ms()
        )
        try:
            finished = await self._try_start(message, key)
        finally:
            self._report_start(key, finished)

    async def _try_start(self, message: StartTask, key: RunKey) -> StartFinished:
        """Returns the outcome of a start, and the deadline of its last try.

        The deadline is on the backend server's clock; a try that arrives after it is
        rejected.
        """
        outcome = OrderOutcome.NOT_SENT
        deadline = unanswered_ms = 0
        is_later_lifetime = False
        for timeout_ms in TRY_TIMEOUTS_MS:
            await self.contact_checked.wait()
            if key in self.withdrawn_starts or not self._may_start():
                break
            sent_ms = now_ms()
            deadline = self.clock.extend(sent_ms, self._lease_ms())
            token = self.fencing_token
            answer = await self.client.start(message.order, deadline, timeout_ms)
            outcome = answer.outcome
            if self._is_overtaken(outcome, token):
                outcome = OrderOutcome.NOT_SENT
            is_later_lifetime = answer.clock_ms >= 0 and self.clock.shows_restart(
                answer.clock_ms, sent_ms
            )
            if outcome is OrderOutcome.NO_ANSWER:
                is_first, unanswered_ms = not unanswered_ms, now_ms()
                self.start_open_until_ms = unanswered_ms + LATE_CALL_MS
                if is_first and not await self._wait_until_stored(key, unanswered_ms):
                    break
            if outcome not in (
                OrderOutcome.NO_ANSWER,
                OrderOutcome.NOT_SENT,
                OrderOutcome.TOO_LATE,
            ):
                break
        if unanswered_ms and outcome not in FINAL_OUTCOMES:
            # An earlier try may have been carried out or may still be.
            outcome = OrderOutcome.NO_ANSWER
        return self._start_finished(
            message, outcome, deadline, is_later_lifetime, unanswered_ms
        )

    def _start_finished(
        self,
        message: StartTask,
        outcome: OrderOutcome,
        deadline_ms: int = 0,
        is_later_lifetime: bool = False,
        unanswered_ms: int = 0,
    ) -> StartFinished:
        return StartFinished(
            backend_id=self.backend_id,
            born_ms=self.born_ms,
            task_name=message.order.task_name,
            run=message.order.run,
            outcome=outcome,
            deadline_ms=deadline_ms,
            is_later_lifetime=is_later_lifetime,
            unanswered_ms=unanswered_ms,
        )

    def _may_start(self) -> bool:
        return not self.is_contact_lost and self.clock.known and self.may_order()

    def _report_start(self, key: RunKey, finished: StartFinished) -> None:
        self.starts_in_progress.discard(key)
        if not self.starts_in_progress:
            self.starts_answered.set()
        self.withdrawn_starts.discard(key)
        self.busy = True
        self.wake.set()
        self.report(finished)

    async def _stop(self, message: StopTask) -> None:
        """Sends a stop until the backend server has carried it out.

        A refusal says that nothing was done, so the run may still start. Only one stop
        of a run is in progress at a time.
        """
        key = (message.task_name, message.run)
        if key in self.starts_in_progress:
            self.withdrawn_starts.add(key)
            self._allow_repeat(key)
        if key in self.stops_in_progress:
            return
        self.stops_in_progress.add(key)
        self.busy = True
        self.wake.set()
        try:
            outcome = await self._repeat(
                'stop',
                key,
                lambda timeout_ms: self.client.stop(*key, timeout_ms),
            )
        finally:
            self.stops_in_progress.discard(key)
        if outcome in CARRIED_OUT:
            self.report(
                StopFinished(
                    backend_id=self.backend_id,
                    born_ms=self.born_ms,
                    task_name=message.task_name,
                    run=message.run,
                )
            )

    async def _pace(self, message: PaceTask) -> None:
        """Sends the latest pace of a run until the backend server carries it out.

        A lasting refusal ends it, since the run may have ended meanwhile.
        """
        key = (message.task_name, message.run)
        in_progress = key in self.paces_by_run
        self.paces_by_run[key] = message.percent
        if in_progress:
            return
        try:
            await self._repeat(
                'pace',
                key,
                lambda timeout_ms: self._send_pace(key, timeout_ms),
                until_refused=True,
            )
        finally:
            self.paces_by_run.pop(key, None)

    async def _send_pace(self, key: RunKey, timeout_ms: int) -> OrderOutcome:
        percent = self.paces_by_run[key]
        outcome = await self.client.pace(*key, percent, timeout_ms)
        if outcome in CARRIED_OUT and self.paces_by_run[key] != percent:
            return OrderOutcome.NOT_SENT
        return outcome

    async def _repeat(
        self,
        order: str,
        key: RunKey,
        send: Callable[[int], Awaitable[OrderOutcome]],
        until_refused: bool = False,
    ) -> OrderOutcome:
        """Repeats an order until it is carried out or would always be rejected.

        `send` makes one try, with a time limit in ms. With `until_refused`, a refusal
        that does not pass by itself ends the tries too.
        """
        is_logged = False
        pause_ms = REPEAT_PAUSE_MS
        timeouts_ms = iter(TRY_TIMEOUTS_MS)
        while True:
            if self.may_order() and not self.is_contact_lost:
                token = self.fencing_token
                outcome = await send(next(timeouts_ms, ORDER_TIMEOUT_MS))
                if self._is_overtaken(outcome, token):
                    continue
                if outcome in CARRIED_OUT or outcome in POINTLESS:
                    return outcome
                if not is_logged:
                    is_logged = True
                    self._log_repeated(order, key, outcome)
                if outcome not in PASSING_OUTCOMES:
                    if until_refused:
                        return outcome
                    pause_ms = min(2 * pause_ms, MAX_REPEAT_PAUSE_MS)
            await asyncio.sleep(seconds(pause_ms))

    def _log_repeated(self, order: str, key: RunKey, outcome: OrderOutcome) -> None:
        log_event(
            Event.ORDER_REPEATED,
            order=order,
            task=key[0],
            run=key[1],
            backend_id=self.backend_id,
            outcome=outcome.value,
        )

    def _end_to_acknowledge(self) -> int:
        """Returns the number of the last end to acknowledge; 0 if none is new.

        The call may reach a later lifetime, which numbers its ends from 1 and would
        forget those up to this number. So nothing is acknowledged again, and nothing
        while a start may be carried out late, unless so many ends wait that the report
        might not list the next ones.
        """
        is_new = self.stored_end > self.acknowledged_end
        is_open = self.starts_in_progress or now_ms() < self.start_open_until_ms
        is_late = self.seen_end - self.acknowledged_end >= MAX_WITHHELD_ENDS
        return self.stored_end if is_new and (is_late or not is_open) else 0

    def _wait_ms(self) -> int:
        if self.report_soon:
            return SOON_WAIT_MS
        return HOLD_WAIT_MS if self.busy else UNLISTED_WAIT_MS

    def _lease_ms(self) -> int:
        return task_lease_ms(self.hold_max_ms)

    async def _hold_forever(self) -> None:
        while True:
            if not self.may_hold():
                await asyncio.sleep(seconds(PROBE_PAUSE_MS))
                continue
            if self._is_idle():
                await self._wait(HOLD_WAIT_MS)
                continue
            try:
                await self._hold_once()
            except Exception as error:
                log_unexpected_error('hold', error, backend_id=self.backend_id)
                await asyncio.sleep(seconds(PROBE_PAUSE_MS))

    def _is_idle(self) -> bool:
        if self.is_contact_lost or not self.clock.known:
            return False
        unacknowledged = self.acknowledged_end < self.stored_end
        return not (
            self.busy
            or self.expected
            or self.report_soon
            or self.starts_in_progress
            or unacknowledged
        )

    async def _hold_once(self) -> None:
        """Makes one hold call and reports its answer, or that contact is lost.

        Without contact, the call is a probe, which does not extend the lease.
        """
        probing = self.is_contact_lost or not self.clock.known
        if self.stored_end > self.acknowledged_end and not probing:
            await self._wait_for_starts()
        sent_ms = now_ms()
        # Without contact, the scheduler may give up the tasks of the backend server
        # once their lease expires, so a probe must not extend it.
        deadline = 0 if probing else self.clock.extend(sent_ms, self._lease_ms())
        wait_ms = 0 if probing else self._wait_ms()
        acknowledged = 0 if probing else self._end_to_acknowledge()
        token = self.fencing_token
        result = await self.client.hold(
            deadline, acknowledged, wait_ms, ORDER_TIMEOUT_MS
        )
        failed_ms = now_ms()
        if isinstance(result, Err) and self._is_overtaken(result.err_value, token):
            return
        if isinstance(result, Err) and not probing:
            self.contact_checked.clear()
            try:
                result = await self._check_contact(result)
            finally:
                self.is_contact_lost = isinstance(result, Err) and _is_silent(result)
                self.contact_checked.set()
        if isinstance(result, Err):
            await self._handle_failed_hold(result.err_value, probing, failed_ms)
            return
        self.refused_holds = 0
        received_ms = now_ms()
        report = result.ok_value
        if report.born_ms and self.born_ms and report.born_ms != self.born_ms:
            # The scheduler learns from the report which lifetime has answered instead.
            self.is_contact_lost = True
            self._report_hold(report, sent_ms, received_ms)
            await asyncio.sleep(seconds(PROBE_PAUSE_MS))
            return
        self.clock.read(report.clock_ms, received_ms)
        self.is_contact_lost = False
        self.acknowledged_end = max(self.acknowledged_end, acknowledged)
        new_ends = [end for end in report.ended if end.number > self.seen_end]
        self.seen_end = max([self.seen_end, *(end.number for end in new_ends)])
        self.busy = bool(report.running) or probing
        self._report_hold(report, sent_ms, received_ms)
        if new_ends or self.seen_end > self.acknowledged_end:
            self.wake.clear()
            await self._wait(STORED_WAIT_MS)
        await asyncio.sleep(seconds(HOLD_PAUSE_MS))

    def _report_hold(self, report: HoldReport, sent_ms: int, received_ms: int) -> None:
        self.report(
            HoldAnswered(
                backend_id=self.backend_id,
                born_ms=self.born_ms,
                sent_ms=sent_ms,
                received_ms=received_ms,
                report=report,
                acknowledged_end=self.acknowledged_end,
            )
        )

    async def _wait_for_starts(self) -> None:
        """Waits for the answers to starts in progress, which usually come at once."""
        try:
            async with asyncio.timeout(seconds(STARTS_WAIT_MS)):
                await self.starts_answered.wait()
        except TimeoutError:
            return

    async def _check_contact(
        self, result: Err[OrderOutcome]
    ) -> Result[HoldReport, OrderOutcome]:
        """Repeats a hold call that was not answered, on other connections.

        One lost answer is no loss of contact. The lease is not extended, so that it
        expires as early as without these calls. An attempt to connect that fails at
        once shows that nothing listens there.
        """
        for timeout_ms in CHECK_TIMEOUTS_MS:
            if result.err_value is not OrderOutcome.NO_ANSWER:
                break
            token = self.fencing_token
            checked = await self.client.hold(0, 0, 0, timeout_ms)
            if isinstance(checked, Ok):
                return checked
            if not self._is_overtaken(checked.err_value, token):
                result = checked
        return result

    async def _handle_failed_hold(
        self, outcome: OrderOutcome, probing: bool, failed_ms: int
    ) -> None:
        """Reports that contact is lost, unless a refusal shows that it is not."""
        refused = outcome not in SILENT_OUTCOMES and outcome not in POINTLESS
        self.refused_holds = self.refused_holds + 1 if refused else 0
        if refused and not probing and self.refused_holds < MAX_REFUSED_HOLDS:
            await asyncio.sleep(seconds(REFUSED_PAUSE_MS))
            return
        self._report_contact_lost(outcome, failed_ms)
        await asyncio.sleep(seconds(0 if not probing else PROBE_PAUSE_MS))

    async def _wait(self, duration_ms: int) -> None:
        """Waits up to a duration for `wake`, then clears it."""
        try:
            async with asyncio.timeout(seconds(duration_ms)):
                await self.wake.wait()
        except TimeoutError:
            return
        finally:
            self.wake.clear()

    def _report_contact_lost(self, outcome: OrderOutcome, lost_at_ms: int) -> None:
        self.is_contact_lost = True
        self.report(
            ContactLost(
                backend_id=self.backend_id,
                born_ms=self.born_ms,
                outcome=outcome,
                lapses_at_ms=self.clock.expiry_ms(),
                lost_at_ms=lost_at_ms,
            )
        )


def _is_silent(failed: Err[OrderOutcome]) -> bool:
    return failed.err_value in SILENT_OUTCOMES
