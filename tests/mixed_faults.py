"""Faults of all kinds in a seeded order on a running fleet, and what must hold.

`python -m tests.mixed_faults SEED STEPS` runs a longer sequence and prints each
step. The order depends on the seed alone; the timing is that of real sockets.
"""

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import UnwrapError
from tornado.httpclient import HTTPClientError

from dandelionknot.clock import now_ms, seconds
from dandelionknot.messages import ListedHostState
from dandelionknot.operators import ChangeOutcome, EditKind
from standins.fleet import FleetPlan, LocalFleet, Response, new_request_id, start_fleet
from standins.waiting import wait_until

LIMIT = 6
TEAM = 'desk'
CALLERS = 8
FAULT_MS = 1500
PAUSE_MS = 1000
REFUSED_PAUSE_MS = 30
WATCH_INTERVAL_MS = 3
REPAIR_TIMEOUT_MS = 30_000
DEADLINE_MS = 3000
CHANGE_TRIES = 30


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request, what its caller was told, and when."""

    request_id: str
    text: str
    idempotent: bool
    sent_ms: int
    response: Response

    @property
    def is_answered(self) -> bool:
        """Tells whether the caller got the whole result of its own request."""
        return self.response.body.get('result') == self.text

    @property
    def run_state(self) -> str:
        """Returns what the caller was told about the run; unknown if nothing."""
        return str(self.response.body.get('run_state', 'unknown'))


@dataclass(slots=True)
class Scene:
    """A fleet under faults, its callers and what was seen."""

    fleet: LocalFleet
    random: random.Random
    exchanges: list[Exchange] = field(default_factory=list)
    steps: list[str] = field(default_factory=list)
    peak: int = 0
    stopping: bool = False
    entry_count: int = 0
    zone_starts: list[str] = field(default_factory=list)

    def entry_id(self) -> str:
        """Returns an entry host that takes callers."""
        return self.random.choice(sorted(self.fleet.entries_by_id))

    def host_id(self) -> str:
        """Returns a worker host."""
        return self.random.choice(sorted(self.fleet.backends_by_host))

    def zone(self) -> str:
        """Returns an availability zone."""
        return self.random.choice(self.fleet.plan.zones)


async def _submit(scene: Scene, member_id: str, **fields: object) -> Response:
    """Sends a request; without any answer the status is 599."""
    try:
        return await scene.fleet.submit(member_id, **fields)
    except (HTTPClientError, KeyError) as error:
        return Response(status=599, body={'message': str(error)})


async def _call(scene: Scene, number: int) -> None:
    """Sends one request after the other through entry hosts that are there."""
    choose = random.Random(number)
    idempotent = number % 2 == 0
    count = 0
    while not scene.stopping:
        count += 1
        request_id, text = new_request_id(), f'answer {number} {count} ' * 20
        member_id = choose.choice(sorted(scene.fleet.entries_by_id))
        sent_ms = now_ms()
        response = await _submit(
            scene,
            member_id,
            request_id=request_id,
            idempotent=idempotent,
            deadline_ms=DEADLINE_MS,
            task={'text': text, 'run_ms': choose.choice((20, 60, 200))},
        )
        exchange = Exchange(request_id, text, idempotent, sent_ms, response)
        scene.exchanges.append(exchange)
        if not exchange.is_answered:
            await asyncio.sleep(seconds(REFUSED_PAUSE_MS))


async def _watch(scene: Scene) -> None:
    """Keeps the highest number of tasks of the team seen at once."""
    while True:
        running = sum(
            task.order.team == TEAM
            for backend in scene.fleet.backends_by_host.values()
            for task in backend.state.running()
        )
        scene.peak = max(scene.peak, running)
        await asyncio.sleep(seconds(WATCH_INTERVAL_MS))


async def _new_entry(scene: Scene, zone: str) -> None:
    scene.entry_count += 1
    entry = await scene.fleet.start_entry(f'{zone}-new-{scene.entry_count}', zone)
    await wait_until(entry.is_ready, seconds(REPAIR_TIMEOUT_MS))


async def kill_entry(scene: Scene) -> None:
    """A crash of an entry host; another takes its place."""
    member_id = scene.entry_id()
    zone = scene.fleet.entries_by_id[member_id].state.own_zone
    await scene.fleet.kill(member_id)
    await _new_entry(scene, zone)


async def stop_entry(scene: Scene) -> None:
    """A graceful stop of an entry host; another takes its place."""
    member_id = scene.entry_id()
    entry = scene.fleet.entries_by_id.pop(member_id)
    await entry.stop()
    await scene.fleet.relays_by_id.pop(member_id).stop()
    await _new_entry(scene, entry.state.own_zone)


async def cut_zone(scene: Scene) -> None:
    """A zone loses the platform, the other zones and their hosts."""
    scene.fleet.cut_zone(scene.zone())
    await asyncio.sleep(seconds(FAULT_MS))
    scene.fleet.heal()


async def platform_down(scene: Scene) -> None:
    """The platform answers nobody."""
    faults = scene.fleet.platform.state.faults
    faults.down = True
    await asyncio.sleep(seconds(FAULT_MS))
    faults.down = False


async def platform_slow(scene: Scene) -> None:
    """The platform answers late."""
    faults = scene.fleet.platform.state.faults
    faults.delay_ms = 200
    await asyncio.sleep(seconds(FAULT_MS))
    faults.delay_ms = 0


async def lost_write_answers(scene: Scene) -> None:
    """Writes take effect and their answers are lost."""
    scene.fleet.platform.state.faults.lost_write_answers = 10
    await asyncio.sleep(seconds(FAULT_MS))
    scene.fleet.platform.state.faults.lost_write_answers = 0


async def frozen_connections(scene: Scene) -> None:
    """Open connections go silent for good while new ones work."""
    scene.fleet.platform_relay.freeze_open()
    for relay in scene.fleet.relays_by_id.values():
        relay.freeze_open()
    await asyncio.sleep(seconds(FAULT_MS))


async def backend_down(scene: Scene) -> None:
    """A backend server dies and comes back."""
    faults = scene.fleet.backends_by_host[scene.host_id()].state.faults
    faults.down = True
    await asyncio.sleep(seconds(FAULT_MS))
    faults.down = False


async def backend_answers(scene: Scene) -> None:
    """Answers of a backend server are lost, truncated and crossed."""
    faults = scene.fleet.backends_by_host[scene.host_id()].state.faults
    faults.lost_start_answers = 2
    faults.lost_starts = 2
    faults.truncated_results = 2
    faults.crossed_results = 2
    await asyncio.sleep(seconds(FAULT_MS))


async def leaving_host(scene: Scene) -> None:
    """The platform lists a host as leaving for a while."""
    host_id = scene.host_id()
    scene.fleet.platform.state.set_listed_state(host_id, ListedHostState.LEAVING)
    await asyncio.sleep(seconds(FAULT_MS))
    scene.fleet.platform.state.set_listed_state(host_id, ListedHostState.LIVE)


async def _change(scene: Scene, kind: EditKind, **fields: object) -> ChangeOutcome:
    """Has an operator make a change, through another entry host if one fails."""
    for _ in range(CHANGE_TRIES):
        try:
            report = await scene.fleet.change(scene.entry_id(), kind, **fields)
        except UnwrapError:
            await asyncio.sleep(seconds(PAUSE_MS))
            continue
        if report.outcome in (ChangeOutcome.ACCEPTED, ChangeOutcome.PENDING):
            return report.outcome
        await asyncio.sleep(seconds(PAUSE_MS))
    raise AssertionError(f'{kind} was never accepted')


async def zone_exit(scene: Scene) -> None:
    """Operators take a zone out and bring it back."""
    zone = scene.zone()
    outcome = await _change(
        scene, EditKind.ZONE_OUT, availability_zone=zone, force=True
    )
    accepted_ms = now_ms()
    await asyncio.sleep(seconds(FAULT_MS))
    if outcome is ChangeOutcome.ACCEPTED:
        late = [s for s in scene.fleet.zone_starts(zone) if s.at_ms > accepted_ms]
        scene.zone_starts += [each.request_id for each in late]
    await _change(scene, EditKind.ZONE_BACK, availability_zone=zone)


FAULTS: tuple[Callable[[Scene], Awaitable[None]], ...] = (
    kill_entry,
    stop_entry,
    cut_zone,
    platform_down,
    platform_slow,
    lost_write_answers,
    frozen_connections,
    backend_down,
    backend_answers,
    leaving_host,
    zone_exit,
)


async def _repaired(scene: Scene) -> None:
    """Waits until every entry host answers both kinds of requests again."""
    until_ms = now_ms() + REPAIR_TIMEOUT_MS
    for member_id in sorted(scene.fleet.entries_by_id):
        for idempotent in (True, False):
            answered = False
            while not answered:
                response = await _submit(scene, member_id, idempotent=idempotent)
                answered = response.body.get('result') == 'answer'
                if not answered and now_ms() > until_ms:
                    raise AssertionError(f'{member_id} is not repaired: {response}')


async def run(seed: int, steps: int, report: Callable[[str], None]) -> Scene:
    """Runs a seeded sequence of faults and returns what was seen.

    Each step begins one fault, or two that overlap.
    """
    plan = FleetPlan.with_short_bounds(entries_per_zone=2, teams={TEAM: LIMIT})
    scene = Scene(await start_fleet(plan), random.Random(seed))
    watch = asyncio.create_task(_watch(scene))
    callers = [asyncio.create_task(_call(scene, number)) for number in range(CALLERS)]
    try:
        for step in range(steps):
            chosen = scene.random.sample(FAULTS, scene.random.choice((1, 2)))
            scene.steps.append(' and '.join(each.__name__ for each in chosen))
            report(f'{step}: {scene.steps[-1]}')
            await asyncio.gather(*(each(scene) for each in chosen))
            await asyncio.sleep(seconds(PAUSE_MS))
        await _repaired(scene)
        scene.stopping = True
        await asyncio.gather(*callers)
    finally:
        watch.cancel()
        for caller in callers:
            caller.cancel()
        await scene.fleet.stop()
    return scene


def violations(scene: Scene) -> list[str]:
    """Returns each broken promise with the request that shows it."""
    broken = [f'task started in a zone that was out: {id}' for id in scene.zone_starts]
    if scene.peak > LIMIT:
        broken.append(f'{scene.peak} tasks ran at once, the limit is {LIMIT}')
    for each in scene.exchanges:
        runs = scene.fleet.runs_of(each.request_id)
        told = f'{each.request_id}: {runs} runs, told {each.response}'
        if not each.idempotent and runs > 1:
            broken.append(f'ran more than once: {told}')
        if each.run_state == 'not_run' and runs:
            broken.append(f'"not run" is not true: {told}')
        if each.run_state == 'ran' and not runs:
            broken.append(f'"ran" is not true: {told}')
        if 'result' in each.response.body and not each.is_answered:
            found = each.response.body['result']
            if found is not None:
                broken.append(f'result of another request: {told}')
    return broken


def main() -> int:
    """Runs a sequence from the command line and prints what was seen."""
    seed, steps = int(sys.argv[1]), int(sys.argv[2])
    scene = asyncio.run(run(seed, steps, lambda line: print(line, flush=True)))
    print(Counter(each.run_state for each in scene.exchanges))
    print(Counter(each.response.body.get('code') for each in scene.exchanges))
    broken = violations(scene)
    for line in broken:
        print(line)
    return 1 if broken else 0


if __name__ == '__main__':
    raise SystemExit(main())
