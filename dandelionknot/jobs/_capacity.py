"""Moves hosts between pools as the demand of their queues changes.

A pool without room for its waiting tasks borrows hosts. Idle hosts that another pool
has borrowed are moved first, then standby hosts, then idle hosts that belong to another
pool. Each pool keeps a reserve of its own hosts, since it takes time until hosts that
it has lent are returned. A borrowed host that stays idle is returned to its home pool.
Other idle hosts beyond the reserve are moved to a standby pool, where they are off.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import Host, HostOrder, HostOrderOutcome
from dandelionknot.jobs._maintenance import evict_if_allowed
from dandelionknot.jobs._state import (
    BackendState,
    StepState,
    TaskPhase,
    occupied_cpu_millicores,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two planning rounds of host moves.
PLAN_EVERY_MS = 200
# Share of a host's room that is expected to be usable, since tasks of different sizes
# leave gaps.
FILL_SHARE = 0.85
# Idle time after which a host of one pool may be lent to another.
LEND_AFTER_MS = 400
# Idle time after which a borrowed host is returned to its home pool.
RETURN_AFTER_MS = 3000
# Idle time after which a host that belongs to its pool is moved to a standby pool.
STANDBY_AFTER_MS = 4000
# A pool gives no host away if fewer than this many would remain. A pool without hosts
# asks for this many if jobs wait.
MIN_HOSTS = 2
# Share of its own hosts that a pool keeps as a reserve beyond its demand.
RESERVE_SHARE = 0.5
# A pool drains borrowed hosts only while this many hosts beyond its demand remain.
DRAIN_RESERVE = 1
# Most borrowed hosts that one pool drains at the same time.
MAX_DRAINING = 2
# Most moves ordered in one round, so that a short peak does not move many hosts.
MAX_ORDERS = 4
# A move counts as failed if the host is not listed as up in its new pool this long
# after the order. The answer to the order may have been lost.
MOVE_TIMEOUT_MS = 4000
# Time for which no further move is ordered for a host whose move was refused. The host
# is then leaving, or another order about it is being carried out.
REFUSED_PAUSE_MS = 3000
# State in the platform's list of hosts: the host runs.
UP = 'up'


@dataclass(slots=True)
class PoolDemand:
    """How many hosts a pool needs now, and how many it has."""

    # Hosts needed for the tasks that run and those that may start now.
    wanted: int = 0
    # Hosts in the pool that can run tasks.
    present: int = 0
    # Hosts that were ordered to the pool and have not arrived.
    arriving: int = 0
    # Hosts whose home is the pool, including those that it has lent.
    own: int = 0

    def can_lend_own(self) -> bool:
        """Whether the pool has enough hosts to lend one that belongs to it.

        It keeps the hosts that it needs now and its reserve, and at least `MIN_HOSTS`.
        """
        reserve = math.ceil(RESERVE_SHARE * self.own)
        return self.present > max(MIN_HOSTS, self.wanted + reserve)


@dataclass(slots=True)
class Move:
    """A move of a host to another pool that was ordered and is not finished."""

    host_id: str
    source: str
    target: str
    ordered_at_ms: int


@dataclass(slots=True)
class Capacity:
    """State of the pools and of the moves between them in one leadership term."""

    standby_pools: frozenset[str] = frozenset()
    demand_by_pool: dict[str, PoolDemand] = field(default_factory=dict)
    moves_by_host_id: dict[str, Move] = field(default_factory=dict)
    # Home pool of each borrowed host.
    homes_by_host_id: dict[str, str] = field(default_factory=dict)
    # Local time since which no task has run on a host.
    idle_since_by_host_id: dict[str, int] = field(default_factory=dict)
    # Borrowed hosts that are drained so that they can be returned.
    draining_host_ids: set[str] = field(default_factory=set)
    # Local time until which no move of a host is ordered, since its last one was
    # refused.
    refused_until_by_host_id: dict[str, int] = field(default_factory=dict)
    # Local time of the last planning round.
    planned_ms: int = 0
    # The home pools have changed and have to be stored.
    dirty: bool = False

    def active(self) -> bool:
        """Whether hosts are moved between pools, which needs a standby pool."""
        return bool(self.standby_pools)

    def order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Applies the outcome of an order to move a host."""
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
        """Returns the orders to move hosts that are due now.

        `steps` holds, for each pool, the steps that have tasks ready to be placed.
        """
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
        self._drop_finished_moves(hosts, now_ms)
        self._update_demand(scheduler, steps, now_ms)
        orders: list[HostOrder] = []
        for pool, demand in sorted(
            self.demand_by_pool.items(),
            key=lambda item: item[1].present - item[1].wanted,
        ):
            while demand.wanted > demand.present + demand.arriving:
                host = self._find_host_to_borrow(scheduler, pool, now_ms)
                if host is None or len(orders) >= MAX_ORDERS:
                    break
                orders.append(self._order_move(scheduler, host, pool, now_ms))
        self._drain_borrowed(scheduler)
        if not orders:
            orders = self._order_moves_home(scheduler, now_ms)
        if not orders:
            orders = self._order_moves_to_standby(scheduler, now_ms)
        for host_id, host in hosts.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None:
                backend.moving = (
                    host_id in self.moves_by_host_id
                    or host_id in self.draining_host_ids
                )
                backend.borrowed = host_id in self.homes_by_host_id
        return orders

    def _drop_finished_moves(self, hosts: dict[str, Host], now_ms: int) -> None:
        for host_id, move in list(self.moves_by_host_id.items()):
            host = hosts.get(host_id)
            arrived = host is not None and host.pool == move.target and host.state == UP
            failed = now_ms - move.ordered_at_ms > MOVE_TIMEOUT_MS and not arrived
            if host is None or arrived or failed:
                del self.moves_by_host_id[host_id]

    def _update_demand(
        self, scheduler: Scheduler, steps: dict[str, list[StepState]], now_ms: int
    ) -> None:
        """Computes the demand of each pool from its running and waiting tasks."""
        for demand in self.demand_by_pool.values():
            demand.wanted = demand.present = demand.arriving = demand.own = 0
        used: dict[str, list[BackendState]] = {}
        for backend in scheduler.backends_by_id.values():
            if backend.report is not None and _can_serve(scheduler, backend):
                used.setdefault(backend.report.service, []).append(backend)
        for pool in used.keys() | steps.keys():
            if pool in self.standby_pools:
                continue
            demand = self.demand_by_pool.setdefault(pool, PoolDemand())
            backends = used.get(pool, [])
            demand.present = len(backends)
            useful = [
                step for step in steps.get(pool, []) if _is_still_useful(step, now_ms)
            ]
            demand.wanted = _needed_host_count(backends, useful)
        for move in self.moves_by_host_id.values():
            target_demand = self.demand_by_pool.get(move.target)
            if target_demand is not None:
                target_demand.arriving += 1
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            home = self.demand_by_pool.get(
                self.homes_by_host_id.get(host_id, host.pool)
            )
            if home is not None:
                home.own += 1
        self._update_idle_times(scheduler, now_ms)

    def _update_idle_times(self, scheduler: Scheduler, now_ms: int) -> None:
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None and not backend.tasks_by_name:
                self.idle_since_by_host_id.setdefault(host_id, now_ms)
            else:
                self.idle_since_by_host_id.pop(host_id, None)

    def _idle_ms(self, host_id: str, now_ms: int) -> int:
        """Returns how long a host has been idle, or -1 if it is not idle."""
        since = self.idle_since_by_host_id.get(host_id)
        return now_ms - since if since is not None else -1

    def _find_host_to_borrow(
        self, scheduler: Scheduler, pool: str, now_ms: int
    ) -> Host | None:
        """Returns the best host that a pool may borrow now, or None.

        A host that another pool has borrowed comes first, then a standby host, then a
        host that belongs to another pool.
        """
        standby = own = None
        for host in scheduler.maintenance.hosts_by_id.values():
            if not self._is_movable(scheduler, host) or host.pool == pool:
                continue
            if host.pool in self.standby_pools:
                standby = standby or host
            elif self._idle_ms(host.host_id, now_ms) < LEND_AFTER_MS:
                continue
            elif host.host_id not in self.homes_by_host_id:
                demand = self.demand_by_pool.get(host.pool)
                if demand is not None and demand.can_lend_own():
                    own = own or host
            elif self._can_lend_borrowed(host.pool):
                return host
        return standby or own

    def _can_lend_borrowed(self, pool: str) -> bool:
        demand = self.demand_by_pool.get(pool)
        return demand is not None and demand.present > max(MIN_HOSTS, demand.wanted)

    def _is_movable(self, scheduler: Scheduler, host: Host) -> bool:
        if host.state != UP or host.host_id in self.moves_by_host_id:
            return False
        if scheduler.maintenance.is_in_maintenance(host.host_id):
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

    def _order_move(
        self, scheduler: Scheduler, host: Host, pool: str, now_ms: int
    ) -> HostOrder:
        self.moves_by_host_id[host.host_id] = Move(
            host.host_id, host.pool, pool, now_ms
        )
        source = self.demand_by_pool.get(host.pool)
        target = self.demand_by_pool.get(pool)
        if source is not None:
            source.present -= 1
        if target is not None:
            target.arriving += 1
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

    def _drain_borrowed(self, scheduler: Scheduler) -> None:
        """Evicts long-running tasks from borrowed hosts that their pool does not need.

        Hosts with the fewest millicores in use are drained first.
        """
        self.draining_host_ids.clear()
        for pool, demand in self.demand_by_pool.items():
            spare = demand.present - max(MIN_HOSTS, demand.wanted + DRAIN_RESERVE)
            if spare <= 0 or demand.arriving:
                continue
            borrowed = [
                (backend.cpu_millicores, host.host_id, backend)
                for host in scheduler.maintenance.hosts_by_id.values()
                if host.pool == pool and host.host_id in self.homes_by_host_id
                for backend in [scheduler.backends_by_id.get(host.backend_id)]
                if backend is not None and backend.tasks_by_name
            ]
            borrowed.sort(key=lambda entry: entry[:2])
            for _, host_id, backend in borrowed[: min(spare, MAX_DRAINING)]:
                self.draining_host_ids.add(host_id)
                for task in list(backend.tasks_by_name.values()):
                    evict_if_allowed(scheduler, task, 'borrowed host is returned')

    def _order_moves_home(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Returns the orders that move idle borrowed hosts to their home pools."""
        orders: list[HostOrder] = []
        for host in scheduler.maintenance.hosts_by_id.values():
            if host.pool in self.standby_pools or not self._is_movable(scheduler, host):
                continue
            if self._idle_ms(host.host_id, now_ms) < RETURN_AFTER_MS:
                continue
            demand = self.demand_by_pool.get(host.pool)
            if demand is None or demand.present <= max(MIN_HOSTS, demand.wanted):
                continue
            home = self.homes_by_host_id.get(host.host_id)
            if home is not None and len(orders) < MAX_ORDERS:
                orders.append(self._order_move(scheduler, host, home, now_ms))
        return orders

    def _order_moves_to_standby(
        self, scheduler: Scheduler, now_ms: int
    ) -> list[HostOrder]:
        """Returns the orders that move idle hosts beyond the reserve to standby."""
        target = min(self.standby_pools)
        orders: list[HostOrder] = []
        for host in scheduler.maintenance.hosts_by_id.values():
            borrowed = host.host_id in self.homes_by_host_id
            if borrowed or host.pool in self.standby_pools:
                continue
            if self._idle_ms(host.host_id, now_ms) < STANDBY_AFTER_MS:
                continue
            demand = self.demand_by_pool.get(host.pool)
            if demand is None or not demand.can_lend_own():
                continue
            if self._is_movable(scheduler, host) and len(orders) < MAX_ORDERS:
                orders.append(self._order_move(scheduler, host, target, now_ms))
        return orders


def _can_serve(scheduler: Scheduler, backend: BackendState) -> bool:
    """Whether a backend server can run tasks now, or is expected to soon."""
    report = backend.report
    if report is None or report.draining:
        return False
    if report.availability_zone in scheduler.excluded_zones:
        return False
    # A backend server that has not answered in this term yet is expected to answer
    # soon.
    return backend.reachable or not backend.fenced


def _is_still_useful(step: StepState, now_ms: int) -> bool:
    """Whether a step may still be useful to the caller of its job.

    A job is no longer useful after three times its objective, counted from acceptance.
    Long-running steps are always useful.
    """
    job = step.job
    span = job.due_ms - job.accepted_ms
    return step.spec.long_running or now_ms < job.due_ms + 2 * span


def _startable_count(step: StepState, left_by_account: dict[str, list[int]]) -> int:
    """Returns how many waiting tasks of a step the client account's limit allows.

    `left_by_account` holds the unused millicores and memory of each client account;
    the resources of the counted tasks are subtracted from it.
    """
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


def _needed_host_count(backends: list[BackendState], steps: list[StepState]) -> int:
    """Returns how many hosts the running tasks and those that may start now need."""
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
        count = _startable_count(step, left_by_account)
        cpu += count * occupied_cpu_millicores(spec)
        memory += count * spec.resources.memory_mb
    return math.ceil(
        max(
            cpu / max(1.0, cpu_of_host * FILL_SHARE),
            memory / max(1.0, memory_of_host * FILL_SHARE),
        )
    )
