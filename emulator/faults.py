"""Faults that are injected into an emulated fleet. The seed determines them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from dandelionknot.clock import now_ms, seconds
from emulator.backends import Backend
from emulator.fleet import SERVICES, EmulatedFleet
from emulator.hosts import order_wave

# Name of the fault that does not disturb the managers themselves.
DEADLY_TASKS = 'deadly_tasks'
# Longest time for which a fault looks for a backend server that fits.
MAX_SEARCH_MS = 1500

Fault = Callable[[EmulatedFleet], Coroutine[Any, Any, None]]


async def _wait(fleet: EmulatedFleet, low_ms: int, high_ms: int) -> None:
    await asyncio.sleep(seconds(fleet.rng.randint(low_ms, high_ms)))


async def kill_leader(fleet: EmulatedFleet) -> None:
    """Kills the leader, or any manager if there is none, and restarts it later."""
    member_id = fleet.leader() or fleet.rng.choice(list(fleet.members_by_id))
    await fleet.kill_member(member_id)
    await _wait(fleet, 200, 3000)
    if fleet.members_by_id[member_id].core is None:
        fleet.start_member(member_id)


async def kill_all(fleet: EmulatedFleet) -> None:
    """Kills all managers at once and restarts them later."""
    for member_id in fleet.members_by_id:
        await fleet.kill_member(member_id)
    await _wait(fleet, 200, 3000)
    for member_id, member in fleet.members_by_id.items():
        if member.core is None:
            fleet.start_member(member_id)


async def cut_leader_from_store(fleet: EmulatedFleet) -> None:
    """Cuts the leader off from the store but not from the backend servers."""
    member_id = fleet.leader() or fleet.rng.choice(list(fleet.members_by_id))
    cut = fleet.members_by_id[member_id].cut
    cut[0] = True
    await _wait(fleet, 500, 9000)
    cut[0] = False


async def cut_backends(fleet: EmulatedFleet) -> None:
    """Disconnects three backend servers from all managers while their tasks run."""
    chosen = fleet.rng.sample(sorted(fleet.backends_by_id), 3)
    pairs = {(m, b) for m in fleet.members_by_id for b in chosen}
    fleet.cut_paths |= pairs
    await _wait(fleet, 300, 12000)
    fleet.cut_paths -= pairs


async def cut_some_paths(fleet: EmulatedFleet) -> None:
    """Cuts about 30 % of the paths between managers and backend servers."""
    pairs = {
        (member, backend)
        for member in fleet.members_by_id
        for backend in fleet.backends_by_id
        if fleet.rng.random() < 0.3
    }
    fleet.cut_paths |= pairs
    await _wait(fleet, 300, 9000)
    fleet.cut_paths -= pairs


async def crash_backend(fleet: EmulatedFleet) -> None:
    """Crashes a backend server and restarts it later under the same id."""
    backend = fleet.backends_by_id[fleet.rng.choice(sorted(fleet.backends_by_id))]
    if not backend.up:
        return
    backend.crash()
    await fleet.restart_later(backend, fleet.rng.randint(100, 8000))


async def store_down(fleet: EmulatedFleet) -> None:
    """Stops the store for a time and extends its leases by the length of the outage."""
    fleet.store.down = True
    before = dict(fleet.store.lease_ends_by_id)
    duration_ms = fleet.rng.randint(500, 6000)
    await asyncio.sleep(seconds(duration_ms))
    for lease_id, end in before.items():
        if lease_id in fleet.store.lease_ends_by_id:
            fleet.store.lease_ends_by_id[lease_id] = end + duration_ms
    fleet.store.down = False


async def store_lapses(fleet: EmulatedFleet) -> None:
    """Stops the store for a time in which its leases still expire."""
    fleet.store.down = True
    await _wait(fleet, 500, 6000)
    fleet.store.down = False


async def lose_answers(fleet: EmulatedFleet) -> None:
    """Drops 30 % of the answers to store writes and delays half of these writes."""
    fleet.store.lost_share, fleet.store.late_share = 0.3, 0.5
    await _wait(fleet, 1000, 6000)
    fleet.store.lost_share = 0.0


async def slow_store(fleet: EmulatedFleet) -> None:
    """Delays every call to the store by 250 ms."""
    fleet.store.slow_ms = 250
    await _wait(fleet, 1000, 5000)
    fleet.store.slow_ms = 0


async def forget_history(fleet: EmulatedFleet) -> None:
    """Deletes the store's history, so that watches have to read again."""
    fleet.store.forget_history()


