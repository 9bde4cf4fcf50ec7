"""Maintenance waves: decides which host goes down next, and when it may go down.

A host is first cordoned. Its long-running tasks are evicted as far as their steps allow
unavailable tasks, and its other tasks are left to end on their own. When no task is
left, the maintenance of the host is ordered.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs._generated import (
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    UpkeepWave,
    WaveRecord,
)
from dandelionknot.jobs._state import BackendState, StepState, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Expected time from the cordon of a host until it is up again, used to pace a wave.
CYCLE_MS = 6000
# A wave is planned to end within this share of its time limit. The rest is a margin for
# delays.
PACE_SHARE = 0.6
# Largest share of a pool's hosts that is cordoned or down for maintenance at a time.
MAX_POOL_SHARE = 0.34
# Time after the cordon for which a host waits for its tasks to end. Tasks that still
# run then are lost when the host goes down. The host waits longer only for long-running
# tasks.
DRAIN_TIMEOUT_MS = 8000
# Time after which a cordon ends if a long-running task on the host may not be stopped,
# and in any case, so that jobs that only this host can run do not wait for what may not
# come. The first covers the restart of a task of the same step that was just evicted.
BLOCKED_MS = 2500
MAX_CORDON_MS = DRAIN_TIMEOUT_MS + 2000
# Shortest time between two cordons of a host.
CORDON_PAUSE_MS = 3000
# Pause before an order that was not carried out is repeated.
RETRY_MS = 400
# Time after a maintenance order without an answer during which the platform may still
# carry it out, so that lists requested within it do not show its outcome.
LATE_ORDER_MS = 1500
# States in the platform's list of hosts: the host runs, is down for maintenance, or is
# down for another reason. A host that is only cut off from callers counts as up.
UP = 'up'
IN_MAINTENANCE = 'upkeep'
DOWN = 'down'


@dataclass(slots=True)
class HostState:
    """State of a host in a wave."""

    host_id: str
    cordoned_at_ms: int = 0
    # Local time since which a long-running task may not be stopped, 0 if none is left.
    blocked_since_ms: int = 0
    # It is not cordoned again before this local time.
    cordon_not_before_ms: int = 0
    # No order is sent before this local time.
    not_before_ms: int = 0
    # Maintenance was ordered, and the host has not been listed as up after that.
    down: bool = False
    # An order was sent and its outcome is not known yet.
    order_pending: bool = False
    # A list of hosts that was requested after this local time shows the outcome of the
    # last order.
    settled_at_ms: int = 0


@dataclass(slots=True)
class WaveState:
    """Progress of one wave."""

    wave: UpkeepWave
    first_seen_ms: int
    # Hosts whose maintenance order was accepted.
    begun: set[str] = field(default_factory=set)
    # Hosts that the wave skips: the platform does not know them or has assigned them to
    # another wave.
    gone: set[str] = field(default_factory=set)
    hosts_by_id: dict[str, HostState] = field(default_factory=dict)
    # Hosts of the wave that the latest list lacks, so that they are skipped now.
    missing: set[str] = field(default_factory=set)
    done: bool = False
    announced: bool = False

    def waiting_host_ids(self) -> list[str]:
        """Returns the hosts whose maintenance has not begun."""
        skipped = self.begun | self.gone | self.missing
        return [host_id for host_id in self.wave.host_ids if host_id not in skipped]

    def is_cordoned(self, host_id: str) -> bool:
        """Whether a host is kept empty until its maintenance begins."""
        state = self.hosts_by_id.get(host_id)
        return (
            state is not None
            and state.cordoned_at_ms > 0
            and host_id not in self.begun
            and host_id not in self.gone
            and host_id not in self.missing
        )

    def record(self) -> WaveRecord:
        """Returns the record of the wave to store."""
        return WaveRecord(begun_host_ids=sorted(self.begun), done=self.done)


@dataclass(slots=True)
class MaintenanceScheduler:
    """State of all maintenance waves in one leadership term."""

    waves_by_name: dict[str, WaveState] = field(default_factory=dict)
    # The platform's latest list of hosts, and the local time at which it was requested.
    hosts_by_id: dict[str, Host] = field(default_factory=dict)
    listed_ms: int = 0
    # Waves whose record has to be stored.
    dirty: set[str] = field(default_factory=set)
    # Hosts that the latest list shows as down for maintenance. Some of them may have
    # been ordered by a former leader.
    listed_down: set[str] = field(default_factory=set)
    # Local time before which nothing is ordered about hosts that a former leader may
    # have given orders about recently. Its orders may still be carried out, and two
    # leaders must not give orders about one host in turn.
    not_before_ms: int = 0
    # These hosts; None if the former leader did not record them, so it may be any host.
    handed_over_host_ids: frozenset[str] | None = None
    # Those whose maintenance a former leader may have ordered without learning the
    # outcome. They count as down for the same time.
    handed_over_maintenance: frozenset[str] = frozenset()

    def set_wave(
        self, name: str, wave: UpkeepWave | None, record: WaveRecord | None, now_ms: int
    ) -> None:
        """Adds a wave with its stored record, or removes it if `wave` is None."""
        if wave is None:
            self.waves_by_name.pop(name, None)
            return
        if name in self.waves_by_name:
            return
        state = WaveState(wave, now_ms)
        if record is not None:
            state.begun = set(record.begun_host_ids)
            state.done = state.announced = record.done
        self.waves_by_name[name] = state
        self.dirty.add(name)

    def active(self) -> bool:
        """Whether any wave is not done. The list of hosts is then needed."""
        return any(not wave.done for wave in self.waves_by_name.values())

    def is_in_maintenance(self, host_id: str) -> bool:
        """Whether a host is being drained for maintenance or is down for it."""
        for wave in self.waves_by_name.values():
            state = wave.hosts_by_id.get(host_id)
            if state is None:
                continue
            if state.down or wave.is_cordoned(host_id):
                return True
        return False

    def may_order(self, host_id: str, now_ms: int) -> bool:
        """Whether no former leader may have given an order about a host recently."""
        if now_ms >= self.not_before_ms:
            return True
        handed_over = self.handed_over_host_ids
        return handed_over is not None and host_id not in handed_over

    def down_count(self, wave: WaveState, now_ms: int) -> int:
        """Returns how many hosts of a wave are or may be down for maintenance now."""
        down = {state.host_id for state in wave.hosts_by_id.values() if state.down}
        down |= self.listed_down.intersection(wave.wave.host_ids)
        if now_ms < self.not_before_ms:
            down |= self.handed_over_maintenance.intersection(wave.wave.host_ids)
        return len(down)

    def pending_host_ids(self) -> list[str]:
        """Returns the hosts whose maintenance may have been ordered or may still be."""
        pending = {
            state.host_id
            for wave in self.waves_by_name.values()
            for state in wave.hosts_by_id.values()
            if state.order_pending or (state.down and state.host_id not in wave.begun)
        }
        return sorted(pending)

    def hosts_listed(self, listed: HostsListed) -> None:
        """Applies the platform's list of all hosts."""
        self.hosts_by_id = {host.host_id: host for host in listed.hosts}
        self.listed_ms = listed.sent_ms
        self.listed_down = {
            host.host_id for host in listed.hosts if host.state == IN_MAINTENANCE
        }
        for wave in self.waves_by_name.values():
            for state in wave.hosts_by_id.values():
                host = self.hosts_by_id.get(state.host_id)
                shows_outcome = (
                    not state.order_pending and listed.sent_ms > state.settled_at_ms
                )
                if shows_outcome and (host is None or host.state == UP):
                    state.down = False
            wave.missing = set(wave.wave.host_ids) - self.hosts_by_id.keys()

    def order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Applies the outcome of a maintenance order."""
        for name, wave in self.waves_by_name.items():
            if wave.wave.number != order.wave_number:
                continue
            state = wave.hosts_by_id.get(order.host_id)
            if state is None:
                continue
            state.order_pending = False
            state.settled_at_ms = now_ms
            if outcome is HostOrderOutcome.ACCEPTED:
                state.down = True
                wave.begun.add(order.host_id)
                self.dirty.add(name)
                continue
            # An order without an answer may have been carried out, or may be carried
            # out later.
            state.down = outcome is HostOrderOutcome.NO_ANSWER
            if state.down:
                state.settled_at_ms += LATE_ORDER_MS
            state.not_before_ms = now_ms + RETRY_MS
            if outcome in (HostOrderOutcome.OTHER_WAVE, HostOrderOutcome.UNKNOWN_HOST):
                wave.gone.add(order.host_id)

    def plan(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Cordons and drains hosts and returns the maintenance orders that are due."""
        cordoned: set[str] = set()
        orders: list[HostOrder] = []
        for name, wave in self.waves_by_name.items():
            if not wave.done and self.listed_ms:
                orders.extend(self._plan_wave(scheduler, name, wave, now_ms))
            cordoned.update(filter(wave.is_cordoned, wave.hosts_by_id))
        self._apply_cordons(scheduler, cordoned)
        return orders

    def _apply_cordons(self, scheduler: Scheduler, cordoned: set[str]) -> None:
        due = {
            host_id
            for wave in self.waves_by_name.values()
            if not wave.done
            for host_id in wave.waiting_host_ids()
        }
        host_ids = {host.backend_id: id_ for id_, host in self.hosts_by_id.items()}
        for backend in scheduler.backends_by_id.values():
            host_id = host_ids.get(backend.backend_id)
            backend.cordoned = host_id in cordoned
            backend.maintenance_due = host_id in due

    def _plan_wave(
        self, scheduler: Scheduler, name: str, wave: WaveState, now_ms: int
    ) -> list[HostOrder]:
        waiting = wave.waiting_host_ids()
        if not waiting:
            wave.done = True
            self.dirty.add(name)
            scheduler.note(
                Event.WAVE_ADVANCED,
                {'wave': wave.wave.number, 'begun': len(wave.begun), 'done': True},
            )
            return []
        self._end_blocked_cordons(scheduler, wave, now_ms)
        self._cordon_next(scheduler, wave, waiting, now_ms)
        orders = []
        for host_id in waiting:
            state = wave.hosts_by_id.get(host_id)
            if state is None or not state.cordoned_at_ms or state.down:
                continue
            if now_ms < state.not_before_ms or not self.may_order(host_id, now_ms):
                continue
            if self.down_count(wave, now_ms) >= wave.wave.max_down:
                break
            if self._drain_host(scheduler, state, now_ms):
                state.down = state.order_pending = True
                orders.append(HostOrder(host_id=host_id, wave_number=wave.wave.number))
        return orders

    def _end_blocked_cordons(
        self, scheduler: Scheduler, wave: WaveState, now_ms: int
    ) -> None:
        """Ends the cordons of hosts whose maintenance does not begin in time.

        A host that may have been ordered down stays cordoned.
        """
        for host_id, state in wave.hosts_by_id.items():
            if state.down or not wave.is_cordoned(host_id):
                continue
            is_blocked = self._is_blocked(scheduler, host_id)
            since_ms = (state.blocked_since_ms or now_ms) if is_blocked else 0
            state.blocked_since_ms = since_ms
            if is_blocked and now_ms - since_ms >= BLOCKED_MS:
                reason = 'a long-running task may not be stopped'
            elif now_ms - state.cordoned_at_ms >= MAX_CORDON_MS:
                reason = 'the order was not accepted in time'
            else:
                continue
            state.cordoned_at_ms = state.blocked_since_ms = 0
            state.cordon_not_before_ms = now_ms + CORDON_PAUSE_MS
            scheduler.note(
                Event.CORDON_ENDED,
                {'host_id': host_id, 'wave': wave.wave.number, 'reason': reason},
            )

    def _is_blocked(self, scheduler: Scheduler, host_id: str) -> bool:
        backend = self._backend(scheduler, host_id)
        return backend is not None and is_drain_blocked(backend)

    def _may_cordon(
        self, scheduler: Scheduler, wave: WaveState, host_id: str, now_ms: int
    ) -> bool:
        """Whether a host is up, and its maintenance can begin soon."""
        host = self.hosts_by_id.get(host_id)
        state = wave.hosts_by_id.get(host_id)
        return (
            host is not None
            and host.state == UP
            and (state is None or now_ms >= state.cordon_not_before_ms)
            and not self._is_blocked(scheduler, host_id)
        )

    def _cordon_next(
        self, scheduler: Scheduler, wave: WaveState, waiting: list[str], now_ms: int
    ) -> None:
        """Cordons as many hosts as necessary for the wave to end in time.

        Hosts that cannot be ordered down yet come last, and before them those of pools
        that lack hosts, so that maintenance does not begin in a surge of its own pool.
        Otherwise, hosts with the fewest millicores in use come first.
        """
        uncordoned_ids = [
            host_id
            for host_id in waiting
            if host_id not in wave.hosts_by_id
            or not wave.hosts_by_id[host_id].cordoned_at_ms
        ]
        in_maintenance_count = (
            len(waiting) - len(uncordoned_ids) + self.down_count(wave, now_ms)
        )
        wanted = _hosts_at_once(wave, len(waiting), now_ms)
        room = min(wanted, wave.wave.max_down) - in_maintenance_count
        if room <= 0:
            return
        unavailable = self._unavailable_by_pool(wave)
        uncordoned_ids.sort(
            key=lambda host_id: (
                not self.may_order(host_id, now_ms),
                self._is_of_lacking_pool(scheduler, host_id),
                self._used_millicores(scheduler, host_id),
            )
        )
        for host_id in uncordoned_ids:
            if room <= 0 or not self._may_cordon(scheduler, wave, host_id, now_ms):
                continue
            host = self.hosts_by_id[host_id]
            pool = [h for h in self.hosts_by_id.values() if h.pool == host.pool]
            if unavailable.get(host.pool, 0) >= max(1, int(len(pool) * MAX_POOL_SHARE)):
                continue
            unavailable[host.pool] = unavailable.get(host.pool, 0) + 1
            state = wave.hosts_by_id.setdefault(host_id, HostState(host_id))
            state.cordoned_at_ms = now_ms
            room -= 1

    def _unavailable_by_pool(self, wave: WaveState) -> dict[str, int]:
        unavailable: dict[str, int] = {}
        for state in wave.hosts_by_id.values():
            host = self.hosts_by_id.get(state.host_id)
            out = state.down or wave.is_cordoned(state.host_id)
            if host is not None and out:
                unavailable[host.pool] = unavailable.get(host.pool, 0) + 1
        return unavailable

    def _is_of_lacking_pool(self, scheduler: Scheduler, host_id: str) -> bool:
        host = self.hosts_by_id.get(host_id)
        demand = scheduler.capacity.demand_by_pool.get(host.pool) if host else None
        return demand is not None and demand.lacks_hosts()

    def _used_millicores(self, scheduler: Scheduler, host_id: str) -> int:
        backend = self._backend(scheduler, host_id)
        return backend.cpu_millicores if backend else 0

    def _backend(self, scheduler: Scheduler, host_id: str) -> BackendState | None:
        host = self.hosts_by_id.get(host_id)
        return scheduler.backends_by_id.get(host.backend_id) if host else None

    def _drain_host(self, scheduler: Scheduler, state: HostState, now_ms: int) -> bool:
        """Evicts long-running tasks from a cordoned host.

        Returns whether the host may go down: either no task is left, or the drain
        timeout has passed and no long-running task is left.
        """
        backend = self._backend(scheduler, state.host_id)
        if backend is None:
            return True
        may_wait = now_ms - state.cordoned_at_ms < DRAIN_TIMEOUT_MS
        for task in list(backend.tasks_by_name.values()):
            evict_if_allowed(scheduler, task, 'upkeep')
        left = [
            task
            for task in backend.tasks_by_name.values()
            if may_wait or task.step.spec.long_running
        ]
        return not left


