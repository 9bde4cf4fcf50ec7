"""Moves hosts between pools as the demand of their queues changes.

A pool without room for its tasks borrows hosts. Idle hosts that another pool has
borrowed are moved first, then standby hosts, then idle hosts that belong to another
pool. Each pool keeps a reserve of its own hosts, since it takes time until hosts that
it has lent are returned. If that is not enough, the reserves are lent as well, and
pools with more hosts than the division grants them free some by starting nothing there.
A borrowed host that stays idle is returned to its home pool. Other idle hosts beyond
the reserve are moved to a standby pool, where they are off.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _isolation
from dandelionknot.jobs._allocation import PoolNeed, divide
from dandelionknot.jobs._arrivals import MAX_RUN_MS, Arrival, Arrivals
from dandelionknot.jobs._demand import MIN_HOSTS, pool_need
from dandelionknot.jobs._generated import (
    Host,
    HostOrder,
    HostOrderOutcome,
)
from dandelionknot.jobs._maintenance import evict_if_allowed, is_drain_blocked
from dandelionknot.jobs._pools import (
    PREDICTED_RESERVE_SHARE,
    RESERVE_SHARE,
    Move,
    PoolDemand,
    hosts_to_empty,
)
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    StepState,
    has_long_running,
    occupied_cpu_millicores,
)
from dandelionknot.jobs._turns import Turns

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Shortest time between two planning rounds of host moves.
PLAN_EVERY_MS = 200
# Idle time after which a host of one pool may be lent to another.
LEND_AFTER_MS = 400
# Idle time after which a borrowed host is returned to its home pool. It is longer than
# the windows of the arrival rates (`_arrivals`), so that a pause between jobs does not
# count as the end of a surge.
RETURN_AFTER_MS = 1500
# Idle time after which a host that belongs to its pool is moved to a standby pool.
STANDBY_AFTER_MS = 2500
# A pool drains borrowed hosts only while this many hosts beyond its demand remain.
DRAIN_RESERVE = 1
# Most borrowed hosts that one pool drains at the same time.
MAX_DRAINING = 2
# Share of the orders about hosts that the platform accepts which moves may take. The
# rest is for maintenance.
MOVE_ORDERS_SHARE = 0.8
# Time before the begin of a term of which the arrivals are replayed.
REPLAYED_MS = 60_000
# Orders that the platform accepts per second, unless the settings state another rate.
DEFAULT_ORDERS_PER_S = 25.0
# Shortest time between two logs of the hosts of a pool.
LOG_HOSTS_EVERY_MS = 1000
# A move counts as failed if the host is not listed as up in its new pool this long
# after the order. The answer to the order may have been lost.
MOVE_TIMEOUT_MS = 4000
# Time for which no further move is ordered for a host whose move was refused. The host
# is then leaving, or another order about it is being carried out.
REFUSED_PAUSE_MS = 3000
# State in the platform's list of hosts: the host runs.
UP = 'up'


@dataclass(slots=True)
class Capacity:
    """State of the pools and of the moves between them in one leadership term."""

    standby_pools: frozenset[str] = frozenset()
    # Orders about hosts that the platform accepts per second.
    orders_per_s: float = DEFAULT_ORDERS_PER_S
    # Jobs that were accepted in the last seconds.
    arrivals: Arrivals = field(default_factory=Arrivals)
    # Surges of the pools, from which the next ones are predicted.
    turns: Turns = field(default_factory=Turns)
    demand_by_pool: dict[str, PoolDemand] = field(default_factory=dict)
    moves_by_host_id: dict[str, Move] = field(default_factory=dict)
    # Home pool of each borrowed host.
    homes_by_host_id: dict[str, str] = field(default_factory=dict)
    # Local time since which no task has run on a host.
    idle_since_by_host_id: dict[str, int] = field(default_factory=dict)
    # Borrowed hosts that are drained so that they can be returned.
    draining_host_ids: set[str] = field(default_factory=set)
    # Hosts on which nothing is started, since another pool is granted them.
    emptying_host_ids: set[str] = field(default_factory=set)
    # Local time until which no move of a host is ordered, since its last one was
    # refused.
    refused_until_by_host_id: dict[str, int] = field(default_factory=dict)
    # Local time of the last planning round, and of the last log of the hosts of pools.
    planned_ms: int = 0
    hosts_logged_ms: int = 0
    # What was logged about each pool.
    logged_hosts_by_pool: dict[str, dict] = field(default_factory=dict)
    # The home pools have changed and have to be stored.
    dirty: bool = False

    def active(self) -> bool:
        """Whether hosts are moved between pools, which needs a standby pool."""
        return bool(self.standby_pools)

    def job_accepted(self, state: JobState, pool: str) -> None:
        """Records the work of a new job, from which the demand is estimated."""
        work = sum(
            step.task_count * occupied_cpu_millicores(step) * min(task_ms, MAX_RUN_MS)
            for step, task_ms in zip(
                state.job.spec.steps, state.task_ms_by_step, strict=True
            )
            if not step.long_running
        )
        if work and not state.job.spec.repeats and not state.beyond_share:
            arrival = Arrival(state.accepted_ms, state.account.name, work)
            self.arrivals.record(pool, arrival)

    def replay_arrivals(self, limits_by_account: dict[str, int], now_ms: int) -> None:
        """Finds the surges that former leaders saw, from the stored jobs."""
        stored = [
            (arrival, pool)
            for pool, arrivals in self.arrivals.by_pool.items()
            for arrival in arrivals
        ]
        stored.sort(key=lambda entry: entry[0].accepted_ms)
        self.arrivals = Arrivals()
        waiting = deque(stored)
        first_ms = max(
            now_ms - REPLAYED_MS, stored[0][0].accepted_ms if stored else now_ms
        )
        for at_ms in range(first_ms, now_ms, PLAN_EVERY_MS):
            while waiting and waiting[0][0].accepted_ms <= at_ms:
                arrival, pool = waiting.popleft()
                self.arrivals.record(pool, arrival)
            for pool in self.arrivals.by_pool:
                millicores = self.arrivals.millicores(pool, limits_by_account, at_ms)
                self.turns.observe(pool, millicores, at_ms)
        for arrival, pool in waiting:
            self.arrivals.record(pool, arrival)

    def order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Applies the outcome of an order to move a host."""
        move = self.moves_by_host_id.get(order.host_id)
        if move is None:
            return
        if outcome is HostOrderOutcome.ACCEPTED:
            self._record_home(move)
        elif outcome is not HostOrderOutcome.NO_ANSWER:
            del self.moves_by_host_id[order.host_id]
            until_ms = now_ms + REFUSED_PAUSE_MS
            self.refused_until_by_host_id[order.host_id] = until_ms

    def _record_home(self, move: Move) -> None:
        """Records the home pool of a host that was moved, if it is not recorded yet."""
        if move.is_recorded:
            return
        move.is_recorded = True
        home = self.homes_by_host_id.setdefault(move.host_id, move.source)
        if home == move.target:
            del self.homes_by_host_id[move.host_id]
        self.dirty = True

    def plan(
        self, scheduler: Scheduler, steps: dict[str, list[StepState]], now_ms: int
    ) -> list[HostOrder]:
        """Returns the orders to move hosts that are due now.

        `steps` holds, for each pool, the steps that have tasks ready to be placed.
        """
        hosts = scheduler.maintenance.hosts_by_id
        if not hosts or now_ms - self.planned_ms < PLAN_EVERY_MS:
            return []
        self.planned_ms = now_ms
        self._drop_finished_moves(hosts, now_ms)
        if not self.active():
            self.draining_host_ids.clear()
            self.emptying_host_ids.clear()
            self._mark_moving_hosts(scheduler)
            return []
        self._update_demand(scheduler, steps, now_ms)
        orders = self._order_moves_to_lacking_pools(scheduler, now_ms)
        self._drain_borrowed(scheduler)
        self.emptying_host_ids = hosts_to_empty(
            hosts.values(),
            scheduler.backends_by_id,
            self.demand_by_pool,
            self.moves_by_host_id.keys(),
            self.emptying_host_ids,
        )
        self._log_changes(scheduler)
        self._log_hosts(scheduler, now_ms)
        if not orders:
            orders = self._order_moves_home(scheduler, now_ms)
        if not orders:
            orders = self._order_moves_to_standby(scheduler, now_ms)
        self._mark_moving_hosts(scheduler)
        return orders

    def _mark_moving_hosts(self, scheduler: Scheduler) -> None:
        """Marks the backend servers that get no starts because of a move."""
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None:
                backend.moving = (
                    host_id in self.moves_by_host_id
                    or host_id in self.draining_host_ids
                    or host_id in self.emptying_host_ids
                )
                backend.borrowed = host_id in self.homes_by_host_id

    def _log_hosts(self, scheduler: Scheduler, now_ms: int) -> None:
        """Logs how many hosts each pool needs and holds, if that has changed."""
        if now_ms - self.hosts_logged_ms < LOG_HOSTS_EVERY_MS:
            return
        self.hosts_logged_ms = now_ms
        running: dict[str, int] = {}
        pinned: dict[str, int] = {}
        for backend in scheduler.backends_by_id.values():
            if backend.report is None or not backend.tasks_by_name:
                continue
            pool = backend.report.service
            running[pool] = running.get(pool, 0) + 1
            pinned[pool] = pinned.get(pool, 0) + has_long_running(backend)
        for pool, demand in self.demand_by_pool.items():
            fields = {
                'pool': pool,
                'wanted': demand.wanted,
                'present': demand.present,
                'arriving': demand.arriving,
                'own': demand.own,
                'running': running.get(pool, 0),
                'pinned': pinned.get(pool, 0),
                'unplaced': demand.unplaced,
                'predicted_millicores': int(demand.predicted_millicores),
                'standby': self._standby_count(scheduler),
            }
            if fields != self.logged_hosts_by_pool.get(pool):
                self.logged_hosts_by_pool[pool] = fields
                scheduler.note(Event.POOL_HOSTS, fields)

    def _log_changes(self, scheduler: Scheduler) -> None:
        """Logs the pools that begin to lack hosts, and new predictions."""
        for pool, demand in self.demand_by_pool.items():
            was_lacking, was_predicted = demand.logged_lacking, demand.logged_prediction
            demand.logged_lacking = demand.wanted > demand.present + demand.arriving
            demand.logged_prediction = demand.predicted_millicores > 0
            fields = {
                'pool': pool,
                'wanted': demand.wanted,
                'present': demand.present,
                'arriving': demand.arriving,
                'unplaced': demand.unplaced,
            }
            if demand.logged_lacking and not was_lacking:
                scheduler.note(Event.POOL_LACKS_HOSTS, fields)
            if demand.logged_prediction and not was_predicted:
                fields['period_ms'] = self.turns.period_ms()
                fields['predicted_millicores'] = int(demand.predicted_millicores)
                scheduler.note(Event.SURGE_PREDICTED, fields)

    def _drop_finished_moves(self, hosts: dict[str, Host], now_ms: int) -> None:
        for host_id, move in list(self.moves_by_host_id.items()):
            host = hosts.get(host_id)
            arrived = host is not None and host.pool == move.target and host.state == UP
            if arrived:
                # The answer to the order may have been lost.
                self._record_home(move)
            failed = now_ms - move.ordered_at_ms > MOVE_TIMEOUT_MS and not arrived
            if host is None or arrived or failed:
                del self.moves_by_host_id[host_id]

    def _update_demand(
        self, scheduler: Scheduler, steps: dict[str, list[StepState]], now_ms: int
    ) -> None:
        """Computes the demand of each pool and divides the hosts among them."""
        for demand in self.demand_by_pool.values():
            demand.wanted = demand.present = demand.arriving = demand.own = 0
        limits_by_account = scheduler.millicores_by_account()
        period_ms = self.turns.period_ms()
        reserve_share = PREDICTED_RESERVE_SHARE if period_ms else RESERVE_SHARE
        needs_by_pool: dict[str, PoolNeed] = {}
        used: dict[str, list[BackendState]] = {}
        for backend in scheduler.backends_by_id.values():
            if backend.report is not None and _can_serve(scheduler, backend):
                used.setdefault(backend.report.service, []).append(backend)
        for pool in sorted(used.keys() | steps.keys()):
            if pool in self.standby_pools:
                continue
            demand = self.demand_by_pool.setdefault(pool, PoolDemand())
            backends = used.get(pool, [])
            demand.present = len(backends)
            waiting = steps.get(pool, [])
            expected = self.arrivals.millicores(pool, limits_by_account, now_ms)
            self.turns.observe(pool, expected, now_ms)
            demand.predicted_millicores = self.turns.predicted_millicores(
                pool, period_ms, now_ms
            )
            need = pool_need(
                backends, waiting, expected, demand.predicted_millicores, now_ms
            )
            if scheduler.suspects_by_name:
                isolated = _isolation.wanted_backends(waiting)
                need = replace(need, late=need.late + isolated)
            needs_by_pool[pool] = need
            demand.unplaced = need.unplaced
            demand.reserve_share = reserve_share
        self._count_moving_and_own(scheduler)
        total = self._standby_count(scheduler) + sum(
            demand.present + demand.arriving for demand in self.demand_by_pool.values()
        )
        for pool, count in divide(total, needs_by_pool).items():
            self.demand_by_pool[pool].wanted = count
        self._update_idle_times(scheduler, now_ms)

    def _standby_count(self, scheduler: Scheduler) -> int:
        return sum(
            host.pool in self.standby_pools and self._is_movable(scheduler, host)
            for host in scheduler.maintenance.hosts_by_id.values()
        )

    def _count_moving_and_own(self, scheduler: Scheduler) -> None:
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

    def _update_idle_times(self, scheduler: Scheduler, now_ms: int) -> None:
        for host_id, host in scheduler.maintenance.hosts_by_id.items():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None and _is_empty(backend):
                self.idle_since_by_host_id.setdefault(host_id, now_ms)
            else:
                self.idle_since_by_host_id.pop(host_id, None)

    def _idle_ms(self, host_id: str, now_ms: int) -> int:
        """Returns how long a host has been idle, or -1 if it is not idle."""
        since = self.idle_since_by_host_id.get(host_id)
        return now_ms - since if since is not None else -1

    def _max_orders(self) -> int:
        """Returns how many moves may be ordered in one round."""
        rate = self.orders_per_s * MOVE_ORDERS_SHARE
        return max(1, int(rate * PLAN_EVERY_MS / 1000))

    def _order_moves_to_lacking_pools(
        self, scheduler: Scheduler, now_ms: int
    ) -> list[HostOrder]:
        """Returns the orders that move hosts to the pools that lack some.

        The pool that lacks most goes first. Reserves of other pools are used only for
        tasks that wait and still lack a host.
        """
        orders: list[HostOrder] = []
        most = self._max_orders()
        hosts = self._lendable_hosts(scheduler, now_ms)
        for use_reserves in (False, True):
            for pool, demand in sorted(
                self.demand_by_pool.items(),
                key=lambda item: item[1].present - item[1].wanted,
            ):
                if demand.wanted <= demand.present + demand.arriving:
                    continue
                left = []
                for host in hosts:
                    if (
                        len(orders) < most
                        and demand.wanted > demand.present + demand.arriving
                        and host.pool != pool
                        and (demand.unplaced > demand.arriving or not use_reserves)
                        and self._may_lend(host, use_reserves)
                    ):
                        orders.append(self._order_move(scheduler, host, pool, now_ms))
                    else:
                        left.append(host)
                hosts = left
        return orders

    def _lendable_hosts(self, scheduler: Scheduler, now_ms: int) -> list[Host]:
        """Returns the hosts that may be moved to another pool now, best first.

        Hosts that another pool has borrowed come first, then standby hosts, then hosts
        that belong to another pool.
        """
        borrowed, standby, own = [], [], []
        for host in scheduler.maintenance.hosts_by_id.values():
            if not self._is_movable(scheduler, host):
                continue
            if host.pool in self.standby_pools:
                standby.append(host)
            elif self._idle_ms(host.host_id, now_ms) < LEND_AFTER_MS:
                continue
            elif host.host_id in self.homes_by_host_id:
                borrowed.append(host)
            else:
                own.append(host)
        return borrowed + standby + own

    def _may_lend(self, host: Host, use_reserves: bool) -> bool:
        """Whether the pool of a host needs it less than a pool that lacks hosts."""
        if host.pool in self.standby_pools:
            return True
        demand = self.demand_by_pool.get(host.pool)
        if demand is None:
            return False
        if use_reserves or host.host_id in self.homes_by_host_id:
            return demand.present > max(MIN_HOSTS, demand.wanted)
        return demand.can_lend_own()

    def _is_movable(self, scheduler: Scheduler, host: Host) -> bool:
        if host.state != UP or host.host_id in self.moves_by_host_id:
            return False
        if not scheduler.maintenance.may_order(host.host_id, self.planned_ms):
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
        return backend.reachable and _is_empty(backend)

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
                'predicted_millicores': int(target.predicted_millicores)
                if target
                else 0,
                'present': target.present if target else 0,
            },
        )
        return HostOrder(host_id=host.host_id, pool=pool)

    def _drain_borrowed(self, scheduler: Scheduler) -> None:
        """Evicts long-running tasks from borrowed hosts that their pool does not need.

        Hosts with the fewest millicores in use are drained first. Those with a task
        that may not be stopped now are left out, so that they are not kept empty.
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
                if not is_drain_blocked(backend)
            ]
            borrowed.sort(key=lambda entry: entry[:2])
            for _, host_id, backend in borrowed[: min(spare, MAX_DRAINING)]:
                self.draining_host_ids.add(host_id)
                for task in list(backend.tasks_by_name.values()):
                    evict_if_allowed(scheduler, task, 'borrowed host is returned')

    def _order_moves_home(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Returns the orders that move idle borrowed hosts to where they are needed.

        This is their home pool if it lacks hosts or is a standby pool, or else a
        standby pool.
        """
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
            if home is not None and len(orders) < self._max_orders():
                home_demand = self.demand_by_pool.get(home)
                if home_demand is not None and not home_demand.lacks_own():
                    home = min(self.standby_pools)
                orders.append(self._order_move(scheduler, host, home, now_ms))
        return orders

    def _order_moves_to_standby(
        self, scheduler: Scheduler, now_ms: int
    ) -> list[HostOrder]:
        """Returns the orders that move idle hosts beyond the reserve to standby.

        None are moved before the first job and some time after it, since it may begin
        a surge.
        """
        first_ms = self.arrivals.first_ms
        if first_ms is None or now_ms - first_ms < STANDBY_AFTER_MS:
            return []
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
            if len(orders) < self._max_orders() and self._is_movable(scheduler, host):
                orders.append(self._order_move(scheduler, host, target, now_ms))
        return orders


def _is_empty(backend: BackendState) -> bool:
    """Whether a backend server runs nothing and is not reserved for a suspect."""
    return not backend.tasks_by_name and not backend.reserved_at_ms


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
