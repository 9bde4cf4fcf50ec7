"""Moves hosts between pools as the demand of their queues changes.

A pool that cannot hold the work that waits borrows hosts: those that another
pool has borrowed and does not use, then standby hosts, then idle hosts of another
pool's own. Each pool keeps a part of its own hosts for the time until borrowed
ones come back. A borrowed host that stays idle goes back; other idle hosts beyond
that part are parked in a standby pool, where they are off.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import Host, HostOrder, HostOrderOutcome
from dandelionknot.jobs._maintenance import evict_if_allowed
from dandelionknot.jobs._state import BackendState, StepState, TaskPhase, occupies_cpu

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

PLAN_EVERY_MS = 200
# Share of a host's room that tasks of different sizes can fill.
FILL_SHARE = 0.85
# A borrowed host is lent on after this idle time, and goes back after the other.
LEND_AFTER_MS = 400
RETURN_AFTER_MS = 3000
# An idle host of a pool's own is parked after this time.
PARK_AFTER_MS = 4000
# A pool keeps at least so many hosts, and this share of its own beyond its need.
MIN_HOSTS = 2
RESERVE_SHARE = 0.5
# A pool that keeps so many hosts beyond its need empties those it has borrowed.
EMPTYING_RESERVE = 1
MAX_EMPTYING = 2
# Orders in one round, against moves that a short peak does not need.
MAX_ORDERS = 4
# A move whose answer was lost is taken to have failed if the host is listed in
# its former pool this long after the order.
UNANSWERED_MS = 4000
# A host whose move was refused, since it is leaving or already ordered, is passed
# over for so long.
REFUSED_PAUSE_MS = 3000
UP = 'up'


@dataclass(slots=True)
class Need:
    """Hosts that the work of a pool needs now, and those it has."""

    wanted: int = 0
    present: int = 0
    coming: int = 0
    # Hosts of the pool's own, wherever they are.
    own: int = 0

    def can_lend_own(self) -> bool:
        """Whether the pool keeps its reserve if one of its own hosts leaves."""
        reserve = math.ceil(RESERVE_SHARE * self.own)
        return self.present > max(MIN_HOSTS, self.wanted + reserve)


@dataclass(slots=True)
class Move:
    """A host on its way to another pool."""

    host_id: str
    source: str
    target: str
    ordered_at_ms: int


@dataclass(slots=True)
class Capacity:
    """What is known of the pools in one leadership term."""

    standby_pools: frozenset[str] = frozenset()
    needs_by_pool: dict[str, Need] = field(default_factory=dict)
    moves_by_host_id: dict[str, Move] = field(default_factory=dict)
    # Home pool of each borrowed host.
    homes_by_host_id: dict[str, str] = field(default_factory=dict)
    idle_since_by_host_id: dict[str, int] = field(default_factory=dict)
    # Borrowed hosts whose long-running tasks are moved to hosts of the pool's own.
    emptying: set[str] = field(default_factory=set)
    # Hosts whose move was refused, until when they are passed over.
    refused_until_by_host_id: dict[str, int] = field(default_factory=dict)
    planned_ms: int = 0
    # The homes have changed and have to be stored.
    dirty: bool = False

    def active(self) -> bool:
        """Whether there is a pool from which others may borrow."""
        return bool(self.standby_pools)

    def order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Takes what became of a move."""
        move = self.moves_by_host_id.get(order.host_id)
        if move is None:
            return
        if outcome is HostOrderOutcome.ACCEPTED:
            home = self.homes_by_host_id.setdefault(order.host_id, move.source)
            if home == move.target:
                del self.homes_by_host_id[order.host_id]
            self.dirty = True
        elif outcome is not HostOrderOutcome.NO_ANSWER:
            del self.moves_by_host_id[order.host_id]
            until_ms = now_ms + REFUSED_PAUSE_MS
            self.refused_until_by_host_id[order.host_id] = until_ms

    def plan(
        self, scheduler: Scheduler, steps: dict[str, list[StepState]], now_ms: int
    ) -> list[HostOrder]:
        """Returns the moves that are due; `steps` are those ready by pool."""
        hosts = scheduler.maintenance.hosts_by_id
        if (
            not self.active()
            or not hosts
            or now_ms < scheduler.maintenance.not_before_ms
        ):
            return []
        if now_ms - self.planned_ms < PLAN_EVERY_MS:
            return []
        self.planned_ms = now_ms
        self._settle_moves(hosts, now_ms)
        self._measure(scheduler, steps, now_ms)
        orders: list[HostOrder] = []
        for pool, need in sorted(
            self.needs_by_pool.items(),
            key=lambda item: item[1].present - item[1].wanted,
        ):
            while need.wanted > need.present + need.coming:
                host = self._lender(scheduler, pool, now_ms)
                if host is None or len(orders) >= MAX_ORDERS:
                    break
                orders.append(self._move(scheduler, host, pool, now_ms))
        self._empty_borrowed(scheduler)
        if not orders:
            orders = self._returns(scheduler, now_ms)
        if not orders:
            orders = self._parked(scheduler, now_ms)
        for host_id, host in hosts.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None:
                backend.moving = (
                    host_id in self.moves_by_host_id or host_id in self.emptying
                )
                backend.borrowed = host_id in self.homes_by_host_id
        return orders

    def _settle_moves(self, hosts: dict[str, Host], now_ms: int) -> None:
        for host_id, move in list(self.moves_by_host_id.items()):
            host = hosts.get(host_id)
            arrived = host is not None and host.pool == move.target and host.state == UP
            failed = now_ms - move.ordered_at_ms > UNANSWERED_MS and not arrived
            if host is None or arrived or failed:
                del self.moves_by_host_id[host_id]

    def _measure(
        self, scheduler: Scheduler, steps: dict[str, list[StepState]], now_ms: int
    ) -> None:
        """Computes the need of each pool from what runs and what waits."""
        for need in self.needs_by_pool.values():
            need.wanted = need.present = need.coming = need.own = 0
        used: dict[str, list[BackendState]] = {}
        for backend in scheduler.backends_by_id.values():
            if backend.report is not None and _serves(scheduler, backend):
                used.setdefault(backend.report.service, []).append(backend)
        for pool in used.keys() | steps.keys():
            if pool in self.standby_pools:
                continue
            need = self.needs_by_pool.setdefault(pool, Need())
            backends = used.get(pool, [])
            need.present = len(backends)
            worth = [step for step in steps.get(pool, []) if _worth(step, now_ms)]
            need.wanted = _hosts_wanted(backends, worth)
        for move in self.moves_by_host_id.values():
            need_of_target = self.needs_by_pool.get(move.target)
            if need_of_target is not None:
                need_of_target.coming += 1
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            home = self.needs_by_pool.get(self.homes_by_host_id.get(host_id, host.pool))
            if home is not None:
                home.own += 1
        self._note_idle(scheduler, now_ms)

    def _note_idle(self, scheduler: Scheduler, now_ms: int) -> None:
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None and not backend.tasks_by_name:
                self.idle_since_by_host_id.setdefault(host_id, now_ms)
            else:
                self.idle_since_by_host_id.pop(host_id, None)

    def _idle_ms(self, host_id: str, now_ms: int) -> int:
        since = self.idle_since_by_host_id.get(host_id)
        return now_ms - since if since is not None else -1

    def _lender(self, scheduler: Scheduler, pool: str, now_ms: int) -> Host | None:
        """Returns a host that a pool may borrow now."""
        standby = own = None
        for host in scheduler.maintenance.hosts_by_id.values():
            if not self._movable(scheduler, host) or host.pool == pool:
                continue
            if host.pool in self.standby_pools:
                standby = standby or host
            elif self._idle_ms(host.host_id, now_ms) < LEND_AFTER_MS:
                continue
            elif host.host_id not in self.homes_by_host_id:
                need = self.needs_by_pool.get(host.pool)
                if need is not None and need.can_lend_own():
                    own = own or host
            elif self._spare(host.pool):
                return host
        return standby or own

    def _spare(self, pool: str) -> bool:
        need = self.needs_by_pool.get(pool)
        return need is not None and need.present > max(MIN_HOSTS, need.wanted)

    def _movable(self, scheduler: Scheduler, host: Host) -> bool:
        if host.state != UP or host.host_id in self.moves_by_host_id:
            return False
        if scheduler.maintenance.in_work(host.host_id):
            return False
        if host.availability_zone in scheduler.excluded_zones:
            return False
        if self.planned_ms < self.refused_until_by_host_id.get(host.host_id, 0):
            return False
        if host.pool in self.standby_pools:
            return True
        backend = scheduler.backends_by_id.get(host.backend_id)
        if backend is None or backend.report is None or backend.report.draining:
            return False
        return backend.reachable and not backend.tasks_by_name

    def _move(
        self, scheduler: Scheduler, host: Host, pool: str, now_ms: int
    ) -> HostOrder:
        self.moves_by_host_id[host.host_id] = Move(
            host.host_id, host.pool, pool, now_ms
        )
        source = self.needs_by_pool.get(host.pool)
        target = self.needs_by_pool.get(pool)
        if source is not None:
            source.present -= 1
        if target is not None:
            target.coming += 1
        scheduler.note(
            Event.HOST_MOVE_ORDERED,
            {
                'host_id': host.host_id,
                'from_pool': host.pool,
                'to_pool': pool,
                'wanted': target.wanted if target else 0,
                'present': target.present if target else 0,
            },
        )
        return HostOrder(host_id=host.host_id, pool=pool)

    def _empty_borrowed(self, scheduler: Scheduler) -> None:
        """Moves long-running tasks off borrowed hosts that a pool can do without."""
        self.emptying.clear()
        for pool, need in self.needs_by_pool.items():
            spare = need.present - max(MIN_HOSTS, need.wanted + EMPTYING_RESERVE)
            if spare <= 0 or need.coming:
                continue
            borrowed = [
                (backend.cpu_millicores, host.host_id, backend)
                for host in scheduler.maintenance.hosts_by_id.values()
                if host.pool == pool and host.host_id in self.homes_by_host_id
                for backend in [scheduler.backends_by_id.get(host.backend_id)]
                if backend is not None and backend.tasks_by_name
            ]
            borrowed.sort(key=lambda entry: entry[:2])
            for _, host_id, backend in borrowed[: min(spare, MAX_EMPTYING)]:
                self.emptying.add(host_id)
                for task in list(backend.tasks_by_name.values()):
                    evict_if_allowed(scheduler, task, 'a borrowed host goes back')

    def _returns(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Returns idle hosts to where they came from."""
        orders: list[HostOrder] = []
        for host in scheduler.maintenance.hosts_by_id.values():
            if host.pool in self.standby_pools or not self._movable(scheduler, host):
                continue
            if self._idle_ms(host.host_id, now_ms) < RETURN_AFTER_MS:
                continue
            need = self.needs_by_pool.get(host.pool)
            if need is None or need.present <= max(MIN_HOSTS, need.wanted):
                continue
            home = self.homes_by_host_id.get(host.host_id)
            if home is not None and len(orders) < MAX_ORDERS:
                orders.append(self._move(scheduler, host, home, now_ms))
        return orders

    def _parked(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Parks idle hosts that their own pool does not need as a reserve."""
        target = min(self.standby_pools)
        orders: list[HostOrder] = []
        for host in scheduler.maintenance.hosts_by_id.values():
            borrowed = host.host_id in self.homes_by_host_id
            if borrowed or host.pool in self.standby_pools:
                continue
            if self._idle_ms(host.host_id, now_ms) < PARK_AFTER_MS:
                continue
            need = self.needs_by_pool.get(host.pool)
            if need is None or not need.can_lend_own():
                continue
            if self._movable(scheduler, host) and len(orders) < MAX_ORDERS:
                orders.append(self._move(scheduler, host, target, now_ms))
        return orders


def _serves(scheduler: Scheduler, backend: BackendState) -> bool:
    """Whether a backend server can run work of its pool now or in a moment."""
    report = backend.report
    if report is None or report.draining:
        return False
    if report.availability_zone in scheduler.excluded_zones:
        return False
    # Before the first answer to this leader, it is taken to be about to answer.
    return backend.reachable or not backend.fenced


def _worth(step: StepState, now_ms: int) -> bool:
    """Whether a job may still end soon enough to be of use to its caller."""
    job = step.job
    span = job.due_ms - job.accepted_ms
    return step.spec.long_running or now_ms < job.due_ms + 2 * span


def _startable(step: StepState, left_by_account: dict[str, list[int]]) -> int:
    """Returns how many waiting tasks the limit of the client account lets start."""
    account, needed = step.job.account, step.spec.resources
    left = left_by_account.setdefault(
        account.name,
        [
            account.limit.cpu_millicores - account.cpu_millicores,
            account.limit.memory_mb - account.memory_mb,
        ],
    )
    count = sum(task.phase is TaskPhase.WAITING for task in step.tasks)
    if account.limit.cpu_millicores and needed.cpu_millicores:
        count = max(0, min(count, left[0] // needed.cpu_millicores))
    if account.limit.memory_mb and needed.memory_mb:
        count = max(0, min(count, left[1] // needed.memory_mb))
    left[0] -= count * needed.cpu_millicores
    left[1] -= count * needed.memory_mb
    return count


def _hosts_wanted(backends: list[BackendState], steps: list[StepState]) -> int:
    """Returns how many hosts hold what runs and what may start now."""
    if not backends:
        return MIN_HOSTS if steps else 0
    reports = [backend.report for backend in backends if backend.report]
    cpu_of_host = sum(r.room.cpu_millicores for r in reports) / len(reports)
    memory_of_host = sum(r.room.memory_mb for r in reports) / len(reports)
    cpu = sum(backend.cpu_millicores for backend in backends)
    memory = sum(backend.memory_mb for backend in backends)
    left_by_account: dict[str, list[int]] = {}
    for step in steps:
        spec = step.spec
        count = _startable(step, left_by_account)
        cpu += count * occupies_cpu(spec)
        memory += count * spec.resources.memory_mb
    return math.ceil(
        max(
            cpu / max(1.0, cpu_of_host * FILL_SHARE),
            memory / max(1.0, memory_of_host * FILL_SHARE),
        )
    )
