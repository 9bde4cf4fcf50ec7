"""Waves of upkeep: which host goes down next, and when it is empty.

A host is first cordoned, then its long-running tasks are moved one per step at a
time within the step's availability budget, then what runs on it ends, and only
then is the upkeep ordered.
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

# Time from the cordon of a host until it is back, used to pace a wave.
CYCLE_MS = 6000
# A wave is paced to end in this share of its time, so that delays do not miss it.
PACE_SHARE = 0.6
# At most this share of the hosts of a pool is taken out for upkeep at a time.
POOL_SHARE = 0.34
# Work that does not end by itself within this time is cut short by the upkeep.
PATIENCE_MS = 8000
# Pause before an order that was not carried out is repeated.
RETRY_MS = 400
UP = 'up'


@dataclass(slots=True)
class HostState:
    """What is known of a host in a wave."""

    host_id: str
    cordoned_at_ms: int = 0
    ordered_at_ms: int = 0
    not_before_ms: int = 0
    # The upkeep was ordered and the host has not been listed as up since.
    down: bool = False


@dataclass(slots=True)
class WaveState:
    """Progress of one wave."""

    wave: UpkeepWave
    first_seen_ms: int
    begun: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    hosts_by_id: dict[str, HostState] = field(default_factory=dict)
    done: bool = False
    announced: bool = False

    def waiting(self) -> list[str]:
        """Returns hosts whose upkeep has not begun."""
        return [
            host_id
            for host_id in self.wave.host_ids
            if host_id not in self.begun and host_id not in self.gone
        ]

    def down(self) -> int:
        """Returns how many hosts may be down now."""
        return sum(host.down for host in self.hosts_by_id.values())

    def record(self) -> WaveRecord:
        """Returns what has to be stored."""
        return WaveRecord(begun_host_ids=sorted(self.begun), done=self.done)


@dataclass(slots=True)
class MaintenanceScheduler:
    """All waves of one leadership term."""

    waves_by_name: dict[str, WaveState] = field(default_factory=dict)
    hosts_by_id: dict[str, Host] = field(default_factory=dict)
    listed_ms: int = 0
    # Waves whose record has to be stored.
    dirty: set[str] = field(default_factory=set)
    # A former leader may still give orders about hosts until then.
    not_before_ms: int = 0

    def set_wave(
        self, name: str, wave: UpkeepWave | None, record: WaveRecord | None, now_ms: int
    ) -> None:
        """Takes an order of upkeep, or that it was taken back."""
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
        """Whether the list of hosts is needed."""
        return any(not wave.done for wave in self.waves_by_name.values())

    def in_work(self, host_id: str) -> bool:
        """Whether a host is being emptied for its upkeep, or is down for it."""
        for wave in self.waves_by_name.values():
            state = wave.hosts_by_id.get(host_id)
            if state is None:
                continue
            if state.down or (state.cordoned_at_ms and host_id not in wave.begun):
                return True
        return False

    def hosts_listed(self, listed: HostsListed) -> None:
        """Takes the platform's list of all hosts."""
        self.hosts_by_id = {host.host_id: host for host in listed.hosts}
        self.listed_ms = listed.sent_ms
        for wave in self.waves_by_name.values():
            for state in wave.hosts_by_id.values():
                host = self.hosts_by_id.get(state.host_id)
                settled = listed.sent_ms > state.ordered_at_ms
                if state.down and settled and (host is None or host.state == UP):
                    state.down = False
            missing = set(wave.waiting()) - self.hosts_by_id.keys()
            wave.gone |= missing

    def order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Takes what became of an order of upkeep."""
        for name, wave in self.waves_by_name.items():
            if wave.wave.number != order.wave_number:
                continue
            state = wave.hosts_by_id.get(order.host_id)
            if state is None:
                continue
            if outcome is HostOrderOutcome.ACCEPTED:
                wave.begun.add(order.host_id)
                state.ordered_at_ms = now_ms
                self.dirty.add(name)
                continue
            # The order may have been or may yet be carried out unless it was refused.
            state.down = outcome is HostOrderOutcome.NO_ANSWER
            state.not_before_ms = now_ms + RETRY_MS
            if outcome in (HostOrderOutcome.OTHER_WAVE, HostOrderOutcome.UNKNOWN_HOST):
                wave.gone.add(order.host_id)

    def plan(self, scheduler: Scheduler, now_ms: int) -> list[HostOrder]:
        """Cordons hosts, empties them and returns the orders that are due."""
        cordoned: set[str] = set()
        orders: list[HostOrder] = []
        for name, wave in self.waves_by_name.items():
            if not wave.done and self.listed_ms and now_ms >= self.not_before_ms:
                orders.extend(self._plan_wave(scheduler, name, wave, now_ms))
            cordoned.update(
                state.host_id
                for state in wave.hosts_by_id.values()
                if state.cordoned_at_ms and state.host_id not in wave.begun
            )
        self._apply_cordons(scheduler, cordoned)
        return orders

    def _apply_cordons(self, scheduler: Scheduler, cordoned: set[str]) -> None:
        due = {
            host_id
            for wave in self.waves_by_name.values()
            if not wave.done
            for host_id in wave.waiting()
        }
        for host in self.hosts_by_id.values():
            backend = scheduler.backends_by_id.get(host.backend_id)
            if backend is not None:
                backend.cordoned = host.host_id in cordoned
                backend.upkeep_due = host.host_id in due

    def _plan_wave(
        self, scheduler: Scheduler, name: str, wave: WaveState, now_ms: int
    ) -> list[HostOrder]:
        waiting = wave.waiting()
        if not waiting:
            wave.done = True
            self.dirty.add(name)
            scheduler.note(
                Event.WAVE_ADVANCED,
                {'wave': wave.wave.number, 'begun': len(wave.begun), 'done': True},
            )
            return []
        self._cordon_next(scheduler, wave, waiting, now_ms)
        orders = []
        for host_id in waiting:
            state = wave.hosts_by_id.get(host_id)
            if state is None or not state.cordoned_at_ms or state.down:
                continue
            if now_ms < state.not_before_ms or wave.down() >= wave.wave.max_down:
                continue
            if self._empty(scheduler, state, now_ms):
                state.down = True
                state.ordered_at_ms = now_ms
                orders.append(HostOrder(host_id=host_id, wave_number=wave.wave.number))
        return orders

    def _cordon_next(
        self, scheduler: Scheduler, wave: WaveState, waiting: list[str], now_ms: int
    ) -> None:
        """Cordons as many hosts as the wave needs to end in time."""
        open_ids = [
            host_id
            for host_id in waiting
            if host_id not in wave.hosts_by_id
            or not wave.hosts_by_id[host_id].cordoned_at_ms
        ]
        in_work = len(waiting) - len(open_ids) + wave.down()
        wanted = _hosts_at_once(wave, len(waiting), now_ms)
        room = min(wanted, wave.wave.max_down) - in_work
        if room <= 0:
            return
        taken = self._taken_by_pool(wave)
        open_ids.sort(key=lambda host_id: self._load(scheduler, host_id))
        for host_id in open_ids:
            host = self.hosts_by_id.get(host_id)
            if room <= 0 or host is None or host.state != UP:
                continue
            pool = [h for h in self.hosts_by_id.values() if h.pool == host.pool]
            if taken.get(host.pool, 0) >= max(1, int(len(pool) * POOL_SHARE)):
                continue
            taken[host.pool] = taken.get(host.pool, 0) + 1
            state = wave.hosts_by_id.setdefault(host_id, HostState(host_id))
            state.cordoned_at_ms = now_ms
            room -= 1

    def _taken_by_pool(self, wave: WaveState) -> dict[str, int]:
        taken: dict[str, int] = {}
        for state in wave.hosts_by_id.values():
            host = self.hosts_by_id.get(state.host_id)
            out = state.down or (
                state.cordoned_at_ms and state.host_id not in wave.begun
            )
            if host is not None and out:
                taken[host.pool] = taken.get(host.pool, 0) + 1
        return taken

    def _load(self, scheduler: Scheduler, host_id: str) -> int:
        backend = self._backend(scheduler, host_id)
        return backend.cpu_millicores if backend else 0

    def _backend(self, scheduler: Scheduler, host_id: str) -> BackendState | None:
        host = self.hosts_by_id.get(host_id)
        return scheduler.backends_by_id.get(host.backend_id) if host else None

    def _empty(self, scheduler: Scheduler, state: HostState, now_ms: int) -> bool:
        """Whether a cordoned host may go down; moves long-running tasks off it."""
        backend = self._backend(scheduler, state.host_id)
        if backend is None:
            return True
        patient = now_ms - state.cordoned_at_ms < PATIENCE_MS
        for task in list(backend.tasks_by_name.values()):
            evict_if_allowed(scheduler, task, 'upkeep')
        left = [
            task
            for task in backend.tasks_by_name.values()
            if patient or task.step.spec.long_running
        ]
        return not left


def _hosts_at_once(wave: WaveState, waiting: int, now_ms: int) -> int:
    """Returns how many hosts have to be in work for a wave to end in time."""
    end_ms = wave.first_seen_ms + int(wave.wave.within_s * 1000 * PACE_SHARE)
    left_ms = max(CYCLE_MS, end_ms - now_ms)
    return max(1, math.ceil(waiting * CYCLE_MS / left_ms))


def evict_if_allowed(scheduler: Scheduler, task: TaskState, reason: str) -> bool:
    """Stops a long-running task that may be moved now; returns whether it did."""
    if not task.step.spec.long_running or task.stopping or not task.sent:
        return False
    if task.phase is not TaskPhase.RUNNING:
        return False
    if away_count(task.step, task) >= max(1, task.step.spec.max_unavailable):
        return False
    scheduler.stop(task, reason)
    return True


def away_count(step: StepState, but: TaskState) -> int:
    """Returns how many other tasks of a step are not fully at work."""
    return sum(1 for task in step.tasks if task is not but and not at_work(task))


def at_work(task: TaskState) -> bool:
    """Whether a task runs, is at its full speed and is not being stopped.

    A backend server out of contact may have lost its tasks.
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
