"""Hosts of an emulated fleet: their list, and the maintenance that is carried out."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from result import Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.errors import PortError
from dandelionknot.jobs._generated import (
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    UpkeepWave,
)
from dandelionknot.jobs._maintenance import DOWN, IN_MAINTENANCE, UP
from emulator.backends import NETWORK_DELAY_MS, Backend

if TYPE_CHECKING:
    from emulator.fleet import EmulatedFleet

# Keys of the waves that operators order.
WAVE_PREFIX = 'operators/waves/'
# Time from the begin of the maintenance of a host until it is up again.
MAINTENANCE_MS = 2000
# Time after which a client gives up a call that is not answered.
CALL_TIMEOUT_MS = 1500


@dataclass(slots=True)
class Hosts:
    """State of the platform's host service."""

    waves_by_number: dict[int, UpkeepWave] = field(default_factory=dict)
    # Hosts whose maintenance has begun, by the number of the wave.
    begun_by_wave: dict[int, set[str]] = field(default_factory=dict)
    # Wave for which each host is down now.
    wave_by_host_id: dict[str, int] = field(default_factory=dict)
    # Cleared while orders are carried out but no call is answered.
    answers: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Sets the event, as calls are answered at first."""
        self.answers.set()


def order_wave(
    fleet: EmulatedFleet, host_ids: list[str], within_s: int, max_down: int
) -> None:
    """Orders the maintenance of some hosts, as operators do."""
    number = len(fleet.hosts.waves_by_number) + 1
    wave = UpkeepWave(
        number=number, host_ids=host_ids, within_s=within_s, max_down=max_down
    )
    fleet.hosts.waves_by_number[number] = wave
    fleet.store.put(f'{WAVE_PREFIX}{number}', msgspec.json.encode(wave))


def begin_maintenance(fleet: EmulatedFleet, backend: Backend, number: int) -> None:
    """Ends the backend server of a host for a wave; it is back after some time."""
    fleet.hosts.wave_by_host_id[backend.host_id] = number
    backend.crash()
    fleet.unregister(backend)
    loop = asyncio.get_running_loop()
    loop.call_later(seconds(MAINTENANCE_MS), _end_maintenance, fleet, backend)


def _end_maintenance(fleet: EmulatedFleet, backend: Backend) -> None:
    del fleet.hosts.wave_by_host_id[backend.host_id]
    backend.restart()
    fleet.register(backend)


@dataclass(slots=True)
class EmulatedHostClient:
    """Lists the hosts of all backend servers and carries out their maintenance."""

    fleet: EmulatedFleet

    async def list_hosts(self) -> Result[HostsListed, PortError]:
        """Returns each host with its backend server, if that is up."""
        sent_ms = now_ms()
        await asyncio.sleep(seconds(NETWORK_DELAY_MS))
        await self.fleet.hosts.answers.wait()
        rows = [
            Host(
                host_id=backend.host_id,
                pool=backend.service,
                state=self._state(backend),
                availability_zone=backend.zone,
                backend_id=backend.backend_id if backend.up else '',
            )
            for backend in self.fleet.backends_by_id.values()
        ]
        return Ok(HostsListed(hosts=rows, sent_ms=sent_ms))

    def _state(self, backend: Backend) -> str:
        if backend.host_id in self.fleet.hosts.wave_by_host_id:
            return IN_MAINTENANCE
        return UP if backend.up else DOWN

    async def order(
        self, order: HostOrder, fencing_token: int, valid_until_ms: int
    ) -> HostOrderOutcome:
        """Begins the maintenance of a host of a wave; refuses moves."""
        await asyncio.sleep(seconds(NETWORK_DELAY_MS))
        outcome = self._carry_out(order)
        if not self.fleet.hosts.answers.is_set():
            await asyncio.sleep(seconds(CALL_TIMEOUT_MS))
            return HostOrderOutcome.NO_ANSWER
        return outcome

    def _carry_out(self, order: HostOrder) -> HostOrderOutcome:
        hosts = self.fleet.hosts
        wave = hosts.waves_by_number.get(order.wave_number)
        if wave is None:
            return HostOrderOutcome.NOT_DONE
        begun = hosts.begun_by_wave.setdefault(order.wave_number, set())
        if order.host_id in begun:
            return HostOrderOutcome.ACCEPTED
        backends = self.fleet.backends_by_id.values()
        backend = next(b for b in backends if b.host_id == order.host_id)
        if not backend.up:
            return HostOrderOutcome.BUSY
        down = list(hosts.wave_by_host_id.values()).count(order.wave_number)
        if down >= wave.max_down:
            self.fleet.oracle.report(
                f'{order.host_id} goes down while {down} hosts of its wave are down'
            )
        self.fleet.oracle.check_availability(backend)
        begun.add(order.host_id)
        begin_maintenance(self.fleet, backend, order.wave_number)
        return HostOrderOutcome.ACCEPTED
