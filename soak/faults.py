"""Faults injected into the processes from outside; the seed determines them."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from dandelionknot.clock import now_ms, seconds
from emulator.backends import Backend
from soak.crowds import (
    huge_bodies,
    unfinished_bodies,
    unfinished_chunks,
    unfinished_headers,
)
from soak.fleet import GRACE_S, Member, SoakFleet
from standins.job_platform import MAX_KEPT_S, LateCalls
from standins.relay import Relay
from standins.waiting import wait_until

Fault = Callable[[SoakFleet], Coroutine[Any, Any, None]]
# Registry entries of backend servers are deleted when not renewed for this time.
REGISTRY_EXPIRY_MS = 4500
# Longest time after which a call without an answer is carried out, as users state it.
MAX_LATE_MS = 12_000
# Time after the first answer of a lifetime in which its leader can bar former calls.
CONTACT_MS = 500


async def _wait(fleet: SoakFleet, low_ms: int, high_ms: int) -> None:
    await asyncio.sleep(seconds(fleet.rng.randint(low_ms, high_ms)))


def _random_member(fleet: SoakFleet) -> Member:
    return fleet.rng.choice(list(fleet.members_by_id.values()))


def _random_relay(fleet: SoakFleet) -> Relay:
    relays = list(fleet.backend_relays_by_id.values())
    relays += [member.store_relay for member in fleet.members_by_id.values()]
    return fleet.rng.choice(relays)


def _mark_all_disturbed(fleet: SoakFleet, for_ms: int) -> None:
    for member in fleet.members_by_id.values():
        fleet.mark_disturbed(member, for_ms)


async def kill(fleet: SoakFleet) -> None:
    """Kills a process and restarts it later."""
    member = _random_member(fleet)
    fleet.mark_disturbed(member, 1000)
    member.send_signal(signal.SIGKILL)
    await _wait(fleet, 100, 3000)
    await fleet.start(member)


async def kill_all(fleet: SoakFleet) -> None:
    """Kills all processes at once and restarts them later."""
    _mark_all_disturbed(fleet, 1000)
    for member in fleet.members_by_id.values():
        member.send_signal(signal.SIGKILL)
    await _wait(fleet, 100, 2000)
    for member in fleet.members_by_id.values():
        await fleet.start(member)


async def stop(fleet: SoakFleet) -> None:
    """Stops a process as the platform does, with SIGTERM, and starts it again.

    Reports the process if it did not end within the grace time although no other fault
    disturbed it.
    """
    member = _random_member(fleet)
    if not member.running or member.process is None or member.stopping:
        return
    member.stopping = True
    member.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await member.process.wait()
    except TimeoutError:
        if now_ms() > member.disturbed_until_ms:
            fleet.oracle.report(
                f'{member.member_id} did not end within {GRACE_S} s of SIGTERM'
            )
        member.send_signal(signal.SIGKILL)
    await _wait(fleet, 0, 1500)
    await fleet.start(member)


async def pause(fleet: SoakFleet) -> None:
    """Suspends a process and resumes it, sometimes twice in a row."""
    member = _random_member(fleet)
    for _ in range(fleet.rng.randint(1, 2)):
        pause_ms = fleet.rng.randint(200, 5000)
        fleet.mark_disturbed(member, pause_ms + 1000)
        member.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds(pause_ms))
        member.send_signal(signal.SIGCONT)
        await _wait(fleet, 0, 500)


async def delay(fleet: SoakFleet) -> None:
    """Delays all data on one path."""
    relay = _random_relay(fleet)
    relay.faults.delay_ms = fleet.rng.randint(20, 900)
    _mark_all_disturbed(fleet, 6000)
    await _wait(fleet, 500, 4000)
    relay.faults.delay_ms = 0


async def reset(fleet: SoakFleet) -> None:
    """Resets the open connections of one path."""
    _mark_all_disturbed(fleet, 1000)
    _random_relay(fleet).reset_open()


async def cut_one_way(fleet: SoakFleet) -> None:
    """Drops the answers on one path, while requests still arrive."""
    relay = _random_relay(fleet)
    relay.faults.one_way = True
    _mark_all_disturbed(fleet, 8000)
    await _wait(fleet, 300, 6000)
    relay.faults.one_way = False


async def silence(fleet: SoakFleet) -> None:
    """Drops all data on one path for a time.

    Connections that carried data in that time stay open and carry no more data.
    """
    relay = _random_relay(fleet)
    relay.faults.silent = True
    _mark_all_disturbed(fleet, 10_000)
    await _wait(fleet, 300, 8000)
    relay.faults.silent = False


async def go_silent(fleet: SoakFleet) -> None:
    """Freezes the open connections of one path, while new connections work."""
    _mark_all_disturbed(fleet, 4000)
    _random_relay(fleet).freeze_open()


async def refuse_store(fleet: SoakFleet) -> None:
    """Makes the store refuse every call while its leases still expire."""
    server = fleet.platform.store_server
    server.forced_status = fleet.rng.choice((503, 429))
    _mark_all_disturbed(fleet, 8000)
    await _wait(fleet, 300, 5000)
    server.forced_status = None


async def lose_store_answers(fleet: SoakFleet) -> None:
    """Makes the store carry out some calls without answering them."""
    server = fleet.platform.store_server
    server.lost_share = fleet.rng.uniform(0.1, 0.6)
    _mark_all_disturbed(fleet, 6000)
    await _wait(fleet, 500, 4000)
    server.lost_share = 0.0


async def forget_history(fleet: SoakFleet) -> None:
    """Deletes the store's history, so that watches have to read again."""
    fleet.platform.store.forget_history()


