"""Measures team shares during bursts, and throughput during a zone exit.

Usage: `python -m measure.fleet_policy [JSON_FILE]`; about two minutes.

For each scenario and seed, one process runs a fleet of real entry hosts and stand-in
backend servers in three availability zones. Results are computed only from what is
seen outside the entry hosts: tasks on the backend servers and answers to callers.

The variant `chosen` is the product as it is. The variant `baseline` starts requests in
the order of their arrival and splits each upper limit evenly, without any transfers.
Both variants draw arrivals and run times from the same seeds.
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
from measure.shares import BURST_MS, SHARES_BY_TEAM, max_min, rate_factor
from measure.table import Row, encode_rows, format_rows
from standins.fleet import (
    FleetSettings,
    LocalFleet,
    Response,
    new_request_id,
    start_fleet,
)
from standins.waiting import wait_until

SEEDS = (7, 8)
PROCESSES = 4
# Limits the wait until each entry host has adopted the changed configuration.
TIMEOUT_S = 20
HOSTS_PER_ZONE = 2
SLOTS_PER_HOST = 6
TOTAL_SLOTS = 3 * HOSTS_PER_ZONE * SLOTS_PER_HOST
# Upper limit of running tasks of each team.
LIMITS_BY_TEAM = {'t1': 9, 't2': 9, 't3': 12, 't4': 15, 't5': 21, 't6': 27}
# Mean run time of a task.
RUN_MS = 300
SAMPLE_MS = 50
# Used and fair slot time are compared once for each window.
WINDOW_MS = 1000
# A request meets its target if its task starts within this time after sending.
URGENT_TARGET_MS = 1100
URGENT_DEADLINE_MS = 5000
NON_IDEMPOTENT_FRACTION = 0.5

# Each waiting request uses one connection; with fewer, requests would queue in the
# client.
CONNECTIONS = 4000

# Duration of the shares scenario: each team bursts once, and the quiet time after the
# last burst is included.
SHARES_DURATION_MS = (len(SHARES_BY_TEAM) + 1) * BURST_MS
# Mean slot time needed by urgent and by batch requests, as a fraction of all slots.
URGENT_LOAD = 0.6
# All batch requests of a team are sent together with the same deadline.
BATCH_LOAD = 0.25
BATCH_START_MS = 500

# In the zone scenario, each caller sends a request once its last one is answered.
CALLERS_PER_SLOT = 1.5
# Phases of the zone scenario, in this order.
WARM_UP_MS = 4000
BEFORE_EXIT_MS = 6000
ZONE_OUT_MS = 10_000
RAMP_MS = 8000
AFTER_RAMP_MS = 6000
ZONE = 'zone-a'
OPERATED_ENTRY = 'zone-b-entry-0'


@dataclass(slots=True)
class SentRequest:
    """One request with its answer.

    `is_at_mean_load` is true if the team had sent at its mean rate for some time.
    """

    request_id: str
    team: str
    priority: Priority
    sent_ms: int
    is_at_mean_load: bool
    answered_ms: int = 0
    response: Response | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the caller received the result of this request."""
        response = self.response
        return response is not None and response.body.get('result') == self.request_id


@dataclass(slots=True)
class SlotTimeSamples:
    """Slot time that each team used, compared with its weighted max-min fair share.

    `used_ms` and `fair_ms` cover the current window, the other sums cover all windows.
    """

    used_ms: Counter[str] = field(default_factory=Counter)
    fair_ms: dict[str, float] = field(default_factory=dict)
    error_ms: Counter[str] = field(default_factory=Counter)
    total_used_ms: Counter[str] = field(default_factory=Counter)
    total_fair_ms: dict[str, float] = field(default_factory=dict)
    last_sample_ms: int = 0
    max_sample_delay_ms: int = 0


@dataclass(slots=True)
class TrialRun:
    """A running fleet and the requests that were sent to it."""

    fleet: LocalFleet
    rng: random.Random
    sent: list[SentRequest] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    waiting_by_team: Counter[str] = field(default_factory=Counter)
    request_count: int = 0


def _next_by_arrival(
    queues: TeamQueues,
    running_by_team: Mapping[str, int],
    shares_by_team: Mapping[str, int],
    can_start: Callable[[str], bool],
    now: int,
) -> QueuedRequest | None:
    """Removes and returns the oldest request whose team is below its limit."""
    startable = {team for team in queues.teams_by_id if can_start(team)}
    for item in queues.requests_by_id.values():
        if item.team_id in startable:
            return _queueing.cancel(queues, item.request_id)
    return None