def shows_end(host: Host, backend_id: str) -> bool:
    """Whether the row of a host shows that a backend server on it has ended."""
    if host.backend_id:
        return host.backend_id != backend_id
    return host.state == DOWN


def _hosts_at_once(wave: WaveState, waiting: int, now_ms: int) -> int:
    """Returns how many hosts must be in maintenance at once to end a wave in time."""
    end_ms = wave.first_seen_ms + int(wave.wave.within_s * 1000 * PACE_SHARE)
    left_ms = max(CYCLE_MS, end_ms - now_ms)
    return max(1, math.ceil(waiting * CYCLE_MS / left_ms))


def evict_if_allowed(scheduler: Scheduler, task: TaskState, reason: str) -> bool:
    """Stops a long-running task if its step allows one more unavailable task now.

    Returns whether the task was stopped.
    """
    if not task.step.spec.long_running or task.stopping or not may_evict(task):
        return False
    scheduler.stop(task, reason)
    return True


def is_drain_blocked(backend: BackendState) -> bool:
    """Whether a long-running task on a backend server may not be stopped now."""
    return any(
        task.step.spec.long_running and not task.stopping and not may_evict(task)
        for task in backend.tasks_by_name.values()
    )


def may_evict(task: TaskState) -> bool:
    """Whether the step of a task that runs allows one more unavailable task now."""
    if not task.start_sent or task.phase is not TaskPhase.RUNNING:
        return False
    allowed = max(1, task.step.spec.max_unavailable)
    return unavailable_count(task.step, task) < allowed


def unavailable_count(step: StepState, excluded: TaskState) -> int:
    """Returns how many other tasks of a step do not run at full speed."""
    return sum(
        1
        for task in step.tasks
        if task is not excluded and not runs_at_full_speed(task)
    )


def runs_at_full_speed(task: TaskState) -> bool:
    """Whether a task runs at full speed, and no stop of it was ordered.

    Tasks on a backend server that does not answer count as unavailable, since they may
    be lost.
    """
    return (
        task.phase is TaskPhase.RUNNING
        and task.backend is not None
        and task.backend.reachable
        and not task.stopping
        and not task.unconfirmed
        and task.percent >= 100
        and task.pace_percent >= 100
    )