async def crash_backend(fleet: SoakFleet) -> None:
    """Crashes a backend server and restarts it later under the same id.

    The registry entry is deleted if the server is down for longer than
    `REGISTRY_EXPIRY_MS`.
    """
    backends = list(fleet.platform.backends_by_id.values())
    backend = fleet.rng.choice(backends)
    if not backend.up:
        return
    backend.crash()
    await _restart_later(fleet, backend, fleet.rng.randint(100, 7000))


async def _restart_later(fleet: SoakFleet, backend: Backend, down_ms: int) -> None:
    await asyncio.sleep(seconds(min(down_ms, REGISTRY_EXPIRY_MS)))
    if down_ms > REGISTRY_EXPIRY_MS:
        fleet.platform.store.delete(f'servers/{backend.backend_id}')
        await asyncio.sleep(seconds(down_ms - REGISTRY_EXPIRY_MS))
    fleet.restart_backend(backend)


async def stall_backend(fleet: SoakFleet) -> None:
    """Stalls the tasks of a backend server, or makes every task that it starts fail."""
    backend = fleet.rng.choice(list(fleet.platform.backends_by_id.values()))
    if fleet.rng.random() < 0.5:
        backend.is_stalled = True
    else:
        backend.fails_all = True
    await _wait(fleet, 500, 4000)
    backend.is_stalled = backend.fails_all = False


async def change_configuration(fleet: SoakFleet) -> None:
    """Puts up to six configuration versions in force in quick succession."""
    for _ in range(fleet.rng.randint(1, 6)):
        fleet.configure()
        await _wait(fleet, 10, 400)


async def withdraw_key(fleet: SoakFleet) -> None:
    """Gives the client account a new key and then withdraws its old keys."""
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


async def lose_many(fleet: SoakFleet) -> None:
    """Crashes many backend servers at once; some of them stay down.

    Only the crash itself counts as the fault: with room elsewhere, no job has to wait
    until they are back.
    """
    backends = [b for b in fleet.platform.backends_by_id.values() if b.up]
    count = max(1, int(len(backends) * fleet.rng.uniform(0.05, 0.3)))
    chosen = fleet.rng.sample(backends, min(count, len(backends) - 1))
    if fleet.rng.random() < 0.3:
        # A whole rack, or some of them.
        chosen.sort(key=lambda b: fleet.platform.racks_by_backend_id[b.backend_id])
    down_ms = fleet.rng.choice((500, 2000, 5000, 8000, 30_000))
    for backend in chosen:
        backend.crash()
        restart = asyncio.create_task(_restart_later(fleet, backend, down_ms))
        fleet.restarts.add(restart)
        restart.add_done_callback(fleet.restarts.discard)


async def lose_many_and_leader(fleet: SoakFleet) -> None:
    """Crashes many backend servers, and kills one or more successive leaders."""
    await lose_many(fleet)
    for _ in range(fleet.rng.randint(1, 3)):
        await _kill_leader(fleet)


