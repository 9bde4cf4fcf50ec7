"""Simulates how many requests are done and refused while demand moves between hosts.

Most requests of a team arrive at one entry host, which changes every few seconds.
Requests wait at the entry host where they arrived and are refused if they have not
started within `MAX_WAIT_MS`.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from dandelionknot.decisions import _limits
from dandelionknot.entry._grants import FLEET_GRANT_WRITES_PER_SECOND
from dandelionknot.messages import GrantRecord
from measure.table import Row

SEED = 11
STEP_MS = 20
SECONDS = 20
BUSY_HOST_CHANGE_MS = 5000
# Fraction of a team's requests that arrive at its busy entry host.
BUSY_HOST_FRACTION = 0.6
# Mean number of running tasks needed, as a fraction of a team's upper limit.
LOAD = 0.85
RUN_MS = 200
MAX_WAIT_MS = 1100
# After a conflict, a write is prepared again with a random delay below this limit.
MAX_CONFLICT_WAIT_MS = 300
SLOW_INTERVAL_MS = 1000


@dataclass(slots=True)
class EntryHost:
    """One entry host's grants, waiting requests and running tasks, by team.

    `waiting` has arrival times, `ends` has the times at which running tasks end.
    """

    holder: str
    local: _limits.LocalGrants = field(default_factory=_limits.LocalGrants)
    last_written: str = ''
    allowance: _limits.WriteAllowance = field(default_factory=_limits.WriteAllowance)
    waiting: dict[str, deque[int]] = field(default_factory=dict)
    ends: dict[str, deque[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Store:
    """Grant records with revisions, writes that were sent, and counts of writes."""

    records: dict[str, tuple[GrantRecord, int]] = field(default_factory=dict)
    sent: list[tuple[EntryHost, _limits.GrantWrite]] = field(default_factory=list)
    writes: int = 0
    conflicts: int = 0


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests by outcome, and the most tasks of a team that ran at once."""

    offered: int = 0
    done: int = 0
    refused: int = 0
    max_running: int = 0


Policy = Callable[[EntryHost, str, int, list[str], Store], None]


def by_demand(
    host: EntryHost, team: str, now_ms: int, live: list[str], store: Store
) -> None:
    """Observes the record and sends the write that `next_write` returns."""
    _follow_demand(host, team, now_ms, live, store, _limits.TRANSFER_INTERVAL_MS)


def _follow_demand(
    host: EntryHost,
    team: str,
    now_ms: int,
    live: list[str],
    store: Store,
    interval_ms: int,
) -> None:
    if team in store.records:
        record, revision = store.records[team]
        _limits.observe_record(host.local, host.holder, record, revision, now_ms)
    _limits.refill(host.allowance, FLEET_GRANT_WRITES_PER_SECOND / len(live), now_ms)
    if not _limits.may_write(host.allowance):
        return
    write = _limits.next_write(host.local, host.holder, team, now_ms, live, interval_ms)
    if write is not None:
        _limits.count_write(host.allowance)
        host.last_written = team
        store.sent.append((host, write))


def by_demand_slowly(
    host: EntryHost, team: str, now_ms: int, live: list[str], store: Store
) -> None:
    """Does the same as `by_demand` with five times the interval between writes."""
    _follow_demand(host, team, now_ms, live, store, SLOW_INTERVAL_MS)


def by_equal_split(
    host: EntryHost, team: str, now_ms: int, live: list[str], store: Store
) -> None:
    """Splits the limit evenly without writes; the first hosts get the remainder."""
    grant = host.local.teams_by_id[team]
    each, rest = divmod(grant.upper_limit, len(live))
    grant.granted = each + (live.index(host.holder) < rest)


def apply_writes(store: Store, rng: random.Random, now_ms: int) -> None:
    """Applies the writes that were sent in the last step, one after the other."""
    for host, write in store.sent:
        team = write.record.team
        _, revision = store.records.get(team, (None, 0))
        store.writes += 1
        if revision == write.expected_revision:
            store.records[team] = (write.record, revision + 1)
        else:
            store.conflicts += 1
            retry_at_ms = now_ms + rng.randrange(MAX_CONFLICT_WAIT_MS)
            _limits.write_conflicted(host.local, team, retry_at_ms)
    store.sent.clear()


