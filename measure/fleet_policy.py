"""Shares during bursts and work during a zone exit, on a running fleet.

Usage: `python -m measure.fleet_policy [JSON_FILE]`; about two minutes.

Real entry hosts and stand-in hosts of three availability zones run in one process
for each scenario and seed. The figures come from outside the entry hosts: from what
the backend servers ran and from what the callers were told.

The baseline starts requests in the order of their arrival and splits each upper
limit evenly for good. Arrivals and run times are the same for both variants.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from multiprocessing import get_context
from pathlib import Path

from hdrh.histogram import HdrHistogram

from dandelionknot._http_client import new_http_client
from dandelionknot.clock import now_ms, seconds
from dandelionknot.configuration import FleetBounds, Priority
from dandelionknot.decisions import _limits, _queueing
from dandelionknot.decisions._queueing import QueuedRequest, TeamQueues
from dandelionknot.operators import EditKind
from measure.shares import BURST_MS, SHARES, max_min, rate_factor
from measure.table import Row, encode_rows, format_rows
from standins.fleet import FleetPlan, LocalFleet, Response, new_request_id, start_fleet
from standins.waiting import wait_until

SEEDS = (7, 8)
PROCESSES = 4
TIMEOUT_S = 20
HOSTS_PER_ZONE = 2
SLOTS = 6
TOTAL_SLOTS = 3 * HOSTS_PER_ZONE * SLOTS
LIMITS = {'t1': 9, 't2': 9, 't3': 12, 't4': 15, 't5': 21, 't6': 27}
RUN_MS = 300
SAMPLE_MS = 50
WINDOW_MS = 1000
URGENT_TARGET_MS = 1100
URGENT_DEADLINE_MS = 5000
NOT_IDEMPOTENT_PART = 0.5

# Every waiting caller needs a connection, or requests would wait at the client.
CONNECTIONS = 4000

# Each team bursts once, and the last one has its quiet time.
SHARES_MS = (len(SHARES) + 1) * BURST_MS
URGENT_LOAD = 0.6
# The batch of a team comes at once, with one deadline for all of it.
BATCH_LOAD = 0.25
BATCH_AT_MS = 500

# Each caller sends its next request once it has the answer to its last one.
CALLERS_PER_SLOT = 1.5
WARM_UP_MS = 4000
BEFORE_MS = 6000
OUT_MS = 10_000
RAMP_MS = 8000
AFTER_MS = 6000
ZONE = 'zone-a'
OPERATED_ENTRY = 'zone-b-entry-0'


@dataclass(slots=True)
class Sent:
    """One request with what its caller and the backend servers know of it."""

    request_id: str
    team: str
    priority: Priority
    sent_ms: int
    is_calm: bool
    answered_ms: int = 0
    response: Response | None = None

    @property
    def is_answered(self) -> bool:
        """Tells whether the caller got the result."""
        response = self.response
        return response is not None and response.body.get('result') == self.request_id


@dataclass(slots=True)
class Sampled:
    """Slot time of each team in windows, against its weighted max-min part."""

    used_ms: Counter[str] = field(default_factory=Counter)
    due_ms: dict[str, float] = field(default_factory=dict)
    error_ms: Counter[str] = field(default_factory=Counter)
    total_used_ms: Counter[str] = field(default_factory=Counter)
    total_due_ms: dict[str, float] = field(default_factory=dict)
    latest_ms: int = 0
    late_samples_ms: int = 0


@dataclass(slots=True)
class Run:
    """A running fleet and everything that was sent to it."""

    fleet: LocalFleet
    rng: random.Random
    sent: list[Sent] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    waiting_by_team: Counter[str] = field(default_factory=Counter)
    entry_number: int = 0


def _by_arrival(
    queues: TeamQueues,
    running_by_team: Mapping[str, int],
    shares_by_team: Mapping[str, int],
    can_start: Callable[[str], bool],
    now: int,
) -> QueuedRequest | None:
    """Takes the oldest request whose team has room under its limit."""
    startable = {team for team in queues.teams_by_id if can_start(team)}
    for item in queues.requests_by_id.values():
        if item.team_id in startable:
            return _queueing.cancel(queues, item.request_id)
    return None


def _use_baseline() -> None:
    """Replaces the policies of this process, which runs one scenario only."""
    next_write = _limits.next_write

    def first_write_only(
        local: _limits.LocalGrants, member_id: str, team_id: str, *rest: object
    ) -> _limits.GrantWrite | None:
        if local.teams_by_id[team_id].record is not None:
            return None
        return next_write(local, member_id, team_id, *rest)  # type: ignore[arg-type]

    _queueing.next_request = _by_arrival  # type: ignore[assignment]
    _limits.next_write = first_write_only  # type: ignore[assignment]


async def _start(seed: int) -> Run:
    """Starts the fleet, with shares and with room for a zone in the budget."""
    plan = FleetPlan(
        hosts_per_zone=HOSTS_PER_ZONE,
        slots=SLOTS,
        teams=LIMITS,
        bounds=FleetBounds(ramp_ms=RAMP_MS),
    )
    fleet = await start_fleet(plan)
    fleet.client.close()
    fleet.client = new_http_client(CONNECTIONS)
    configuration = fleet.configuration
    teams_by_id = {
        team_id: replace(team, share=SHARES[team_id])
        for team_id, team in configuration.teams_by_id.items()
    }
    services_by_id = {
        service_id: replace(service, max_unavailable=HOSTS_PER_ZONE)
        for service_id, service in configuration.services_by_id.items()
    }
    fleet.put_configuration(
        replace(
            configuration,
            version=2,
            teams_by_id=teams_by_id,
            services_by_id=services_by_id,
        )
    )
    for entry in fleet.entries_by_id.values():
        await wait_until(lambda e=entry: e.state.configuration.version == 2, TIMEOUT_S)  # type: ignore[misc]
    return Run(fleet=fleet, rng=random.Random(seed))


async def _exchange(
    run: Run, sent: Sent, deadline_ms: int, run_ms: int, idempotent: bool
) -> None:
    members = sorted(run.fleet.entries_by_id)
    run.entry_number += 1
    run.waiting_by_team[sent.team] += 1
    sent.response = await run.fleet.submit(
        members[run.entry_number % len(members)],
        team=sent.team,
        request_id=sent.request_id,
        priority=sent.priority.value,
        deadline_ms=deadline_ms,
        idempotent=idempotent,
        task={'text': sent.request_id, 'run_ms': run_ms},
    )
    run.waiting_by_team[sent.team] -= 1
    sent.answered_ms = now_ms()


def _new_sent(run: Run, team: str, priority: Priority, is_calm: bool) -> Sent:
    sent = Sent(new_request_id(), team, priority, now_ms(), is_calm)
    run.sent.append(sent)
    return sent


def _run_ms(run: Run) -> int:
    """Draws a run time: most tasks are short, a few are several times as long."""
    return max(20, int(run.rng.lognormvariate(0, 0.5) / 1.133 * RUN_MS))


def _send(run: Run, sent: Sent, deadline_ms: int, idempotent: bool) -> None:
    exchange = _exchange(run, sent, deadline_ms, _run_ms(run), idempotent)
    task = asyncio.create_task(exchange)
    run.tasks.add(task)
    task.add_done_callback(run.tasks.discard)


def _is_calm(index: int, at_ms: int) -> bool:
    """Tells whether a team has its mean load and had it for some seconds."""
    moments = range(max(0, at_ms - 2 * BURST_MS), at_ms + 1, BURST_MS // 4)
    return all(rate_factor(index, moment) == 1 for moment in moments)


async def _send_urgent(run: Run, team: str, started_ms: int) -> None:
    """Sends the urgent work of a team at its varying rate."""
    index = list(SHARES).index(team)
    mean = TOTAL_SLOTS / RUN_MS * URGENT_LOAD * SHARES[team] / sum(SHARES.values())
    rng = random.Random(run.rng.random())
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(mean * rate_factor(index, int(at_ms)))
        if at_ms >= SHARES_MS:
            return
        await asyncio.sleep(seconds(max(0, started_ms + int(at_ms) - now_ms())))
        sent = _new_sent(run, team, Priority.URGENT, _is_calm(index, int(at_ms)))
        idempotent = rng.random() >= NOT_IDEMPOTENT_PART
        _send(run, sent, URGENT_DEADLINE_MS, idempotent)


async def _send_batch(run: Run, team: str) -> None:
    await asyncio.sleep(seconds(BATCH_AT_MS))
    share = SHARES[team] / sum(SHARES.values())
    count = round(TOTAL_SLOTS / RUN_MS * BATCH_LOAD * share * SHARES_MS)
    for _ in range(count):
        sent = _new_sent(run, team, Priority.OVERNIGHT, False)
        _send(run, sent, SHARES_MS - 2 * BATCH_AT_MS, True)


async def _sample(run: Run, sampled: Sampled, until_ms: int) -> None:
    """Adds up slot time until a moment, weighting each sample by its length."""
    sampled.latest_ms = window_ms = now_ms()
    while now_ms() < until_ms:
        await asyncio.sleep(seconds(SAMPLE_MS))
        elapsed_ms = now_ms() - sampled.latest_ms
        sampled.latest_ms += elapsed_ms
        sampled.late_samples_ms = max(sampled.late_samples_ms, elapsed_ms - SAMPLE_MS)
        _account(run, sampled, elapsed_ms)
        if sampled.latest_ms - window_ms >= WINDOW_MS:
            window_ms = sampled.latest_ms
            _end_window(sampled)


def _account(run: Run, sampled: Sampled, elapsed_ms: int) -> None:
    running = Counter(
        task.order.team
        for backend in run.fleet.backends_by_host.values()
        for task in backend.state.running()
    )
    demands = {
        team: min(LIMITS[team], run.waiting_by_team[team]) for team in sorted(LIMITS)
    }
    for team, part in max_min(TOTAL_SLOTS, demands).items():
        sampled.used_ms[team] += running[team] * elapsed_ms
        due_ms = sampled.due_ms.get(team, 0.0)
        sampled.due_ms[team] = due_ms + part * elapsed_ms


def _end_window(sampled: Sampled) -> None:
    for team, due_ms in sampled.due_ms.items():
        used_ms = sampled.used_ms[team]
        sampled.error_ms[team] += round(abs(used_ms - due_ms))
        sampled.total_used_ms[team] += used_ms
        total_ms = sampled.total_due_ms.get(team, 0.0)
        sampled.total_due_ms[team] = total_ms + due_ms
    sampled.used_ms.clear()
    sampled.due_ms.clear()


def _start_ms_by_request(run: Run) -> dict[str, int]:
    """Returns when each request first started on a backend server."""
    started: dict[str, int] = {}
    for record in run.fleet.starts():
        started.setdefault(record.request_id, record.at_ms)
    return started


def _delays(sent: list[Sent], started: Mapping[str, int], prefix: str) -> dict:
    """Returns percentiles of the start delay and how many met the target.

    A request that never started counts as late, but has no delay.
    """
    histogram = HdrHistogram(1, 600_000, 2)
    in_time = 0
    for each in sent:
        if each.request_id not in started:
            continue
        delay_ms = max(1, started[each.request_id] - each.sent_ms)
        histogram.record_value(delay_ms)
        in_time += delay_ms <= URGENT_TARGET_MS
    figures: dict[str, float] = {
        f'{prefix} p{percentile} ms': histogram.get_value_at_percentile(percentile)
        for percentile in (50, 95, 99)
    }
    figures[f'{prefix} sent'] = len(sent)
    figures[f'{prefix} within 1.1 s %'] = _percent(in_time, len(sent))
    return figures


def _percent(part: float, whole: float) -> float:
    return round(100 * part / whole, 1) if whole else 0.0


def _told(sent: list[Sent]) -> dict[str, float]:
    """Counts what callers were told, by run state."""
    states = Counter(
        str(each.response.body.get('run_state'))
        for each in sent
        if each.response is not None and not each.is_answered
    )
    return {
        'unknown': states['unknown'],
        'failed': sum(states.values()) - states['unknown'] - states['not_run'],
        'refused': states['not_run'],
    }


def _share_rows(variant: str, run: Run, sampled: Sampled) -> list[Row]:
    started = _start_ms_by_request(run)
    rows = []
    for team in SHARES:
        sent = [each for each in run.sent if each.team == team]
        urgent = [each for each in sent if each.priority is Priority.URGENT]
        overnight = [each for each in sent if each.priority is Priority.OVERNIGHT]
        due_ms = sampled.total_due_ms.get(team, 0.0)
        figures = {
            'error %': _percent(sampled.error_ms[team], due_ms),
            'done of due %': _percent(sampled.total_used_ms[team], due_ms),
        }
        figures |= _delays([e for e in urgent if e.is_calm], started, 'calm')
        figures |= _delays(urgent, started, 'urgent')
        figures |= _delays(overnight, started, 'batch')
        missed = sum(not each.is_answered for each in overnight)
        figures['batch missed'] = missed
        figures |= _told(sent)
        rows.append(Row(f'shares, team {team}', variant, figures))
    rows.append(_summary(variant, run, sampled, rows))
    return rows


def _summary(variant: str, run: Run, sampled: Sampled, rows: list[Row]) -> Row:
    """Returns figures over all teams; the mean error is weighted by what was due."""
    started = _start_ms_by_request(run)
    due_ms = sum(sampled.total_due_ms.values())
    urgent = [each for each in run.sent if each.priority is Priority.URGENT]
    figures: dict[str, float] = {
        'mean error %': _percent(sampled.error_ms.total(), due_ms),
        'worst error %': max(row.figures['error %'] for row in rows),
        'done of due %': _percent(sampled.total_used_ms.total(), due_ms),
    }
    figures |= _delays([each for each in urgent if each.is_calm], started, 'calm')
    figures['answers'] = sum(each.is_answered for each in run.sent)
    figures['batch missed'] = sum(row.figures['batch missed'] for row in rows)
    figures |= _told(run.sent)
    figures['late sample ms'] = sampled.late_samples_ms
    return Row('shares, all teams', variant, figures)


async def _measure_shares(variant: str, seed: int) -> list[Row]:
    run = await _start(seed)
    sampled = Sampled()
    started_ms = now_ms()
    sampling = asyncio.create_task(_sample(run, sampled, started_ms + SHARES_MS))
    senders = [_send_urgent(run, team, started_ms) for team in SHARES]
    await asyncio.gather(*senders, *[_send_batch(run, team) for team in SHARES])
    await sampling
    while run.tasks:
        await asyncio.wait(run.tasks)
    rows = _share_rows(variant, run, sampled)
    await run.fleet.stop()
    return rows


async def _call_until(run: Run, team: str, until_ms: int) -> None:
    """Sends one request after the other; a refused one is followed at once."""
    rng = random.Random(run.rng.random())
    while now_ms() < until_ms:
        sent = _new_sent(run, team, Priority.URGENT, False)
        idempotent = rng.random() >= NOT_IDEMPOTENT_PART
        await _exchange(run, sent, URGENT_DEADLINE_MS, RUN_MS, idempotent)


async def _measure_zone(variant: str, seed: int) -> list[Row]:
    run = await _start(seed)
    out_ms = now_ms() + WARM_UP_MS + BEFORE_MS
    back_ms = out_ms + OUT_MS
    ramped_ms = back_ms + RAMP_MS
    end_ms = ramped_ms + AFTER_MS
    teams = list(SHARES)
    callers = [
        asyncio.create_task(
            _call_until(run, run.rng.choices(teams, list(SHARES.values()))[0], end_ms)
        )
        for _ in range(round(TOTAL_SLOTS * CALLERS_PER_SLOT))
    ]
    accepted_ms = await _operate(run, EditKind.ZONE_OUT, out_ms)
    returned_ms = await _operate(run, EditKind.ZONE_BACK, back_ms)
    await asyncio.gather(*callers)
    starts = [each.at_ms for each in run.fleet.zone_starts(ZONE)]
    out_starts = [at_ms for at_ms in starts if out_ms <= at_ms < back_ms]
    spans = {
        'before': (out_ms - BEFORE_MS, out_ms, TOTAL_SLOTS),
        # Tasks that ran in the zone when it left have ended a task time later.
        'out': (accepted_ms + 2 * RUN_MS, back_ms, TOTAL_SLOTS * 2 // 3),
        'ramp': (returned_ms, ramped_ms, TOTAL_SLOTS),
        'after': (ramped_ms, end_ms, TOTAL_SLOTS),
    }
    figures: dict[str, float] = {
        'accepted after ms': accepted_ms - out_ms,
        'last start after acceptance ms': max(out_starts, default=out_ms) - accepted_ms,
    }
    for name, (since_ms, until_ms, slots) in spans.items():
        answers = sum(
            each.is_answered and since_ms <= each.answered_ms < until_ms
            for each in run.sent
        )
        rate = 1000 * answers / (until_ms - since_ms)
        figures[f'{name}/s'] = round(rate, 1)
        figures[f'{name} of most %'] = _percent(rate, 1000 * slots / RUN_MS)
    for quarter in range(4):
        since_ms = returned_ms + quarter * RAMP_MS // 4
        count = sum(since_ms <= at_ms < since_ms + RAMP_MS // 4 for at_ms in starts)
        figures[f'zone starts/s, ramp quarter {quarter + 1}'] = round(
            4000 * count / RAMP_MS, 1
        )
    figures |= _told(run.sent)
    await run.fleet.stop()
    return [Row('zone exit', variant, figures)]


async def _operate(run: Run, kind: EditKind, at_ms: int) -> int:
    """Gives an operator's command and returns when it was accepted."""
    await asyncio.sleep(seconds(max(0, at_ms - now_ms())))
    report = await run.fleet.change(OPERATED_ENTRY, kind, availability_zone=ZONE)
    if report.outcome.value != 'accepted':
        raise AssertionError(f'{kind.value} was answered {report.outcome.value}')
    return now_ms()


def run_scenario(scenario: str, variant: str, seed: int) -> list[Row]:
    """Runs one scenario in a fresh process."""
    if variant == 'baseline':
        _use_baseline()
    measured = _measure_shares if scenario == 'shares' else _measure_zone
    return asyncio.run(measured(f'{variant}, seed {seed}', seed))


def main(json_file: str = '') -> int:
    """Runs all scenarios and prints the tables and JSON."""
    started = time.monotonic()
    jobs = [
        (scenario, variant, seed)
        for seed in SEEDS
        for scenario in ('shares', 'zones')
        for variant in ('chosen', 'baseline')
    ]
    with ProcessPoolExecutor(
        PROCESSES, mp_context=get_context('spawn'), max_tasks_per_child=1
    ) as pool:
        runs = [pool.submit(run_scenario, *job) for job in jobs]
        rows = [row for run in runs for row in run.result()]
    print(format_rows(rows))
    print(f'\ntook {time.monotonic() - started:.0f} s')
    if json_file:
        Path(json_file).write_bytes(encode_rows(rows))
    else:
        print(json.dumps(json.loads(encode_rows(rows))))
    return 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