async def lose_many_and_all_members(fleet: SoakFleet) -> None:
    """Crashes many backend servers, and kills all processes shortly after."""
    await lose_many(fleet)
    await _wait(fleet, 200, 2000)
    await kill_all(fleet)


async def _kill_leader(fleet: SoakFleet) -> None:
    member = fleet.leader()
    if member is not None:
        fleet.mark_disturbed(member, 1000)
        member.send_signal(signal.SIGKILL)
        await _wait(fleet, 500, 3000)
        await fleet.start(member)


async def late_entry(fleet: SoakFleet) -> None:
    """Restarts a backend server, whose former entry is written after its new one.

    The clock of its host may be set back meanwhile, the new entry may come only some
    seconds later, and the leader may be killed before or after the late entry.
    """
    rng, platform = fleet.rng, fleet.platform
    backend = rng.choice(list(platform.backends_by_id.values()))
    if not backend.up:
        return
    key, former = f'servers/{backend.backend_id}', platform.entry(backend.backend_id)
    backend.crash()
    await _wait(fleet, 100, 3000)
    backend.restart()
    if rng.random() < 0.4:
        backend.born_ms = former['born'] - rng.randint(1, 5000)
    await _wait(fleet, 1, rng.choice((100, 4000)))
    platform.register(backend.backend_id)
    await _wait(fleet, 10, 2500)
    kill_before, kill_after = rng.random() < 0.3, rng.random() < 0.3
    kills = [asyncio.create_task(_kill_leader(fleet))] if kill_before else []
    await _wait(fleet, 1, 2500)
    if backend.up:
        platform.put(key, former)
    await _wait(fleet, 1, 1000)
    if kill_after:
        kills.append(asyncio.create_task(_kill_leader(fleet)))
    await _wait(fleet, 500, 1500)
    if backend.up:
        platform.register(backend.backend_id)
    await asyncio.gather(*kills)


async def restart_and_kill_leader(fleet: SoakFleet) -> None:
    """Restarts a backend server, and kills the leader while it writes the records."""
    backend = fleet.rng.choice(list(fleet.platform.backends_by_id.values()))
    leader = fleet.leader()
    if not backend.up or leader is None:
        return
    _mark_all_disturbed(fleet, 6000)
    leader.store_relay.faults.delay_ms = fleet.rng.choice((0, 50, 200))
    backend.crash()
    await _restart_later(fleet, backend, fleet.rng.randint(50, 600))
    await _wait(fleet, 50, 1500)
    leader.send_signal(signal.SIGKILL)
    leader.store_relay.faults.delay_ms = 0
    await _wait(fleet, 500, 3000)
    await fleet.start(leader)


def _late(
    late_calls: LateCalls, rng: random.Random, share: float, waits_for_contact: bool
) -> Callable[[str], Awaitable[object] | None]:
    """Returns a function that chooses calls to be carried out late, and when.

    Those are a share of the calls, and all that arrive while the server is down. The
    latter are carried out at the begin of the next lifetime or, as the others, after a
    random time. With `waits_for_contact`, a later lifetime carries these out only when
    its leader has reached it.
    """
    backend = late_calls.backend

    def is_reached() -> bool:
        return (
            backend.up
            and late_calls.reached_born_ms == backend.born_ms
            and now_ms() >= late_calls.reached_at_ms + CONTACT_MS
        )

    async def wait(delay_ms: int, born_ms: int) -> None:
        await asyncio.sleep(seconds(delay_ms))
        is_later = not backend.up or backend.born_ms != born_ms
        if waits_for_contact and delay_ms and is_later:
            await wait_until(is_reached, MAX_KEPT_S)

    def hold_back(path: str) -> Awaitable[object] | None:
        if backend.up and rng.random() >= share:
            return None
        at_begin = not backend.up and rng.random() < 0.5
        return wait(0 if at_begin else rng.randint(1, MAX_LATE_MS), backend.born_ms)

    return hold_back


async def recut(fleet: SoakFleet) -> None:
    """Restarts a backend server and cuts it off, while it carries out calls late.

    It leaves some calls without an answer, and all that arrive while it is down. The
    leader may be killed between the restart and the cut, and the server may restart
    once more, during the cut or after it.
    """
    await _recut(fleet, waits_for_contact=False)


