"""Runs a fleet under faults in a seeded order and checks its guarantees.

`python -m tests.mixed_faults SEED STEPS` runs a longer sequence and prints each
step. Only the order of the faults depends on the seed. The timing is that of real
sockets.
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
from standins.fleet import (
    FleetSettings,
    LocalFleet,
    Response,
    new_request_id,
    start_fleet,
)
from standins.waiting import wait_until

# Upper limit of the team: tasks that may run at once.
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
    """One request, the time at which it was sent, and the response."""

    request_id: str
    text: str
    idempotent: bool
    sent_ms: int
    response: Response

    @property
    def is_answered(self) -> bool:
        """Whether the caller received the complete result of its own request."""
        return self.response.body.get('result') == self.text

    @property
    def run_state(self) -> str:
        """Run state that the caller received; unknown if there was none."""
        return str(self.response.body.get('run_state', 'unknown'))


@dataclass(slots=True)
class FaultTrial:
    """A fleet under faults, the exchanges of its callers and other observations.

    `peak` is the highest number of tasks of the team that ran at once;
    `zone_starts` has the ids of requests started in a zone that was taken out.
    """

    fleet: LocalFleet
    random: random.Random
    exchanges: list[Exchange] = field(default_factory=list)
    steps: list[str] = field(default_factory=list)
    peak: int = 0
    stopping: bool = False
    entry_count: int = 0
    zone_starts: list[str] = field(default_factory=list)

    def entry_id(self) -> str:
        """Returns the id of a random entry host that accepts requests."""
        return self.random.choice(sorted(self.fleet.entries_by_id))

    def host_id(self) -> str:
        """Returns the id of a random host that has a backend server."""
        return self.random.choice(sorted(self.fleet.backends_by_host))

    def zone(self) -> str:
        """Returns a random availability zone."""
        return self.random.choice(self.fleet.plan.zones)


async def _submit(trial: FaultTrial, member_id: str, **fields: object) -> Response:
    """Sends a request; the status is 599 if there is no answer."""
    try:
        return await trial.fleet.submit(member_id, **fields)
    except (HTTPClientError, KeyError) as error:
        return Response(status=599, body={'message': str(error)})


async def _run_caller(trial: FaultTrial, number: int) -> None:
    """Sends requests one after the other through the current entry hosts."""
    choose = random.Random(number)
    idempotent = number % 2 == 0
    count = 0
    while not trial.stopping:
        count += 1
        request_id, text = new_request_id(), f'answer {number} {count} ' * 20
        member_id = choose.choice(sorted(trial.fleet.entries_by_id))
        sent_ms = now_ms()
        response = await _submit(
            trial,
            member_id,
            request_id=request_id,
            idempotent=idempotent,
            deadline_ms=DEADLINE_MS,
            task={'text': text, 'run_ms': choose.choice((20, 60, 200))},
        )
        exchange = Exchange(request_id, text, idempotent, sent_ms, response)
        trial.exchanges.append(exchange)
        if not exchange.is_answered:
            await asyncio.sleep(seconds(REFUSED_PAUSE_MS))


async def _record_peak(trial: FaultTrial) -> None:
    """Records the highest number of tasks of the team that run at once."""
    while True:
        running = sum(
            task.order.team == TEAM
            for backend in trial.fleet.backends_by_host.values()
            for task in backend.state.running()
        )
        trial.peak = max(trial.peak, running)
        await asyncio.sleep(seconds(WATCH_INTERVAL_MS))


async def _new_entry(trial: FaultTrial, zone: str) -> None:
    trial.entry_count += 1
    entry = await trial.fleet.start_entry(f'{zone}-new-{trial.entry_count}', zone)
    await wait_until(entry.is_ready, seconds(REPAIR_TIMEOUT_MS))


async def kill_entry(trial: FaultTrial) -> None:
    """An entry host crashes and is replaced by a new one."""
    member_id = trial.entry_id()
    zone = trial.fleet.entries_by_id[member_id].state.own_zone
    await trial.fleet.kill(member_id)
    await _new_entry(trial, zone)


async def stop_entry(trial: FaultTrial) -> None:
    """An entry host stops gracefully and is replaced by a new one."""
    member_id = trial.entry_id()
    entry = trial.fleet.entries_by_id.pop(member_id)
    await entry.stop()
    await trial.fleet.relays_by_id.pop(member_id).stop()
    await _new_entry(trial, entry.state.own_zone)


async def cut_zone(trial: FaultTrial) -> None:
    """A zone loses its connections to the platform and to the other zones."""
    trial.fleet.cut_zone(trial.zone())
    await asyncio.sleep(seconds(FAULT_MS))
    trial.fleet.heal()


async def platform_down(trial: FaultTrial) -> None:
    """The platform answers no call."""
    faults = trial.fleet.platform.state.faults
    faults.down = True
    await asyncio.sleep(seconds(FAULT_MS))
    faults.down = False


async def platform_slow(trial: FaultTrial) -> None:
    """The platform answers each call 200 ms late."""
    faults = trial.fleet.platform.state.faults
    faults.delay_ms = 200
    await asyncio.sleep(seconds(FAULT_MS))
    faults.delay_ms = 0


async def lost_write_answers(trial: FaultTrial) -> None:
    """Writes to the platform take effect, but their answers are lost."""
    trial.fleet.platform.state.faults.lost_write_answers = 10
    await asyncio.sleep(seconds(FAULT_MS))
    trial.fleet.platform.state.faults.lost_write_answers = 0


async def frozen_connections(trial: FaultTrial) -> None:
    """Open connections carry no more data, while new ones work."""
    trial.fleet.platform_relay.freeze_open()
    for relay in trial.fleet.relays_by_id.values():
        relay.freeze_open()
    await asyncio.sleep(seconds(FAULT_MS))


async def backend_down(trial: FaultTrial) -> None:
    """A backend server fails and comes back."""
    faults = trial.fleet.backends_by_host[trial.host_id()].state.faults
    faults.down = True
    await asyncio.sleep(seconds(FAULT_MS))
    faults.down = False


async def backend_answers(trial: FaultTrial) -> None:
    """Answers of a backend server are lost, truncated and crossed."""
    faults = trial.fleet.backends_by_host[trial.host_id()].state.faults
    faults.lost_start_answers = 2
    faults.lost_starts = 2
    faults.truncated_results = 2
    faults.crossed_results = 2
    await asyncio.sleep(seconds(FAULT_MS))


async def leaving_host(trial: FaultTrial) -> None:
    """The platform lists a host as leaving for some time."""
    host_id = trial.host_id()
    trial.fleet.platform.state.set_listed_state(host_id, ListedHostState.LEAVING)
    await asyncio.sleep(seconds(FAULT_MS))
    trial.fleet.platform.state.set_listed_state(host_id, ListedHostState.LIVE)


async def _change(trial: FaultTrial, kind: EditKind, **fields: object) -> ChangeOutcome:
    """Makes an operator's change, repeated through random entry hosts if it fails."""
    for _ in range(CHANGE_TRIES):
        try:
            report = await trial.fleet.change(trial.entry_id(), kind, **fields)
        except UnwrapError:
            await asyncio.sleep(seconds(PAUSE_MS))
            continue
        if report.outcome in (ChangeOutcome.ACCEPTED, ChangeOutcome.PENDING):
            return report.outcome
        await asyncio.sleep(seconds(PAUSE_MS))
    raise AssertionError(f'{kind} was never accepted')