async def late_orders(fleet: EmulatedFleet) -> None:
    """Leaves some orders to backend servers unanswered and carries them out late."""
    fleet.late_share[0] = 0.15
    await _wait(fleet, 1000, 6000)
    fleet.late_share[0] = 0.0


async def refused_orders(fleet: EmulatedFleet) -> None:
    """Makes a backend server refuse some calls, while others are carried out late."""
    backend = fleet.backends_by_id[fleet.rng.choice(sorted(fleet.backends_by_id))]
    backend.refused_share, fleet.late_share[0] = 0.4, 0.5
    await _wait(fleet, 1000, 6000)
    backend.refused_share = fleet.late_share[0] = 0.0


async def bad_backend(fleet: EmulatedFleet) -> None:
    """Makes a backend server fail every task that it starts, or stalls its tasks."""
    backend = fleet.backends_by_id[fleet.rng.choice(sorted(fleet.backends_by_id))]
    if fleet.rng.random() < 0.5:
        backend.fails_all = True
        await _wait(fleet, 500, 3000)
        backend.fails_all = False
    else:
        backend.is_stalled = True
        await _wait(fleet, 500, 5000)
        backend.is_stalled = False


async def deadly_tasks(fleet: EmulatedFleet) -> None:
    """Makes a task of some new jobs crash each backend server that starts it."""
    fleet.deadly_share = 0.1
    await _wait(fleet, 2000, 8000)
    fleet.deadly_share = 0.0


async def lose_many(fleet: EmulatedFleet) -> None:
    """Crashes many backend servers at once; they are back after some seconds.

    Only the crash itself counts as the fault: with room elsewhere, no job has to wait
    until they are back.
    """
    up = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    up = [backend for backend in up if backend.up]
    count = max(1, int(len(up) * fleet.rng.uniform(0.05, 0.3)))
    down_ms = fleet.rng.choice((500, 2000, 5000, 8000, 30_000))
    for backend in fleet.rng.sample(up, min(count, len(up) - 1)):
        backend.crash()
        fleet.start_restart(backend, down_ms)


async def lose_many_and_leader(fleet: EmulatedFleet) -> None:
    """Crashes many backend servers, and kills one or more successive leaders."""
    await lose_many(fleet)
    for _ in range(fleet.rng.randint(1, 3)):
        await kill_leader(fleet)


async def late_entry(fleet: EmulatedFleet) -> None:
    """Restarts a backend server, whose former entry is written after its new one.

    The clock of its host may be set back meanwhile, the new entry may come only some
    seconds later, and the leader may be killed before or after the late entry.
    """
    rng = fleet.rng
    backend = fleet.backends_by_id[rng.choice(sorted(fleet.backends_by_id))]
    if not backend.up:
        return
    former = fleet.entry(backend)
    backend.crash()
    await _wait(fleet, 100, 3000)
    backend.restart()
    if rng.random() < 0.4:
        backend.born_ms = former.born_ms - rng.randint(1, 5000)
    await _wait(fleet, 1, rng.choice((100, 4000)))
    fleet.register(backend)
    await _wait(fleet, 10, 2500)
    kill_before, kill_after = rng.random() < 0.3, rng.random() < 0.3
    kills = [asyncio.create_task(kill_leader(fleet))] if kill_before else []
    await _wait(fleet, 1, 2500)
    if backend.up:
        fleet.write_entry(former)
    await _wait(fleet, 1, 1000)
    if kill_after:
        kills.append(asyncio.create_task(kill_leader(fleet)))
    await _wait(fleet, 500, 1500)
    if backend.up:
        fleet.register(backend)
    await asyncio.gather(*kills)


async def restart_and_kill_leader(fleet: EmulatedFleet) -> None:
    """Restarts a backend server, and kills the leader while it writes the records."""
    backend = fleet.backends_by_id[fleet.rng.choice(sorted(fleet.backends_by_id))]
    if not backend.up:
        return
    fleet.store.slow_ms = fleet.rng.choice((0, 150, 400))
    backend.crash()
    await fleet.restart_later(backend, fleet.rng.randint(50, 600))
    await _wait(fleet, 50, 1500)
    await kill_leader(fleet)
    fleet.store.slow_ms = 0


