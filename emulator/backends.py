"""Backend servers in memory that keep the rules of the platform's protocol."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.jobs._generated import (
    EndedTask,
    EndReason,
    HoldReport,
    OrderOutcome,
    Resources,
    RunningTask,
    StartOrder,
)

HOLD_MAX_MS = 6000
STOP_MS = 200
ANSWER_MS = 1
POLL_MS = 5
LATE_MS = (1000, 8000)


@dataclass(slots=True)
class Run:
    """A run of a task."""

    task_name: str
    run: int
    started_ms: int
    duration_ms: int
    fails: bool
    stop_at_ms: int = 0


@dataclass(slots=True)
class Backend:
    """One backend server over all of its lifetimes."""

    backend_id: str
    service: str
    zone: str
    rng: random.Random
    room: Resources
    born_ms: int = 1
    up: bool = True
    fence: int = 0
    deadline_ms: int = 0
    runs_by_name: dict[str, Run] = field(default_factory=dict)
    barred_by_name: dict[str, int] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)
    next_end: int = 1
    lapsed_end: int = 0
    # Every start ever made here: time, task, run.
    starts: list[tuple[int, str, int]] = field(default_factory=list)
    # Tasks that have ever ended as done here.
    done_names: set[str] = field(default_factory=set)
    # Ends that were acknowledged by a holder of the highest token.
    acknowledged: list[EndedTask] = field(default_factory=list)
    fails_all: bool = False
    stands_still: bool = False
    fail_share: float = 0.0
    mean_ms: int = 400

    def clock(self) -> int:
        """Returns the time since the start of this lifetime."""
        return now_ms() - self.born_ms

    def advance(self) -> None:
        """Ends runs that are due, and all of them if the lease has lapsed."""
        now = now_ms()
        if self.clock() >= self.deadline_ms:
            for name in list(self.runs_by_name):
                self._end(name, EndReason.LAPSED)
            # The protocol does not count an end as taken note of if the lease
            # lapsed between the end and its acknowledgement.
            self.lapsed_end = self.next_end - 1
        for run in list(self.runs_by_name.values()):
            if run.stop_at_ms and now >= run.stop_at_ms:
                self._end(run.task_name, EndReason.STOPPED)
            elif not self.stands_still and now >= run.started_ms + run.duration_ms:
                reason = EndReason.FAILED if run.fails else EndReason.DONE
                self._end(run.task_name, reason)

    def _end(self, name: str, reason: EndReason) -> None:
        if reason is EndReason.DONE:
            self.done_names.add(name)
        run = self.runs_by_name.pop(name)
        self.barred_by_name[name] = max(run.run, self.barred_by_name.get(name, 0))
        self.ends.append(
            EndedTask(number=self.next_end, task_name=name, run=run.run, reason=reason)
        )
        self.next_end += 1

    def crash(self) -> None:
        """Ends the lifetime without a trace."""
        self.up = False
        self.runs_by_name.clear()
        self.barred_by_name.clear()
        self.ends.clear()

    def restart(self) -> None:
        """Begins a lifetime that knows nothing."""
        self.up = True
        self.born_ms = now_ms()
        self.fence = self.deadline_ms = 0
        self.next_end = 1
        self.lapsed_end = 0

    def admits(self, token: int) -> bool:
        """Checks a fencing token and keeps the highest."""
        self.advance()
        if token < self.fence:
            return False
        self.fence = token
        return True

    def extend(self, deadline_ms: int) -> None:
        """Extends the lease, which never shortens."""
        limit = self.clock() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderOutcome:
        """Carries out a start."""
        if not self.admits(token):
            return OrderOutcome.FENCED
        if deadline_ms <= self.clock():
            return OrderOutcome.TOO_LATE
        self.extend(deadline_ms)
        name, run = order.task_name, order.run
        current = self.runs_by_name.get(name)
        if current is not None and current.run == run:
            return OrderOutcome.ACCEPTED
        if current is not None or run <= self.barred_by_name.get(name, 0):
            return OrderOutcome.SUPERSEDED
        fails = self.fails_all or self.rng.random() < self.fail_share
        duration = int(self.mean_ms * self.rng.uniform(0.5, 1.5))
        self.runs_by_name[name] = Run(name, run, now_ms(), duration, fails)
        self.starts.append((now_ms(), name, run))
        return OrderOutcome.ACCEPTED

    def stop(self, name: str, run: int, token: int) -> OrderOutcome:
        """Carries out a stop."""
        if not self.admits(token):
            return OrderOutcome.FENCED
        current = self.runs_by_name.get(name)
        if current is not None and current.run <= run:
            current.stop_at_ms = current.stop_at_ms or now_ms() + STOP_MS
        else:
            self.barred_by_name[name] = max(run, self.barred_by_name.get(name, 0))
        return OrderOutcome.ACCEPTED

    def hold(
        self, deadline_ms: int, acknowledged_end: int, token: int
    ) -> HoldReport | None:
        """Carries out a hold; None if the token is too low."""
        if not self.admits(token):
            return None
        if deadline_ms:
            self.extend(deadline_ms)
        self.acknowledged += [
            e for e in self.ends if self.lapsed_end < e.number <= acknowledged_end
        ]
        self.ends = [e for e in self.ends if e.number > acknowledged_end]
        return self.lists()

    def lists(self) -> HoldReport:
        """Returns what runs and what has ended."""
        now = now_ms()
        return HoldReport(
            clock_ms=self.clock(),
            born_ms=self.born_ms,
            running=[
                RunningTask(
                    task_name=run.task_name,
                    run=run.run,
                    percent=0
                    if self.stands_still
                    else min(99, 100 * (now - run.started_ms) // run.duration_ms),
                )
                for run in self.runs_by_name.values()
            ],
            ended=list(self.ends),
        )


@dataclass(slots=True)
class BackendClient:
    """A backend server as one process reaches it under one token."""

    backend: Backend
    token: int
    # Pairs of process and backend server between which nothing passes.
    cuts: set[tuple[str, str]]
    member_id: str
    alive: list[bool]
    # Share of the orders that get no answer and are carried out late.
    late_share: list[float]

    def _reaches(self) -> bool:
        pair = (self.member_id, self.backend.backend_id)
        return self.backend.up and pair not in self.cuts

    async def _arrive(self, timeout_ms: int) -> bool:
        if not self._reaches():
            await asyncio.sleep(seconds(timeout_ms))
            return False
        await asyncio.sleep(seconds(ANSWER_MS))
        return self.backend.up

    def _late(self) -> bool:
        return self.backend.rng.random() < self.late_share[0]

    async def _order(self, timeout_ms: int, carry_out) -> OrderOutcome:
        born = self.backend.born_ms
        if not await self._arrive(timeout_ms):
            return OrderOutcome.NO_ANSWER
        if self._late():
            delay_s = seconds(self.backend.rng.randint(*LATE_MS))
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._carry_out_late, born, carry_out)
            await asyncio.sleep(seconds(timeout_ms))
            return OrderOutcome.NO_ANSWER
        outcome = carry_out()
        await asyncio.sleep(seconds(ANSWER_MS))
        return outcome if self._reaches() else OrderOutcome.NO_ANSWER

    def _carry_out_late(self, born_ms: int, carry_out) -> None:
        # The name of the intended lifetime protects against later ones.
        if self.backend.up and self.backend.born_ms == born_ms:
            carry_out()

    async def start(
        self, order: StartOrder, deadline_ms: int, timeout_ms: int
    ) -> OrderOutcome:
        """Starts a run."""
        backend, token = self.backend, self.token
        return await self._order(
            timeout_ms, lambda: backend.start(order, deadline_ms, token)
        )

    async def stop(self, task_name: str, run: int, timeout_ms: int) -> OrderOutcome:
        """Stops a run."""
        backend, token = self.backend, self.token
        return await self._order(
            timeout_ms, lambda: backend.stop(task_name, run, token)
        )

    async def pace(
        self, task_name: str, run: int, percent: int, timeout_ms: int
    ) -> OrderOutcome:
        """Accepts any pace."""
        return OrderOutcome.ACCEPTED

    async def hold(
        self, deadline_ms: int, acknowledged_end: int, wait_ms: int, timeout_ms: int
    ) -> Result[HoldReport, OrderOutcome]:
        """Extends the lease and waits for an end."""
        if not await self._arrive(timeout_ms):
            return Err(OrderOutcome.NO_ANSWER)
        report = self.backend.hold(deadline_ms, acknowledged_end, self.token)
        if report is None:
            return Err(OrderOutcome.FENCED)
        before = self.backend.next_end
        until = now_ms() + wait_ms
        while now_ms() < until and not report.ended:
            await asyncio.sleep(seconds(POLL_MS))
            if not self._reaches():
                return Err(OrderOutcome.NO_ANSWER)
            self.backend.advance()
            if self.backend.next_end != before:
                break
        return Ok(self.backend.lists())

    def close(self) -> None:
        """Has nothing to close."""