def _use_baseline() -> None:
    """Replaces the policies in this process by those of the baseline.

    They are not restored, since the process runs one scenario only.
    """
    next_write = _limits.next_write

    def first_write_only(
        local: _limits.LocalGrants, member_id: str, team_id: str, *rest: object
    ) -> _limits.GrantWrite | None:
        if local.teams_by_id[team_id].record is not None:
            return None
        return next_write(local, member_id, team_id, *rest)  # type: ignore[arg-type]

    _queueing.next_request = _next_by_arrival  # type: ignore[assignment]
    _limits.next_write = first_write_only  # type: ignore[assignment]


async def _start_trial(seed: int) -> TrialRun:
    """Starts a fleet with team shares.

    The budget of each service allows all hosts of one zone to be unavailable.
    """
    fleet_settings = FleetSettings(
        hosts_per_zone=HOSTS_PER_ZONE,
        slots=SLOTS_PER_HOST,
        teams=LIMITS_BY_TEAM,
        bounds=FleetBounds(ramp_ms=RAMP_MS),
    )
    fleet = await start_fleet(fleet_settings)
    fleet.client.close()
    fleet.client = new_http_client(CONNECTIONS)
    configuration = fleet.configuration
    teams_by_id = {
        team_id: replace(team, share=SHARES_BY_TEAM[team_id])
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
    return TrialRun(fleet=fleet, rng=random.Random(seed))


async def _submit(
    run: TrialRun, sent: SentRequest, deadline_ms: int, run_ms: int, idempotent: bool
) -> None:
    members = sorted(run.fleet.entries_by_id)
    run.request_count += 1
    run.waiting_by_team[sent.team] += 1
    sent.response = await run.fleet.submit(
        members[run.request_count % len(members)],
        team=sent.team,
        request_id=sent.request_id,
        priority=sent.priority.value,
        deadline_ms=deadline_ms,
        idempotent=idempotent,
        task={'text': sent.request_id, 'run_ms': run_ms},
    )
    run.waiting_by_team[sent.team] -= 1
    sent.answered_ms = now_ms()


def _record_request(
    run: TrialRun, team: str, priority: Priority, is_at_mean_load: bool
) -> SentRequest:
    sent = SentRequest(new_request_id(), team, priority, now_ms(), is_at_mean_load)
    run.sent.append(sent)
    return sent


def _draw_run_ms(run: TrialRun) -> int:
    """Draws a log-normal run time with the mean `RUN_MS`.

    Most tasks are shorter, a few are several times as long. 1.133 is the mean of the
    distribution before scaling, exp(0.5 ** 2 / 2).
    """
    return max(20, int(run.rng.lognormvariate(0, 0.5) / 1.133 * RUN_MS))


def _submit_in_background(
    run: TrialRun, sent: SentRequest, deadline_ms: int, idempotent: bool
) -> None:
    submission = _submit(run, sent, deadline_ms, _draw_run_ms(run), idempotent)
    task = asyncio.create_task(submission)
    run.tasks.add(task)
    task.add_done_callback(run.tasks.discard)


def _is_at_mean_load(index: int, at_ms: int) -> bool:
    """Whether a team has sent at its mean rate for the last `2 * BURST_MS`."""
    past_times_ms = range(max(0, at_ms - 2 * BURST_MS), at_ms + 1, BURST_MS // 4)
    return all(rate_factor(index, each_ms) == 1 for each_ms in past_times_ms)


async def _send_urgent(run: TrialRun, team: str, started_ms: int) -> None:
    """Sends the urgent requests of a team at the rate that `rate_factor` gives."""
    index = list(SHARES_BY_TEAM).index(team)
    mean = (
        TOTAL_SLOTS
        / RUN_MS
        * URGENT_LOAD
        * SHARES_BY_TEAM[team]
        / sum(SHARES_BY_TEAM.values())
    )
    rng = random.Random(run.rng.random())
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(mean * rate_factor(index, int(at_ms)))
        if at_ms >= SHARES_DURATION_MS:
            return
        await asyncio.sleep(seconds(max(0, started_ms + int(at_ms) - now_ms())))
        sent = _record_request(
            run, team, Priority.URGENT, _is_at_mean_load(index, int(at_ms))
        )
        idempotent = rng.random() >= NON_IDEMPOTENT_FRACTION
        _submit_in_background(run, sent, URGENT_DEADLINE_MS, idempotent)


async def _send_batch(run: TrialRun, team: str) -> None:
    await asyncio.sleep(seconds(BATCH_START_MS))
    share = SHARES_BY_TEAM[team] / sum(SHARES_BY_TEAM.values())
    count = round(TOTAL_SLOTS / RUN_MS * BATCH_LOAD * share * SHARES_DURATION_MS)
    for _ in range(count):
        sent = _record_request(run, team, Priority.OVERNIGHT, False)
        _submit_in_background(run, sent, SHARES_DURATION_MS - 2 * BATCH_START_MS, True)


async def _sample(run: TrialRun, samples: SlotTimeSamples, until_ms: int) -> None:
    """Adds up slot time until `until_ms`, weighting each sample by its real length."""
    samples.last_sample_ms = window_ms = now_ms()
    while now_ms() < until_ms:
        await asyncio.sleep(seconds(SAMPLE_MS))
        elapsed_ms = now_ms() - samples.last_sample_ms
        samples.last_sample_ms += elapsed_ms
        samples.max_sample_delay_ms = max(
            samples.max_sample_delay_ms, elapsed_ms - SAMPLE_MS
        )
        _add_sample(run, samples, elapsed_ms)
        if samples.last_sample_ms - window_ms >= WINDOW_MS:
            window_ms = samples.last_sample_ms
            _end_window(samples)


def _add_sample(run: TrialRun, samples: SlotTimeSamples, elapsed_ms: int) -> None:
    running = Counter(
        task.order.team
        for backend in run.fleet.backends_by_host.values()
        for task in backend.state.running()
    )
    demands = {
        team: min(LIMITS_BY_TEAM[team], run.waiting_by_team[team])
        for team in sorted(LIMITS_BY_TEAM)
    }
    for team, fair_slots in max_min(TOTAL_SLOTS, demands).items():
        samples.used_ms[team] += running[team] * elapsed_ms
        fair_ms = samples.fair_ms.get(team, 0.0)
        samples.fair_ms[team] = fair_ms + fair_slots * elapsed_ms


def _end_window(samples: SlotTimeSamples) -> None:
    for team, fair_ms in samples.fair_ms.items():
        used_ms = samples.used_ms[team]
        samples.error_ms[team] += round(abs(used_ms - fair_ms))
        samples.total_used_ms[team] += used_ms
        total_ms = samples.total_fair_ms.get(team, 0.0)
        samples.total_fair_ms[team] = total_ms + fair_ms
    samples.used_ms.clear()
    samples.fair_ms.clear()


def _start_ms_by_request(run: TrialRun) -> dict[str, int]:
    """Returns the time at which each request first started on a backend server."""
    started: dict[str, int] = {}
    for record in run.fleet.starts():
        started.setdefault(record.request_id, record.at_ms)
    return started


def _delay_figures(
    sent: list[SentRequest], started: Mapping[str, int], prefix: str
) -> dict:
    """Returns percentiles of the start delay and the percentage that met the target.

    A request that never started has missed the target, but is not in the percentiles.
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


def _failures_by_run_state(sent: list[SentRequest]) -> dict[str, float]:
    """Counts answers without the result, by the run state that they report."""
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


def _share_rows(variant: str, run: TrialRun, samples: SlotTimeSamples) -> list[Row]:
    started = _start_ms_by_request(run)
    rows = []
    for team in SHARES_BY_TEAM:
        sent = [each for each in run.sent if each.team == team]
        urgent = [each for each in sent if each.priority is Priority.URGENT]
        overnight = [each for each in sent if each.priority is Priority.OVERNIGHT]
        fair_ms = samples.total_fair_ms.get(team, 0.0)
        figures = {
            'error %': _percent(samples.error_ms[team], fair_ms),
            'done of due %': _percent(samples.total_used_ms[team], fair_ms),
        }
        figures |= _delay_figures(
            [e for e in urgent if e.is_at_mean_load], started, 'calm'
        )
        figures |= _delay_figures(urgent, started, 'urgent')
        figures |= _delay_figures(overnight, started, 'batch')
        missed = sum(not each.is_answered for each in overnight)
        figures['batch missed'] = missed
        figures |= _failures_by_run_state(sent)
        rows.append(Row(f'shares, team {team}', variant, figures))
    rows.append(_summary_row(variant, run, samples, rows))
    return rows


def _summary_row(
    variant: str, run: TrialRun, samples: SlotTimeSamples, rows: list[Row]
) -> Row:
    """Returns results over all teams; the mean error is weighted by the fair share."""
    started = _start_ms_by_request(run)
    fair_ms = sum(samples.total_fair_ms.values())
    urgent = [each for each in run.sent if each.priority is Priority.URGENT]
    figures: dict[str, float] = {
        'mean error %': _percent(samples.error_ms.total(), fair_ms),
        'worst error %': max(row.figures['error %'] for row in rows),
        'done of due %': _percent(samples.total_used_ms.total(), fair_ms),
    }
    figures |= _delay_figures(
        [each for each in urgent if each.is_at_mean_load], started, 'calm'
    )
    figures['answers'] = sum(each.is_answered for each in run.sent)
    figures['batch missed'] = sum(row.figures['batch missed'] for row in rows)
    figures |= _failures_by_run_state(run.sent)
    figures['late sample ms'] = samples.max_sample_delay_ms
    return Row('shares, all teams', variant, figures)


async def _measure_shares(variant: str, seed: int) -> list[Row]:
    run = await _start_trial(seed)
    samples = SlotTimeSamples()
    started_ms = now_ms()
    sampling = asyncio.create_task(
        _sample(run, samples, started_ms + SHARES_DURATION_MS)
    )
    senders = [_send_urgent(run, team, started_ms) for team in SHARES_BY_TEAM]
    await asyncio.gather(*senders, *[_send_batch(run, team) for team in SHARES_BY_TEAM])
    await sampling
    while run.tasks:
        await asyncio.wait(run.tasks)
    rows = _share_rows(variant, run, samples)
    await run.fleet.stop()
    return rows


async def _call_until(run: TrialRun, team: str, until_ms: int) -> None:
    """Sends one request after the other, without a pause after a refusal."""
    rng = random.Random(run.rng.random())
    while now_ms() < until_ms:
        sent = _record_request(run, team, Priority.URGENT, False)
        idempotent = rng.random() >= NON_IDEMPOTENT_FRACTION
        await _submit(run, sent, URGENT_DEADLINE_MS, RUN_MS, idempotent)


async def _measure_zone_exit(variant: str, seed: int) -> list[Row]:
    run = await _start_trial(seed)
    out_ms = now_ms() + WARM_UP_MS + BEFORE_EXIT_MS
    back_ms = out_ms + ZONE_OUT_MS
    ramped_ms = back_ms + RAMP_MS
    end_ms = ramped_ms + AFTER_RAMP_MS
    teams = list(SHARES_BY_TEAM)
    callers = [
        asyncio.create_task(
            _call_until(
                run, run.rng.choices(teams, list(SHARES_BY_TEAM.values()))[0], end_ms
            )
        )
        for _ in range(round(TOTAL_SLOTS * CALLERS_PER_SLOT))
    ]
    accepted_ms = await _run_operator_command(run, EditKind.ZONE_OUT, out_ms)
    returned_ms = await _run_operator_command(run, EditKind.ZONE_BACK, back_ms)
    await asyncio.gather(*callers)
    starts = [each.at_ms for each in run.fleet.zone_starts(ZONE)]
    out_starts = [at_ms for at_ms in starts if out_ms <= at_ms < back_ms]
    phases = {
        'before': (out_ms - BEFORE_EXIT_MS, out_ms, TOTAL_SLOTS),
        # Leaves out the time in which tasks that already ran in the zone still end.
        'out': (accepted_ms + 2 * RUN_MS, back_ms, TOTAL_SLOTS * 2 // 3),
        'ramp': (returned_ms, ramped_ms, TOTAL_SLOTS),
        'after': (ramped_ms, end_ms, TOTAL_SLOTS),
    }
    figures: dict[str, float] = {
        'accepted after ms': accepted_ms - out_ms,
        'last start after acceptance ms': max(out_starts, default=out_ms) - accepted_ms,
    }
    for name, (since_ms, until_ms, slots) in phases.items():
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
    figures |= _failures_by_run_state(run.sent)
    await run.fleet.stop()
    return [Row('zone exit', variant, figures)]


async def _run_operator_command(run: TrialRun, kind: EditKind, at_ms: int) -> int:
    """Sends an operator's command at `at_ms`; returns the time of its acceptance."""
    await asyncio.sleep(seconds(max(0, at_ms - now_ms())))
    report = await run.fleet.change(OPERATED_ENTRY, kind, availability_zone=ZONE)
    if report.outcome.value != 'accepted':
        raise AssertionError(
            f'{kind.value} was not accepted, the outcome is {report.outcome.value}'
        )
    return now_ms()


def run_scenario(scenario: str, variant: str, seed: int) -> list[Row]:
    """Runs one scenario; the caller provides a new process for each."""
    if variant == 'baseline':
        _use_baseline()
    measure_scenario = _measure_shares if scenario == 'shares' else _measure_zone_exit
    return asyncio.run(measure_scenario(f'{variant}, seed {seed}', seed))


def main(json_file: str = '') -> int:
    """Runs all scenarios, prints a table and writes or prints the results as JSON."""
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
