"""Faults that come from outside the processes, drawn from a seed."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from dandelionknot.clock import now_ms, seconds
from soak.fleet import GRACE_S, Member, SoakFleet
from standins.relay import Relay

Fault = Callable[[SoakFleet], Coroutine[Any, Any, None]]
# A backend server that is silent is taken off the registry after this time.
ENTRY_LAPSE_MS = 4500


async def _wait(fleet: SoakFleet, low_ms: int, high_ms: int) -> None:
    await asyncio.sleep(seconds(fleet.rng.randint(low_ms, high_ms)))


def _any_member(fleet: SoakFleet) -> Member:
    return fleet.rng.choice(list(fleet.members_by_id.values()))


def _any_relay(fleet: SoakFleet) -> Relay:
    relays = list(fleet.backend_relays_by_id.values())
    relays += [member.store_relay for member in fleet.members_by_id.values()]
    return fleet.rng.choice(relays)


def _disturb_all(fleet: SoakFleet, for_ms: int) -> None:
    for member in fleet.members_by_id.values():
        fleet.disturb(member, for_ms)


async def kill(fleet: SoakFleet) -> None:
    """Kills a process, which starts again later."""
    member = _any_member(fleet)
    fleet.disturb(member, 1000)
    member.send(signal.SIGKILL)
    await _wait(fleet, 100, 3000)
    await fleet.start(member)


async def kill_all(fleet: SoakFleet) -> None:
    """Kills all processes at once."""
    _disturb_all(fleet, 1000)
    for member in fleet.members_by_id.values():
        member.send(signal.SIGKILL)
    await _wait(fleet, 100, 2000)
    for member in fleet.members_by_id.values():
        await fleet.start(member)


async def stop(fleet: SoakFleet) -> None:
    """Stops a process as the platform does, and starts it again."""
    member = _any_member(fleet)
    if not member.running or member.process is None or member.stopping:
        return
    member.stopping = True
    member.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await member.process.wait()
    except TimeoutError:
        if now_ms() > member.disturbed_until_ms:
            fleet.oracle.report(f'{member.member_id} did not stop within {GRACE_S} s')
        member.send(signal.SIGKILL)
    await _wait(fleet, 0, 1500)
    await fleet.start(member)


async def pause(fleet: SoakFleet) -> None:
    """Suspends a process and lets it go on, sometimes twice in a row."""
    member = _any_member(fleet)
    for _ in range(fleet.rng.randint(1, 2)):
        pause_ms = fleet.rng.randint(200, 5000)
        fleet.disturb(member, pause_ms + 1000)
        member.send(signal.SIGSTOP)
        await asyncio.sleep(seconds(pause_ms))
        member.send(signal.SIGCONT)
        await _wait(fleet, 0, 500)


async def delay(fleet: SoakFleet) -> None:
    """Delays everything on one path."""
    relay = _any_relay(fleet)
    relay.faults.delay_ms = fleet.rng.randint(20, 900)
    _disturb_all(fleet, 6000)
    await _wait(fleet, 500, 4000)
    relay.faults.delay_ms = 0


async def reset(fleet: SoakFleet) -> None:
    """Resets the open connections of one path."""
    _disturb_all(fleet, 1000)
    _any_relay(fleet).reset_open()


async def cut_one_way(fleet: SoakFleet) -> None:
    """Loses the answers on one path, so that orders are still carried out."""
    relay = _any_relay(fleet)
    relay.faults.one_way = True
    _disturb_all(fleet, 8000)
    await _wait(fleet, 300, 6000)
    relay.faults.one_way = False


async def silence(fleet: SoakFleet) -> None:
    """Lets one path go silent; the connections stay open for good."""
    relay = _any_relay(fleet)
    relay.faults.silent = True
    _disturb_all(fleet, 10_000)
    await _wait(fleet, 300, 8000)
    relay.faults.silent = False


async def go_silent(fleet: SoakFleet) -> None:
    """Freezes the open connections of one path; new ones work."""
    _disturb_all(fleet, 4000)
    _any_relay(fleet).freeze_open()


async def refuse_store(fleet: SoakFleet) -> None:
    """Lets the store refuse every call; leases run out meanwhile."""
    site = fleet.platform.store_site
    site.refusing = fleet.rng.choice((503, 429))
    _disturb_all(fleet, 8000)
    await _wait(fleet, 300, 5000)
    site.refusing = None


async def lose_store_answers(fleet: SoakFleet) -> None:
    """Lets the store carry out calls without an answer."""
    site = fleet.platform.store_site
    site.lost_share = fleet.rng.uniform(0.1, 0.6)
    _disturb_all(fleet, 6000)
    await _wait(fleet, 500, 4000)
    site.lost_share = 0.0


async def forget_history(fleet: SoakFleet) -> None:
    """Drops the history of the store."""
    fleet.platform.store.forget_history()


async def crash_backend(fleet: SoakFleet) -> None:
    """Ends a backend server, which comes back with a new lifetime."""
    backends = list(fleet.platform.backends_by_id.values())
    backend = fleet.rng.choice(backends)
    if not backend.up:
        return
    backend.crash()
    away_ms = fleet.rng.randint(100, 7000)
    await asyncio.sleep(seconds(min(away_ms, ENTRY_LAPSE_MS)))
    if away_ms > ENTRY_LAPSE_MS:
        fleet.platform.store.delete(f'servers/{backend.backend_id}')
        await asyncio.sleep(seconds(away_ms - ENTRY_LAPSE_MS))
    fleet.restart_backend(backend)


async def stall_backend(fleet: SoakFleet) -> None:
    """Lets the tasks of a backend server stand still, or fail."""
    backend = fleet.rng.choice(list(fleet.platform.backends_by_id.values()))
    if fleet.rng.random() < 0.5:
        backend.stands_still = True
    else:
        backend.fails_all = True
    await _wait(fleet, 500, 4000)
    backend.stands_still = backend.fails_all = False


async def change_configuration(fleet: SoakFleet) -> None:
    """Puts versions in force in quick succession."""
    for _ in range(fleet.rng.randint(1, 6)):
        fleet.configure()
        await _wait(fleet, 10, 400)


async def withdraw_key(fleet: SoakFleet) -> None:
    """Gives a new key and takes the old ones away."""
    old = list(fleet.keys)
    fleet.keys.append(f'key-{fleet.version + 1}')
    fleet.configure()
    await _wait(fleet, 500, 1500)
    for key in old:
        if key in fleet.keys:
            fleet.keys.remove(key)
    fleet.configure()
    for key in old:
        fleet.withdrawn_at_ms[key] = now_ms()


FAULTS: dict[str, Fault] = {
    function.__name__: function
    for function in (
        kill,
        kill_all,
        stop,
        pause,
        delay,
        reset,
        cut_one_way,
        silence,
        go_silent,
        refuse_store,
        lose_store_answers,
        forget_history,
        crash_backend,
        stall_backend,
        change_configuration,
        withdraw_key,
    )
}
