"""Measures the processor time of the decisions made for each request."""

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from dandelionknot.configuration import Priority
from dandelionknot.decisions import _limits, _queueing
from dandelionknot.messages import GrantRecord
from measure.table import Row

TEAM_COUNT = 33
HOST_COUNT = 24
CALLS = 20000
ROUNDS = 5


def best_microseconds(call: Callable[[int], object]) -> float:
    """Returns the mean time of a call in the fastest of several rounds.

    The fastest round is the one least disturbed by other load on the machine.
    """
    best = float('inf')
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for number in range(CALLS):
            call(number)
        best = min(best, time.perf_counter() - started)
    return round(best / CALLS * 1e6, 2)


def queue_cost() -> Row:
    """Measures `next_request` and `offer` while all teams wait in both priorities."""
    teams = [f'team-{number}' for number in range(TEAM_COUNT)]
    queues = _queueing.TeamQueues(capacity=10 * TEAM_COUNT * TEAM_COUNT)
    running = {team: number % 5 for number, team in enumerate(teams)}
    shares = {team: 1 + number % 7 for number, team in enumerate(teams)}

    def item(number: int) -> _queueing.QueuedRequest:
        return _queueing.QueuedRequest(
            request_id=f'{number}',
            team_id=teams[number % TEAM_COUNT],
            priority=Priority.OVERNIGHT if number % 2 else Priority.URGENT,
            arrival_ms=0,
            deadline_ms=3600000,
            expected_run_ms=100,
        )

    for number in range(30 * TEAM_COUNT):
        _queueing.offer(queues, item(-number))

    def serve_and_refill(number: int, step_ms: int) -> None:
        served = _queueing.next_request(
            queues, running, shares, lambda _: True, number * step_ms
        )
        assert served is not None
        _queueing.offer(queues, served)

    def refill_only(number: int) -> None:
        served = _queueing.cancel(queues, '-1')
        assert served is not None
        _queueing.offer(queues, served)

    figures = {
        f'next_request+offer each {step_ms} ms, us': best_microseconds(
            partial(serve_and_refill, step_ms=step_ms)
        )
        for step_ms in (1, _queueing.DEBT_STEP_MS)
    }
    figures['cancel+offer us'] = best_microseconds(refill_only)
    return Row('cost at 33 teams', 'queue', figures)


def grant_cost() -> Row:
    """Measures `try_start` with `finished`, and `next_write` with nothing to write."""
    members = [f'entry-{number}' for number in range(HOST_COUNT)]
    local = _limits.LocalGrants()
    _limits.set_limit(local, members[0], 'team', 240, 1)
    record = GrantRecord(
        team='team',
        grants_by_member=dict.fromkeys(members, 10),
        requests_by_member=dict.fromkeys(members, 16),
        upper_limit=240,
        limit_version=1,
    )
    _limits.observe_record(local, members[0], record, 1, 0)
    _limits.set_wanted(local, 'team', 26)

    def start_and_finish(number: int) -> None:
        _limits.try_start(local, 'team')
        _limits.finished(local, 'team')

    def plan(number: int) -> None:
        assert _limits.next_write(local, members[0], 'team', 0, members) is None

    figures = {
        'try_start+finished us': best_microseconds(start_and_finish),
        'next_write, all ask, us': best_microseconds(plan),
    }
    without_requests = replace(record, requests_by_member={})
    _limits.observe_record(local, members[0], without_requests, 2, 0)
    _limits.set_wanted(local, 'team', 5)
    figures['next_write, nobody asks, us'] = best_microseconds(plan)
    return Row('cost at 24 entry hosts', 'grants', figures)


def measure() -> list[Row]:
    """Returns one row for the queue and one for the grants."""
    return [queue_cost(), grant_cost()]
