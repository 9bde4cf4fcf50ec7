"""In-memory backend servers that follow the platform's protocol."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.jobs._generated import (
    EndedTask,
    EndReason,
    HoldReport,
    OrderOutcome,
    Resources,
    RunningTask,
    StartAnswer,
    StartOrder,
)

# Limit of the time from a call until the end of the lease that the call sets.
HOLD_MAX_MS = 6000
# Time from a stop order to the end of the run.
STOP_DURATION_MS = 200
# One-way delay of a call or an answer.
NETWORK_DELAY_MS = 1
# Interval at which a waiting hold call looks for ended tasks.
POLL_INTERVAL_MS = 5
# Time from the start of a task that crashes its backend server to the crash.
CRASH_DELAY_MS = 10
# Payload of tasks that run until they are stopped.
LASTING_PAYLOAD = 'lasting'
# Payload of tasks that take longer than others, and how many times as long.
LONG_PAYLOAD = 'long'
LONG_FACTOR = 10
# Duration that no experiment reaches.
UNLIMITED_MS = 10**9
# Delay of a call that is carried out late.
LATE_DELAY_RANGE_MS = (2000, 12_000)
# Steps of that delay: seeds of former experiments draw from as many numbers.
LATE_DELAY_STEPS = 7000


def _late_delay_ms(rng: random.Random) -> int:
    low, high = LATE_DELAY_RANGE_MS
    return low + (high - low) * rng.randint(0, LATE_DELAY_STEPS) // LATE_DELAY_STEPS


@dataclass(slots=True)
class Run:
    """One run of a task on a backend server."""

    task_name: str
    run: int
    started_ms: int
    duration_ms: int
    fails: bool
    stop_at_ms: int = 0


@dataclass(slots=True, frozen=True)
class LateCall:
    """A call without an answer that is still on its way to a backend server."""

    sent_ms: int
    # Lifetime of the backend server in which it was sent, counted from 1.
    lifetime: int
    carry_out: Callable[[], object]


@dataclass(slots=True, frozen=True)
class LateStart:
    """A start that was carried out late, and the lifetime that did so."""

    call: LateCall
    lifetime: int
    # Time of the begin of that lifetime.
    born_ms: int


@dataclass(slots=True, frozen=True)
class AcknowledgedEnd:
    """An end that counts as acknowledged, with the times of its run."""

    end: EndedTask
    started_ms: int
    ended_ms: int
    # Whether a hold call acknowledged it that was carried out late.
    by_late_call: bool


@dataclass(slots=True)
class Backend:
    """State of one backend server over all of its lifetimes.

    Lists of starts, done tasks and acknowledged ends cover all lifetimes, since
    the oracle checks them at the end of an experiment.
    """

    backend_id: str
    service: str
    zone: str
    rng: random.Random
    room: Resources
    born_ms: int = 1
    # Number of its last entry in the registry.
    entry_number: int = 0
    up: bool = True
    # Number of the current lifetime, or of the last one if the server is down.
    lifetime: int = 1
    # Calls on their way that the next lifetime takes when it begins.
    waiting_calls: list[LateCall] = field(default_factory=list)
    # Decides which calls that do not reach the server are carried out late.
    late_rng: random.Random = field(default_factory=lambda: random.Random(0))
    # Share of the calls that are carried out late, if that of the fleet is lower.
    late_share: float = 0.0
    # Share of the hold calls with an acknowledgement that are carried out late.
    late_hold_share: float = 0.0
    # Share of the calls that it refuses as unhealthy, without any effect.
    refused_share: float = 0.0
    fence: int = 0
    deadline_ms: int = 0
    runs_by_name: dict[str, Run] = field(default_factory=dict)
    # Highest run number of each task that may no longer start here. Lower runs may not
    # start either.
    barred_by_name: dict[str, int] = field(default_factory=dict)
    # Ends that have not been acknowledged yet.
    ends: list[EndedTask] = field(default_factory=list)
    # Begin and end of the run of each of them, by the number of the end.
    run_times_ms_by_end: dict[int, tuple[int, int]] = field(default_factory=dict)
    next_end: int = 1
    # Number of the last end that happened before or when the lease expired.
    last_expired_end: int = 0
    # Every start in any lifetime: time, task, run.
    starts: list[tuple[int, str, int]] = field(default_factory=list)
    # Those of them that were carried out late.
    late_starts: dict[tuple[int, str, int], LateStart] = field(default_factory=dict)
    # Tasks that ended as done on any backend server of the fleet.
    done_task_names: set[str] = field(default_factory=set)
    # Number of runs of each task that failed in any lifetime.
    failed_runs_by_name: dict[str, int] = field(default_factory=dict)
    # Tasks that crash each backend server on which they start, and the time, task and
    # run of each such crash that has not been carried out yet.
    deadly_task_names: set[str] = field(default_factory=set)
    crashing: list[tuple[int, str, int]] = field(default_factory=list)
    # Ends acknowledged under the highest fencing token, in any lifetime.
    acknowledged: list[AcknowledgedEnd] = field(default_factory=list)
    fails_all: bool = False
    # Whether running tasks make no progress. They end only by a stop order, an expired
    # lease or a crash.
    is_stalled: bool = False
    # Share of the runs that fail.
    fail_share: float = 0.0
    # Mean duration of a run, unless its payload is `LASTING_PAYLOAD` or `LONG_PAYLOAD`.
    mean_ms: int = 400
    # Called with the task and the run of each start, when it is carried out.
    on_start: Callable[[str, int], None] | None = None
    # Host of the backend server in the platform's list.
    host_id: str = ''
    labels: list[str] = field(default_factory=list)

    def clock(self) -> int:
        """Returns the time in milliseconds since the start of this lifetime."""
        return now_ms() - self.born_ms

    def advance(self) -> None:
        """Ends the runs that are due, or every run if the lease has expired."""
        now = now_ms()
        if self.clock() >= self.deadline_ms:
            for name in list(self.runs_by_name):
                self._end(name, EndReason.LAPSED)
            # By the protocol, an end does not count as acknowledged if the lease
            # expired between the end and its acknowledgement.
            self.last_expired_end = self.next_end - 1
        for run in list(self.runs_by_name.values()):
            if run.stop_at_ms and now >= run.stop_at_ms:
                self._end(run.task_name, EndReason.STOPPED)
            elif not self.is_stalled and now >= run.started_ms + run.duration_ms:
                reason = EndReason.FAILED if run.fails else EndReason.DONE
                self._end(run.task_name, reason)

    def _end(self, name: str, reason: EndReason) -> None:
        if reason is EndReason.DONE:
            self.done_task_names.add(name)
        elif reason is EndReason.FAILED:
            count = self.failed_runs_by_name.get(name, 0)
            self.failed_runs_by_name[name] = count + 1
        run = self.runs_by_name.pop(name)
        self.barred_by_name[name] = max(run.run, self.barred_by_name.get(name, 0))
        self.ends.append(
            EndedTask(number=self.next_end, task_name=name, run=run.run, reason=reason)
        )
        self.run_times_ms_by_end[self.next_end] = (run.started_ms, now_ms())
        self.next_end += 1

    def crash(self) -> None:
        """Ends the lifetime and drops its runs and unacknowledged ends."""
        self.up = False
        self.crashing.clear()
        self.runs_by_name.clear()
        self.barred_by_name.clear()
        self.ends.clear()
        self.run_times_ms_by_end.clear()

    def restart(self) -> None:
        """Starts a new lifetime without a lease, fencing token or numbered ends."""
        self.up = True
        self.lifetime += 1
        self.born_ms = now_ms()
        self.fence = self.deadline_ms = self.entry_number = 0
        self.next_end = 1
        self.last_expired_end = 0
        calls, self.waiting_calls = self.waiting_calls, []
        for call in calls:
            if now_ms() < call.sent_ms + LATE_DELAY_RANGE_MS[1]:
                loop = asyncio.get_running_loop()
                loop.call_later(seconds(NETWORK_DELAY_MS), self.carry_out_late, call)

    def carry_out_late(self, call: LateCall) -> None:
        """Carries out a call on its way, in whichever lifetime is up.

        All lifetimes have the same id, so a later one takes a call that was meant for
        a former one. If none is up, the next one takes it, unless that begins only
        after the longest delay.
        """
        if self.up:
            starts, ends = len(self.starts), len(self.acknowledged)
            call.carry_out()
            for start in self.starts[starts:]:
                self.late_starts[start] = LateStart(call, self.lifetime, self.born_ms)
            self.acknowledged[ends:] = [
                replace(end, by_late_call=True) for end in self.acknowledged[ends:]
            ]
        else:
            self.waiting_calls.append(call)

    def accept_token(self, token: int) -> bool:
        """Records a fencing token; returns False if a higher one is known."""
        self.advance()
        if token < self.fence:
            return False
        self.fence = token
        return True

    def extend_lease(self, deadline_ms: int) -> None:
        """Extends the lease to at most `HOLD_MAX_MS` from now; never shortens it."""
        limit = self.clock() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderOutcome:
        """Starts a run if its token, deadline and the task's other runs allow it."""
        if not self.accept_token(token):
            return OrderOutcome.FENCED
        if deadline_ms <= self.clock():
            return OrderOutcome.TOO_LATE
        self.extend_lease(deadline_ms)
        name, run = order.task_name, order.run
        current = self.runs_by_name.get(name)
        if current is not None and current.run == run:
            return OrderOutcome.ACCEPTED
        if current is not None or run <= self.barred_by_name.get(name, 0):
            return OrderOutcome.SUPERSEDED
        fails = self.fails_all or self.rng.random() < self.fail_share
        duration = int(self.mean_ms * self.rng.uniform(0.5, 1.5))
        if order.payload == LASTING_PAYLOAD:
            duration = UNLIMITED_MS
        elif order.payload == LONG_PAYLOAD:
            duration *= LONG_FACTOR
        now = now_ms()
        self.runs_by_name[name] = Run(name, run, now, duration, fails)
        self.starts.append((now, name, run))
        if self.on_start is not None:
            self.on_start(name, run)
        if name in self.deadly_task_names:
            self.crashing.append((now + CRASH_DELAY_MS, name, run))
        return OrderOutcome.ACCEPTED

    def stop(self, name: str, run: int, token: int) -> OrderOutcome:
        """Stops a run, or bars it from starting later if it does not run."""
        if not self.accept_token(token):
            return OrderOutcome.FENCED
        current = self.runs_by_name.get(name)
        if current is not None and current.run <= run:
            current.stop_at_ms = current.stop_at_ms or now_ms() + STOP_DURATION_MS
        else:
            self.barred_by_name[name] = max(run, self.barred_by_name.get(name, 0))
        return OrderOutcome.ACCEPTED

    def hold(
        self, deadline_ms: int, acknowledged_end: int, token: int
    ) -> HoldReport | None:
        """Extends the lease, records acknowledgements and returns the report.

        Returns None if the fencing token is too low.
        """
        if not self.accept_token(token):
            return None
        if deadline_ms:
            self.extend_lease(deadline_ms)
        self.acknowledged += [
            AcknowledgedEnd(e, *self.run_times_ms_by_end[e.number], by_late_call=False)
            for e in self.ends
            if self.last_expired_end < e.number <= acknowledged_end
        ]
        self.ends = [e for e in self.ends if e.number > acknowledged_end]
        return self.hold_report()

    def describe_start(self, start: tuple[int, str, int]) -> str:
        """Returns the server and the run of a start, and whether it came late."""
        text = f'{self.backend_id} run {start[2]}'
        late = self.late_starts.get(start)
        if late is None:
            return text
        return (
            f'{text} (carried out late at {start[0]} in lifetime {late.lifetime} since '
            f'{late.born_ms}, sent at {late.call.sent_ms} in lifetime '
            f'{late.call.lifetime})'
        )

    def _percent(self, run: Run, now: int) -> int:
        if self.is_stalled:
            return 0
        if run.duration_ms == UNLIMITED_MS:
            return 100
        return min(99, 100 * (now - run.started_ms) // run.duration_ms)

    def hold_report(self) -> HoldReport:
        """Returns the running tasks and the ends that are not acknowledged."""
        now = now_ms()
        return HoldReport(
            clock_ms=self.clock(),
            born_ms=self.born_ms,
            running=[
                RunningTask(
                    task_name=run.task_name,
                    run=run.run,
                    percent=self._percent(run, now),
                )
                for run in self.runs_by_name.values()
            ],
            ended=list(self.ends),
        )


@dataclass(slots=True)
class BackendClient:
    """Client of one backend server for one process, with its latest fencing token.

    Single-element lists hold values that the fleet changes during an experiment.
    """

    backend: Backend
    token: int
    # Pairs of process and backend server between which all traffic is lost.
    cut_paths: set[tuple[str, str]]
    member_id: str
    alive: list[bool]
    # Share of the orders that are not answered and are carried out late. Of the calls
    # that do not reach the server, hold calls among them, as many are on their way.
    late_share: list[float]

    def use_token(self, fencing_token: int) -> None:
        """Sets the fencing token of all further calls."""
        self.token = fencing_token

    def _is_reachable(self) -> bool:
        pair = (self.member_id, self.backend.backend_id)
        return self.backend.up and pair not in self.cut_paths

    async def _deliver_call(self, call: LateCall, timeout_ms: int) -> bool:
        if not self._is_reachable():
            self._keep_on_its_way(call)
            await asyncio.sleep(seconds(timeout_ms))
            return False
        await asyncio.sleep(seconds(NETWORK_DELAY_MS))
        if not self.backend.up:
            self._keep_on_its_way(call)
        return self.backend.up

    def _keep_on_its_way(self, call: LateCall) -> None:
        """Lets a call that does not reach the server arrive late, or drops it."""
        rng = self.backend.late_rng
        if rng.random() >= self._late_share():
            return
        if self.backend.up:
            self._delay(call, _late_delay_ms(rng))
        else:
            self.backend.carry_out_late(call)

    def _is_refused(self) -> bool:
        share = self.backend.refused_share
        return share > 0 and self.backend.rng.random() < share

    def _late_share(self) -> float:
        return max(self.late_share[0], self.backend.late_share)

    def _is_late(self) -> bool:
        return self.backend.rng.random() < self._late_share()

    async def _send_order(self, timeout_ms: int, carry_out) -> OrderOutcome:
        call = LateCall(now_ms(), self.backend.lifetime, carry_out)
        if not await self._deliver_call(call, timeout_ms):
            return OrderOutcome.NO_ANSWER
        if self._is_refused():
            return OrderOutcome.UNHEALTHY
        if self._is_late():
            self._delay(call, _late_delay_ms(self.backend.rng))
            await asyncio.sleep(seconds(timeout_ms))
            return OrderOutcome.NO_ANSWER
        outcome = carry_out()
        await asyncio.sleep(seconds(NETWORK_DELAY_MS))
        return outcome if self._is_reachable() else OrderOutcome.NO_ANSWER

    def _is_late_hold(self) -> bool:
        # Seeds of experiments without late holds draw as many numbers as before.
        share = self.backend.late_hold_share
        return share > 0 and self.backend.late_rng.random() < share

    def _delay(self, call: LateCall, delay_ms: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds(delay_ms), self.backend.carry_out_late, call)

    async def start(
        self, order: StartOrder, deadline_ms: int, timeout_ms: int
    ) -> StartAnswer:
        """Sends an order to start a run."""
        backend, token = self.backend, self.token
        outcome = await self._send_order(
            timeout_ms, lambda: backend.start(order, deadline_ms, token)
        )
        answered = outcome is not OrderOutcome.NO_ANSWER
        return StartAnswer(
            outcome=outcome, clock_ms=backend.clock() if answered else -1
        )

    async def stop(self, task_name: str, run: int, timeout_ms: int) -> OrderOutcome:
        """Sends an order to stop a run."""
        backend, token = self.backend, self.token
        return await self._send_order(
            timeout_ms, lambda: backend.stop(task_name, run, token)
        )

    async def pace(
        self, task_name: str, run: int, percent: int, timeout_ms: int
    ) -> OrderOutcome:
        """Accepts every pace order without any effect."""
        return OrderOutcome.ACCEPTED

    async def hold(
        self, deadline_ms: int, acknowledged_end: int, wait_ms: int, timeout_ms: int
    ) -> Result[HoldReport, OrderOutcome]:
        """Renews the lease and waits up to `wait_ms` for an ended task."""
        backend, token = self.backend, self.token
        call = LateCall(
            now_ms(),
            backend.lifetime,
            lambda: backend.hold(deadline_ms, acknowledged_end, token),
        )
        if not await self._deliver_call(call, timeout_ms):
            return Err(OrderOutcome.NO_ANSWER)
        if self._is_refused():
            return Err(OrderOutcome.UNHEALTHY)
        if acknowledged_end and self._is_late_hold():
            self._delay(call, _late_delay_ms(backend.late_rng))
            await asyncio.sleep(seconds(timeout_ms + wait_ms))
            return Err(OrderOutcome.NO_ANSWER)
        report = backend.hold(deadline_ms, acknowledged_end, token)
        if report is None:
            return Err(OrderOutcome.FENCED)
        before = self.backend.next_end
        until = now_ms() + wait_ms
        while now_ms() < until and not report.ended:
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))
            if not self._is_reachable():
                return Err(OrderOutcome.NO_ANSWER)
            self.backend.advance()
            if self.backend.next_end != before:
                break
        return Ok(self.backend.hold_report())

    def close(self) -> None:
        """Does nothing, since the client has no connections."""