def run(
    teams: int,
    hosts: int,
    limit: int,
    policy: Policy,
    load: float = LOAD,
    seconds: int = SECONDS,
) -> tuple[RequestCounts, Store]:
    """Simulates all entry hosts in steps of equal length."""
    rng = random.Random(SEED)
    team_ids = [f'team-{number}' for number in range(teams)]
    entry_hosts = [EntryHost(f'entry-{number:02}') for number in range(hosts)]
    live = [host.holder for host in entry_hosts]
    for host in entry_hosts:
        host.last_written = _limits.initial_last_written(team_ids, host.holder)
    for host in entry_hosts:
        for team in team_ids:
            _limits.set_limit(host.local, host.holder, team, limit, 1)
            host.waiting[team] = deque()
            host.ends[team] = deque()
    counts, store = RequestCounts(), Store()
    retry_rng = random.Random(SEED)
    for now_ms in range(0, seconds * 1000, STEP_MS):
        apply_writes(store, retry_rng, now_ms)
        for number, team in enumerate(team_ids):
            busy = (now_ms // BUSY_HOST_CHANGE_MS * 7 + number) % hosts
            for index, host in enumerate(entry_hosts):
                part = (
                    BUSY_HOST_FRACTION
                    if index == busy
                    else (1 - BUSY_HOST_FRACTION) / (hosts - 1)
                )
                mean = load * limit / RUN_MS * STEP_MS * part
                _step(host, team, now_ms, _arrivals(rng, mean), counts)
            running = sum(h.local.teams_by_id[team].running for h in entry_hosts)
            counts.max_running = max(counts.max_running, running)
        for host in entry_hosts:
            for team in _limits.writing_order(team_ids, host.last_written):
                policy(host, team, now_ms, live, store)
    return counts, store


def _arrivals(rng: random.Random, mean: float) -> int:
    whole = int(mean)
    return whole + (rng.random() < mean - whole)


def _step(
    host: EntryHost, team: str, now_ms: int, arrivals: int, counts: RequestCounts
) -> None:
    ends, waiting = host.ends[team], host.waiting[team]
    while ends and ends[0] <= now_ms:
        ends.popleft()
        _limits.finished(host.local, team)
        counts.done += 1
    waiting.extend([now_ms] * arrivals)
    counts.offered += arrivals
    while waiting and now_ms - waiting[0] > MAX_WAIT_MS:
        waiting.popleft()
        counts.refused += 1
    while waiting and isinstance(_limits.try_start(host.local, team), Ok):
        waiting.popleft()
        ends.append(now_ms + RUN_MS)
    _limits.set_wanted(host.local, team, len(ends) + len(waiting))


def measure() -> list[Row]:
    """Compares grants that follow demand with an equal split, at several sizes."""
    rows = []
    cases = [
        (6, 8, 48, LOAD, SECONDS),
        (6, 8, 48, 1.5, SECONDS),
        (1, 24, 3, LOAD, SECONDS),
        (33, 24, 160, LOAD, SECONDS // 2),
    ]
    for teams, hosts, limit, load, seconds in cases:
        name = f'grants, {teams} teams, {hosts} hosts, limit {limit}, load {load}'
        for variant, policy in (
            ('by demand (chosen)', by_demand),
            ('by demand, 1 s interval', by_demand_slowly),
            ('equal split', by_equal_split),
        ):
            counts, store = run(teams, hosts, limit, policy, load, seconds)
            figures = {
                'offered': counts.offered,
                'done': counts.done,
                'refused': counts.refused,
                'most running': counts.max_running,
                'writes/s': round(store.writes / seconds, 1),
                'conflicts/s': round(store.conflicts / seconds, 1),
            }
            rows.append(Row(name, variant, figures))
    return rows