async def recut_reached(fleet: SoakFleet) -> None:
    """Does the same, with no late call that a leader could not bar.

    A start may be carried out after its run has ended, by a later lifetime which no
    leader has reached. Nothing that a leader does can bar that.
    """
    await _recut(fleet, waits_for_contact=True)


async def _recut(fleet: SoakFleet, waits_for_contact: bool) -> None:
    rng, platform = fleet.rng, fleet.platform
    free = [
        backend
        for backend in platform.backends_by_id.values()
        if backend.up
        and not platform.late_calls_by_backend_id[backend.backend_id].keeps_when_down
    ]
    if not free:
        return
    backend = rng.choice(free)
    backend_id = backend.backend_id
    late_calls = platform.late_calls_by_backend_id[backend_id]
    relay_faults = fleet.backend_relays_by_id[backend_id].faults
    answer_again = late_calls.hold_back
    late_calls.keeps_when_down = True
    late_calls.longest_ms = MAX_LATE_MS
    late_rng = random.Random(rng.random())
    late_calls.hold_back = _late(
        late_calls, late_rng, rng.uniform(0.0, 0.4), waits_for_contact
    )
    kills_leader, restarts_again = rng.random() < 0.4, rng.random() < 0.4
    kills = []
    await _wait(fleet, 0, 1000)
    await _crash_and_restart(fleet, backend, rng.randint(300, 2000))
    if kills_leader:
        kills.append(asyncio.create_task(_kill_leader(fleet)))
    await _wait(fleet, 1000, 3000)
    _mark_all_disturbed(fleet, 15_000)
    fleet.note(f'{backend_id} is cut off')
    relay_faults.silent = True
    cut_ms = rng.randint(500, 9000)
    again = asyncio.create_task(_restart_again(fleet, backend, restarts_again))
    await asyncio.sleep(seconds(cut_ms))
    relay_faults.silent = False
    fleet.note(f'{backend_id} is not cut off any more')
    await asyncio.gather(again, *kills)
    late_calls.hold_back = answer_again
    late_calls.keeps_when_down = False


async def _crash_and_restart(fleet: SoakFleet, backend: Backend, down_ms: int) -> None:
    if backend.up:
        runs = [f'{run.task_name} {run.run}' for run in backend.runs_by_name.values()]
        fleet.note(f'{backend.backend_id} crashes under {runs}')
        backend.crash()
        await _restart_later(fleet, backend, down_ms)
        fleet.note(f'{backend.backend_id} is up as lifetime {backend.born_ms}')


async def _restart_again(fleet: SoakFleet, backend: Backend, restarts: bool) -> None:
    if restarts:
        await _wait(fleet, 0, 9000)
        await _crash_and_restart(fleet, backend, fleet.rng.randint(300, 2000))


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
# Faults that cost many backend servers at once. They are not in `FAULTS`, from which
# the seeds of former runs draw.
LOSSES: dict[str, Fault] = {
    function.__name__: function
    for function in (lose_many, lose_many_and_leader, lose_many_and_all_members)
}
# Faults that mix up lifetimes of one backend server, kept apart for the same reason.
LIFETIMES: dict[str, Fault] = {
    function.__name__: function for function in (late_entry, restart_and_kill_leader)
}
# Restarts and cuts with calls that are carried out late, kept apart for the same
# reason, and the faults that overlap with them. A name that occurs twice is drawn twice
# as often.
RECUT: dict[str, Fault] = {
    function.__name__: function for function in (recut, recut_reached)
}
RECUT_NAMES = (*(['recut'] * 3), 'kill', 'stop', 'pause')
RECUT_REACHED_NAMES = (*(['recut_reached'] * 3), 'kill', 'stop', 'pause')
# Clients that are not under control, kept apart for the same reason, and other faults
# that overlap with them.
CROWDS: dict[str, Fault] = {
    function.__name__: function
    for function in (
        unfinished_bodies,
        unfinished_chunks,
        huge_bodies,
        unfinished_headers,
    )
}
CROWD_NAMES = (*CROWDS, 'kill', 'stop')
ALL_FAULTS = FAULTS | LOSSES | LIFETIMES | RECUT | CROWDS
