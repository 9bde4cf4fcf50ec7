"""Simulates how close each team comes to its fair share while teams burst in turn.

A pool of slots serves requests of six teams. Each second, the slot time that a team
used is compared with its weighted max-min fair share of the pool, which is computed
from the demand in each step. The error of a team is the sum of the differences divided
by the sum of its fair shares.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from dandelionknot.configuration import Priority
from dandelionknot.decisions import _queueing
from dandelionknot.decisions._queueing import QueuedRequest, TeamQueues
from measure.table import Row

SEED = 7
STEP_MS = 5
SECONDS = 90
# A team sends at a higher rate for `BURST_MS` and then at a lower rate for `QUIET_MS`.
# The factors are relative to the mean rate of the team.
BURST_MS = 4000
QUIET_MS = 4000
BURST_FACTOR = 5
QUIET_FACTOR = 0.05
# Mean run time of a task.
RUN_MS = 200
# Mean slot time needed, as a fraction of all slots.
LOAD = 0.75
OVERNIGHT_FRACTION = 0.2
URGENT_DEADLINE_MS = 5000
OVERNIGHT_DEADLINE_MS = 60000
SHARES_BY_TEAM = {'t1': 1, 't2': 1, 't3': 2, 't4': 3, 't5': 6, 't6': 9}
# Used and fair slot time are compared once for each window.
WINDOW_MS = 1000
# Unit of debt with which every debt is zero.
NO_DEBT = float('inf')


@dataclass(slots=True)
class Pool:
    """Waiting and running requests of one simulation, and its measurements.

    `arrival_order` has accepted requests, including those that have left the queues.
    `ends` is a heap with the end time, number and request of each running task.
    `used_ms` and `fair_ms` cover the current window, the other sums cover all windows.
    """

    slots: int
    queues: TeamQueues
    arrival_order: deque[QueuedRequest] = field(default_factory=deque)
    running: Counter[str] = field(default_factory=Counter)
    ends: list[tuple[int, int, QueuedRequest]] = field(default_factory=list)
    used_ms: Counter[str] = field(default_factory=Counter)
    fair_ms: Counter[str] = field(default_factory=Counter)
    error_ms: Counter[str] = field(default_factory=Counter)
    total_fair_ms: Counter[str] = field(default_factory=Counter)
    mean_load_delays: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 600000, 2)
    )
    refused: int = 0
    expired: Counter[str] = field(default_factory=Counter)
    done: int = 0


Policy = Callable[[Pool, int], QueuedRequest | None]


def by_max_min(pool: Pool, now_ms: int) -> QueuedRequest | None:
    """Removes and returns the request that `next_request` chooses."""
    return _next(pool, pool.running, now_ms, lambda _: True)


def by_next_load(pool: Pool, now_ms: int) -> QueuedRequest | None:
    """Compares the loads that the teams would have after one more start."""
    loads = {team: pool.running[team] + 1 for team in SHARES_BY_TEAM}
    return _next(pool, loads, now_ms, lambda _: True)


def by_partition(pool: Pool, now_ms: int) -> QueuedRequest | None:
    """Limits each team to a fixed number of slots, at least one."""
    total = sum(SHARES_BY_TEAM.values())
    slots_by_team = {
        team: max(1, pool.slots * SHARES_BY_TEAM[team] // total)
        for team in SHARES_BY_TEAM
    }
    return _next(
        pool,
        pool.running,
        now_ms,
        lambda team: pool.running[team] < slots_by_team[team],
    )


def by_arrival(pool: Pool, now_ms: int) -> QueuedRequest | None:
    """Removes and returns the oldest request of all teams."""
    while pool.arrival_order:
        item = _queueing.cancel(pool.queues, pool.arrival_order.popleft().request_id)
        if item is not None:
            return item
    return None


def _next(
    pool: Pool,
    loads: Mapping[str, float],
    now_ms: int,
    can_start: Callable[[str], bool],
) -> QueuedRequest | None:
    return _queueing.next_request(pool.queues, loads, SHARES_BY_TEAM, can_start, now_ms)  # type: ignore[arg-type]


def max_min(slots: int, demands: Mapping[str, int]) -> dict[str, float]:
    """Returns the weighted max-min fair share of the slots for each team.

    Shares may be fractions of a slot.
    """
    slots_by_team = dict.fromkeys(demands, 0.0)
    remaining = float(slots)
    open_teams = {team for team, demand in demands.items() if demand > 0}
    while open_teams and remaining > 1e-9:
        weight = sum(SHARES_BY_TEAM[team] for team in open_teams)
        filled = {
            t
            for t in open_teams
            if demands[t] <= remaining * SHARES_BY_TEAM[t] / weight
        }
        for team in filled or open_teams:
            slots_by_team[team] = (
                demands[team] if filled else remaining * SHARES_BY_TEAM[team] / weight
            )
        remaining -= sum(slots_by_team[team] for team in filled or open_teams)
        open_teams = open_teams - filled if filled else set()
    return slots_by_team


def rate_factor(team_index: int, now_ms: int) -> float:
    """Returns the rate of a team relative to its mean rate.

    Teams burst one after the other, in the order of their indexes.
    """
    period_ms = len(SHARES_BY_TEAM) * BURST_MS
    phase_ms = (now_ms - team_index * BURST_MS) % period_ms
    if now_ms >= team_index * BURST_MS and phase_ms < BURST_MS:
        return BURST_FACTOR
    if now_ms >= team_index * BURST_MS and phase_ms < BURST_MS + QUIET_MS:
        return QUIET_FACTOR
    return 1.0


def _is_at_mean_load(team_index: int, now_ms: int) -> bool:
    """Whether a team has sent at its mean rate for the last `2 * BURST_MS`."""
    factors = {
        rate_factor(team_index, max(0, now_ms - ago_ms))
        for ago_ms in range(0, 2 * BURST_MS, BURST_MS // 4)
    }
    return factors == {1.0}


def run(slots: int, policy: Policy, debt_unit_ms: float = NO_DEBT) -> tuple[Pool, dict]:
    """Simulates one pool; returns it with histograms of start delays by priority."""
    rng = random.Random(SEED)
    pool = Pool(slots, TeamQueues(capacity=slots * 40, debt_unit_ms=debt_unit_ms))
    delays = {priority: HdrHistogram(1, 600000, 2) for priority in Priority}
    number = 0
    for now_ms in range(0, SECONDS * 1000, STEP_MS):
        for index, (team, share) in enumerate(SHARES_BY_TEAM.items()):
            rate = (
                slots * LOAD * share / sum(SHARES_BY_TEAM.values()) / RUN_MS * STEP_MS
            )
            for _ in range(_poisson(rng, rate * rate_factor(index, now_ms))):
                number += 1
                _arrive(pool, rng, team, number, now_ms)
        _end_tasks(pool, now_ms)
        for late in _queueing.expire(pool.queues, now_ms):
            pool.expired[late.priority] += 1
        while sum(pool.running.values()) < slots:
            item = policy(pool, now_ms)
            if item is None:
                break
            pool.running[item.team_id] += 1
            delay_ms = max(1, now_ms - item.arrival_ms)
            delays[item.priority].record_value(delay_ms)
            index = list(SHARES_BY_TEAM).index(item.team_id)
            if item.priority is Priority.URGENT and _is_at_mean_load(index, now_ms):
                pool.mean_load_delays.record_value(delay_ms)
            # 1.377 is the mean of the distribution before scaling, exp(0.8 ** 2 / 2).
            run_ms = max(10, int(rng.lognormvariate(0, 0.8) / 1.377 * RUN_MS))
            heapq.heappush(pool.ends, (now_ms + run_ms, int(item.request_id), item))
        _add_step(pool, now_ms)
    return pool, delays


def _poisson(rng: random.Random, mean: float) -> int:
    count = 0
    remaining = rng.expovariate(1.0)
    while remaining < mean:
        count += 1
        remaining += rng.expovariate(1.0)
    return count


def _arrive(
    pool: Pool, rng: random.Random, team: str, number: int, now_ms: int
) -> None:
    is_overnight = rng.random() < OVERNIGHT_FRACTION
    wait_ms = OVERNIGHT_DEADLINE_MS if is_overnight else URGENT_DEADLINE_MS
    item = QueuedRequest(
        request_id=str(number),
        team_id=team,
        priority=Priority.OVERNIGHT if is_overnight else Priority.URGENT,
        arrival_ms=now_ms,
        deadline_ms=now_ms + wait_ms,
        expected_run_ms=RUN_MS,
    )
    if _queueing.offer(pool.queues, item).is_ok():
        pool.arrival_order.append(item)
    else:
        pool.refused += 1


def _end_tasks(pool: Pool, now_ms: int) -> None:
    while pool.ends and pool.ends[0][0] <= now_ms:
        ended = heapq.heappop(pool.ends)[2]
        pool.running[ended.team_id] -= 1
        pool.done += 1


def _add_step(pool: Pool, now_ms: int) -> None:
    demands = {}
    for team in SHARES_BY_TEAM:
        queued = _queueing.counts(pool.queues, team)
        demands[team] = pool.running[team] + queued.urgent + queued.overnight
    fair_slots = max_min(pool.slots, demands)
    for team in SHARES_BY_TEAM:
        pool.used_ms[team] += pool.running[team] * STEP_MS
        pool.fair_ms[team] += fair_slots[team] * STEP_MS  # type: ignore[assignment]
    if now_ms % WINDOW_MS == WINDOW_MS - STEP_MS:
        for team in SHARES_BY_TEAM:
            pool.error_ms[team] += abs(pool.used_ms[team] - pool.fair_ms[team])
            pool.total_fair_ms[team] += pool.fair_ms[team]
        pool.used_ms.clear()
        pool.fair_ms.clear()


def to_row(slots: int, variant: str, pool: Pool, delays: dict) -> Row:
    """Returns the errors by team, counts of tasks and the start delays as one row."""
    errors = {
        team: round(100 * pool.error_ms[team] / max(1, pool.total_fair_ms[team]), 1)
        for team in SHARES_BY_TEAM
    }
    urgent, overnight = delays[Priority.URGENT], delays[Priority.OVERNIGHT]
    figures: dict[str, float] = {
        f'{team} err%': errors[team] for team in SHARES_BY_TEAM
    }
    figures['worst%'] = max(errors.values())
    figures['tasks done'] = pool.done
    figures['refused'] = pool.refused
    figures['urgent late'] = pool.expired[Priority.URGENT]
    figures['overnight late'] = pool.expired[Priority.OVERNIGHT]
    for name, histogram in (('urgent', urgent), ('overnight', overnight)):
        for percentile in (50, 99):
            value = histogram.get_value_at_percentile(percentile)
            figures[f'{name} p{percentile} ms'] = value
    for percentile in (50, 99):
        value = pool.mean_load_delays.get_value_at_percentile(percentile)
        figures[f'calm urgent p{percentile} ms'] = value
    return Row(f'shares, {slots} slots, each team bursts in turn', variant, figures)


def measure() -> list[Row]:
    """Compares policies on 64 slots (a whole pool) and 8 slots (an entry host)."""
    debt = float(_queueing.DEBT_UNIT_MS)
    variants: list[tuple[str, Policy, float]] = [
        ('weighted max-min with debt (chosen)', by_max_min, debt),
        ('weighted max-min', by_max_min, NO_DEBT),
        ('max-min of the next load', by_next_load, NO_DEBT),
        ('max-min of the next load, debt', by_next_load, debt),
        ('max-min, debt unit 50 ms', by_max_min, 50),
        ('max-min, debt unit 400 ms', by_max_min, 400),
        ('first come, first served', by_arrival, NO_DEBT),
        ('fixed partition', by_partition, NO_DEBT),
    ]
    return [
        to_row(slots, name, *run(slots, policy, debt_unit_ms))
        for slots in (64, 8)
        for name, policy, debt_unit_ms in variants
    ]