async def crash_while_storing(fleet: EmulatedFleet) -> None:
    """Crashes a backend server while the record of a run on it is being written.

    The write gets no answer at first. The leader may be killed after that.
    """
    rng, store = fleet.rng, fleet.store
    store.unanswered_puts = []
    store.lost_share = store.late_share = 1.0
    chosen = None
    end_ms = now_ms() + MAX_SEARCH_MS
    while chosen is None and now_ms() < end_ms:
        await _wait(fleet, 5, 20)
        chosen = fleet.backend_of_new_run(store.unanswered_puts)
    store.lost_share = 0.0
    if chosen is not None and chosen.up:
        await _wait(fleet, 1, 100)
        chosen.crash()
        fleet.start_restart(chosen, rng.randint(3000, 8000))
    await _wait(fleet, 500, 1500)
    if rng.random() < 0.5:
        await kill_leader(fleet)


async def silent_restart(fleet: EmulatedFleet) -> None:
    """Restarts a backend server unnoticed, lets it take starts, and cuts it off.

    Its entry may be written before the cut, during it, or after it.
    """
    rng = fleet.rng
    backend = fleet.backends_by_id[rng.choice(sorted(fleet.backends_by_id))]
    pairs = {(member_id, backend.backend_id) for member_id in fleet.members_by_id}
    if not backend.up or pairs & fleet.cut_paths:
        return
    fleet.cut_paths |= pairs
    backend.crash()
    await _wait(fleet, 300, 2000)
    backend.restart()
    register = rng.choice(('before', 'during', 'after'))
    if register == 'before':
        fleet.register(backend)
    await _wait(fleet, 1, 500)
    fleet.cut_paths -= pairs
    await _wait(fleet, 20, 500)
    fleet.cut_paths |= pairs
    await _wait(fleet, 100, 1500)
    if register == 'during':
        fleet.register(backend)
    await _wait(fleet, 500, 8000)
    fleet.cut_paths -= pairs
    if backend.up:
        fleet.register(backend)


async def _restart_again(fleet: EmulatedFleet, backend: Backend) -> None:
    """Restarts a backend server once more, some seconds after its last restart."""
    await _wait(fleet, 1500, 12_000)
    if backend.up:
        backend.crash()
        await fleet.restart_later(backend, fleet.rng.randint(300, 2000))


async def restart_and_cut(fleet: EmulatedFleet) -> None:
    """Restarts a backend server, whose new lifetime gets late starts, and cuts it off.

    Starts before the restart and right after it are unanswered and carried out late.
    The leader may be killed before the restart or between restart and cut, and the
    server may restart a second time.
    """
    rng = fleet.rng
    backends = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    backends = [b for b in backends if b.up and b.runs_by_name and not b.late_share]
    if not backends:
        return
    backend = rng.choice(backends)
    kill_before, kill_after = rng.random() < 0.25, rng.random() < 0.25
    others: list[asyncio.Task] = []
    backend.late_share = rng.choice((0.4, 0.8))
    await _wait(fleet, 500, 4000)
    if kill_before:
        others.append(asyncio.create_task(kill_leader(fleet)))
        await _wait(fleet, 1, 1500)
    if backend.up:
        backend.crash()
        await fleet.restart_later(backend, rng.randint(300, 2000))
    if rng.random() < 0.4:
        others.append(asyncio.create_task(_restart_again(fleet, backend)))
    if rng.random() < 0.5:
        backend.late_share = 0.0
    await _wait(fleet, 1, 1500)
    if kill_after:
        others.append(asyncio.create_task(kill_leader(fleet)))
    await _wait(fleet, 1000, 1500)
    pairs = {(member_id, backend.backend_id) for member_id in fleet.members_by_id}
    fleet.cut_paths |= pairs
    await _wait(fleet, 500, 9000)
    fleet.cut_paths -= pairs
    backend.late_share = 0.0
    await asyncio.gather(*others)


async def restart_unreached(fleet: EmulatedFleet) -> None:
    """Restarts a backend server whose new lifetime carries out calls before it answers.

    Starts and acknowledgements before the crash are unanswered and carried out late.
    """
    rng = fleet.rng
    backends = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    backends = [b for b in backends if b.up and b.runs_by_name and not b.late_share]
    if not backends:
        return
    backend = rng.choice(backends)
    backend.late_share = backend.late_hold_share = 0.5
    await _wait(fleet, 300, 1500)
    pairs = {(member_id, backend.backend_id) for member_id in fleet.members_by_id}
    fleet.cut_paths |= pairs
    if backend.up:
        backend.crash()
        await fleet.restart_later(backend, rng.randint(300, 1000))
    await _wait(fleet, 2000, 6000)
    backend.late_share = backend.late_hold_share = 0.0
    fleet.cut_paths -= pairs