async def zone_exit(trial: FaultTrial) -> None:
    """Operators take a zone out and bring it back."""
    zone = trial.zone()
    outcome = await _change(
        trial, EditKind.ZONE_OUT, availability_zone=zone, force=True
    )
    accepted_ms = now_ms()
    await asyncio.sleep(seconds(FAULT_MS))
    if outcome is ChangeOutcome.ACCEPTED:
        late = [s for s in trial.fleet.zone_starts(zone) if s.at_ms > accepted_ms]
        trial.zone_starts += [each.request_id for each in late]
    await _change(trial, EditKind.ZONE_BACK, availability_zone=zone)


FAULTS: tuple[Callable[[FaultTrial], Awaitable[None]], ...] = (
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


async def _wait_until_repaired(trial: FaultTrial) -> None:
    """Waits until every entry host answers idempotent and other requests again."""
    until_ms = now_ms() + REPAIR_TIMEOUT_MS
    for member_id in sorted(trial.fleet.entries_by_id):
        for idempotent in (True, False):
            answered = False
            while not answered:
                response = await _submit(trial, member_id, idempotent=idempotent)
                answered = response.body.get('result') == 'answer'
                if not answered and now_ms() > until_ms:
                    raise AssertionError(f'{member_id} is not repaired: {response}')


async def run(seed: int, steps: int, report: Callable[[str], None]) -> FaultTrial:
    """Runs a seeded sequence of faults and returns the observations.

    Each step injects one fault, or two that overlap.
    """
    fleet_settings = FleetSettings.with_short_bounds(
        entries_per_zone=2, teams={TEAM: LIMIT}
    )
    trial = FaultTrial(await start_fleet(fleet_settings), random.Random(seed))
    watch = asyncio.create_task(_record_peak(trial))
    callers = [
        asyncio.create_task(_run_caller(trial, number)) for number in range(CALLERS)
    ]
    try:
        for step in range(steps):
            chosen = trial.random.sample(FAULTS, trial.random.choice((1, 2)))
            trial.steps.append(' and '.join(each.__name__ for each in chosen))
            report(f'{step}: {trial.steps[-1]}')
            await asyncio.gather(*(each(trial) for each in chosen))
            await asyncio.sleep(seconds(PAUSE_MS))
        await _wait_until_repaired(trial)
        trial.stopping = True
        await asyncio.gather(*callers)
    finally:
        watch.cancel()
        for caller in callers:
            caller.cancel()
        await trial.fleet.stop()
    return trial


def violations(trial: FaultTrial) -> list[str]:
    """Returns each violation of a guarantee with the request that shows it."""
    broken = [f'task started in a zone that was out: {id}' for id in trial.zone_starts]
    if trial.peak > LIMIT:
        broken.append(f'{trial.peak} tasks ran at once, the limit is {LIMIT}')
    for each in trial.exchanges:
        runs = trial.fleet.count_starts(each.request_id)
        evidence = f'{each.request_id}: {runs} runs, answered {each.response}'
        if not each.idempotent and runs > 1:
            broken.append(f'ran more than once: {evidence}')
        if each.run_state == 'not_run' and runs:
            broken.append(f'"not run" is not true: {evidence}')
        if each.run_state == 'ran' and not runs:
            broken.append(f'"ran" is not true: {evidence}')
        if 'result' in each.response.body and not each.is_answered:
            found = each.response.body['result']
            if found is not None:
                broken.append(f'result of another request: {evidence}')
    return broken


def main() -> int:
    """Runs a sequence from the command line and prints the observations."""
    seed, steps = int(sys.argv[1]), int(sys.argv[2])
    trial = asyncio.run(run(seed, steps, lambda line: print(line, flush=True)))
    print(Counter(each.run_state for each in trial.exchanges))
    print(Counter(each.response.body.get('code') for each in trial.exchanges))
    broken = violations(trial)
    for line in broken:
        print(line)
    return 1 if broken else 0


if __name__ == '__main__':
    raise SystemExit(main())