async def crash_pair(fleet: EmulatedFleet) -> None:
    """Crashes two backend servers of a service, which are back under their ids."""
    service = fleet.rng.choice(SERVICES)
    backends = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    backends = [b for b in backends if b.up and b.service == service]
    lost = fleet.rng.sample(backends, min(2, len(backends)))
    for backend in lost:
        backend.crash()
    for backend in lost:
        await fleet.restart_later(backend, fleet.rng.randint(300, 800))


async def wave(fleet: EmulatedFleet) -> None:
    """Orders the maintenance of some hosts, or of those with a rare label."""
    rng = fleet.rng
    backends = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    chosen = [backend for backend in backends if backend.labels]
    if rng.random() < 0.5:
        chosen = rng.sample(backends, rng.randint(1, len(backends)))
    host_ids = [backend.host_id for backend in chosen]
    order_wave(fleet, host_ids, rng.randint(10, 26), rng.randint(1, 2))


async def wave_without_answers(fleet: EmulatedFleet) -> None:
    """Orders maintenance while the host service carries out orders silently."""
    fleet.hosts.answers.clear()
    await wave(fleet)
    await _wait(fleet, 1000, 5000)
    fleet.hosts.answers.set()


async def wave_after_loss(fleet: EmulatedFleet) -> None:
    """Loses a host for good, unless some are down, and orders maintenance.

    A host with a rare label is not lost, since some jobs could never run without it.
    """
    backends = [fleet.backends_by_id[i] for i in sorted(fleet.backends_by_id)]
    if all(backend.up for backend in backends):
        fleet.lose(fleet.rng.choice([b for b in backends if not b.labels]))
        await _wait(fleet, 100, 5000)
    await wave(fleet)


FAULTS: dict[str, Fault] = {
    'kill_leader': kill_leader,
    'kill_all': kill_all,
    'cut_leader_from_store': cut_leader_from_store,
    'cut_backends': cut_backends,
    'cut_some_paths': cut_some_paths,
    'crash_backend': crash_backend,
    'store_down': store_down,
    'store_lapses': store_lapses,
    'lose_answers': lose_answers,
    'slow_store': slow_store,
    'forget_history': forget_history,
    'late_orders': late_orders,
    'bad_backend': bad_backend,
    'refused_orders': refused_orders,
    DEADLY_TASKS: deadly_tasks,
}
# Faults that cost many backend servers at once. They are not in `FAULTS`, from which
# the seeds of former experiments draw.
LOSSES: dict[str, Fault] = {
    'lose_many': lose_many,
    'lose_many_and_leader': lose_many_and_leader,
}
# Faults that mix up lifetimes of one backend server, kept apart for the same reason.
LIFETIMES: dict[str, Fault] = {
    'late_entry': late_entry,
    'restart_and_kill_leader': restart_and_kill_leader,
}
# Faults beside writes to the store without an answer.
WRITES: dict[str, Fault] = {'crash_while_storing': crash_while_storing}
# Restarts that nobody notices, and cuts right after them.
SILENCE: dict[str, Fault] = {'silent_restart': silent_restart}
# Restarts with starts that are carried out late, and cuts soon after them.
RECUT: dict[str, Fault] = {'restart_and_cut': restart_and_cut}
# Restarts of servers that carry out starts and acknowledgements before they are called.
UNREACHED: dict[str, Fault] = {'restart_unreached': restart_unreached}
# Crashes of two servers of a service.
PAIRS: dict[str, Fault] = {'crash_pair': crash_pair}
# Planned maintenance of hosts, also with lost answers and lost hosts.
MAINTENANCE: dict[str, Fault] = {
    'wave': wave,
    'wave_without_answers': wave_without_answers,
    'wave_after_loss': wave_after_loss,
}
ALL_FAULTS = (
    FAULTS
    | LOSSES
    | LIFETIMES
    | WRITES
    | SILENCE
    | RECUT
    | UNREACHED
    | PAIRS
    | MAINTENANCE
)
