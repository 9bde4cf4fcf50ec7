"""Bounded queues of one service, with shares between teams and classes within a team.

Between teams, a free slot goes to the team that has the fewest slots relative to its
share (weighted max-min fairness). The share of a team without waiting requests is used
by the other teams. The team gets its slots back as running tasks end. A service often
has too few slots to divide them exactly in the ratio of the shares. Each team therefore
has a debt, which is the slots that it recently had above its part less those below.

Within a team, urgent requests start before overnight requests, with two exceptions that
let overnight requests finish by their deadline:

- An overnight request that has reached its latest start goes first.
- While the overnight backlog of a team is too long to finish in time, every second
  start of the team is an overnight request.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dandelionknot.configuration import Priority
from dandelionknot.messages import ErrorCode, Refusal, RunState

RUN_TIME_FACTOR = 2
"""Multiple of the run time to reserve, as declared times are often too short."""

START_MARGIN_MS = 1000
"""Time to reserve for starting a task and for reading its answer."""

MIN_RETRY_MS = 100
"""Shortest delay after which a caller is advised to retry when the queue is full."""

MAX_RETRY_MS = 10000
"""Longest delay after which a caller is advised to retry when the queue is full."""

INTERVAL_WEIGHT = 0.1
"""Weight of the newest sample in the mean time between starts."""

RUN_TIME_WEIGHT = 0.1
"""Weight of the newest task in the mean run time of a team and class."""

DEBT_DECAY_MS = 1000
"""Time constant of the exponential decay of debts."""

DEBT_UNIT_MS = 100
"""Time in which each slot above a team's part of the slots adds one slot of debt."""

DEBT_STEP_MS = 10
"""Minimum time between two updates of the debts, which keeps `next_request` cheap."""

MAX_STALE_ENTRIES = 64
"""A structure is compacted when its stale entries exceed its live ones by this."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A waiting request, with times of the local monotonic clock."""

    request_id: str
    team_id: str
    priority: Priority
    arrival_ms: int
    deadline_ms: int
    expected_run_ms: int = 0

    @property
    def latest_start_ms(self) -> int:
        """Returns when the task must start at the latest to end by its deadline."""
        return self.deadline_ms - RUN_TIME_FACTOR * self.expected_run_ms


@dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team.

    Entries of removed requests stay in the structures until they are reached or
    compacted. `served_number` is the number of the team's last start among all starts
    of the service.
    """

    urgent: deque[QueuedRequest] = field(default_factory=deque)
    overnight: deque[QueuedRequest] = field(default_factory=deque)
    overnight_by_start: list[tuple[int, int, QueuedRequest]] = field(
        default_factory=list
    )
    urgent_count: int = 0
    overnight_count: int = 0
    overnight_work_ms: int = 0
    run_ms_by_priority: dict[Priority, float] = field(default_factory=dict)
    last_was_overnight: bool = False
    served_number: int = 0
    debt: float = 0.0


@dataclass(slots=True)
class TeamQueues:
    """All waiting requests of one service."""

    capacity: int
    teams_by_id: dict[str, TeamQueue] = field(default_factory=dict)
    requests_by_id: dict[str, QueuedRequest] = field(default_factory=dict)
    by_deadline: list[tuple[int, int, QueuedRequest]] = field(default_factory=list)
    next_number: int = 0
    served_number: int = 0
    last_start_ms: int | None = None
    start_interval_ms: float = MIN_RETRY_MS
    debts_at_ms: int = 0
    debt_unit_ms: float = DEBT_UNIT_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueCounts:
    """Number of waiting requests of one team, by class."""

    urgent: int
    overnight: int


def offer(queues: TeamQueues, item: QueuedRequest) -> Result[None, Refusal]:
    """Queues a request, or refuses it with `queue_full`.

    A team may have at most as many requests in the queue as there are free places. One
    team alone thus fills up to half of the queue, two teams a third each, and there is
    always room for another team.
    """
    if item.request_id in queues.requests_by_id:
        raise AssertionError(f'request {item.request_id!r} is already queued')
    total = len(queues.requests_by_id)
    team = queues.teams_by_id.get(item.team_id)
    held = team.urgent_count + team.overnight_count if team else 0
    if total >= queues.capacity or (held and held >= queues.capacity - total):
        return Err(_queue_full(queues, item))
    if team is None:
        team = queues.teams_by_id[item.team_id] = TeamQueue()
    # The copy distinguishes this offer from stale entries of an earlier offer of the
    # same object.
    item = replace(item)
    queues.requests_by_id[item.request_id] = item
    queues.next_number += 1
    heapq.heappush(queues.by_deadline, (item.deadline_ms, queues.next_number, item))
    if item.priority is Priority.URGENT:
        team.urgent.append(item)
        team.urgent_count += 1
        return Ok(None)
    entry = (item.latest_start_ms, queues.next_number, item)
    heapq.heappush(team.overnight_by_start, entry)
    team.overnight.append(item)
    team.overnight_count += 1
    team.overnight_work_ms += item.expected_run_ms
    return Ok(None)


def next_request(
    queues: TeamQueues,
    running_by_team: Mapping[str, int],
    shares_by_team: Mapping[str, int],
    can_start: Callable[[str], bool],
    now_ms: int,
) -> QueuedRequest | None:
    """Removes and returns the request that should start now, if there is one.

    `can_start` returns whether the upper limit of a team allows another task. It must
    not count the start. Teams with equal load relative to their share take turns.
    """
    if now_ms - queues.debts_at_ms >= DEBT_STEP_MS:
        _update_debts(queues, running_by_team, shares_by_team, now_ms)
    best_id = ''
    best: TeamQueue | None = None
    best_load = 0.0
    for team_id, team in queues.teams_by_id.items():
        if not team.urgent_count and not team.overnight_count:
            continue
        slots = running_by_team.get(team_id, 0) + team.debt
        load = slots / shares_by_team.get(team_id, 1)
        if best is not None and (load, team.served_number) >= (
            best_load,
            best.served_number,
        ):
            continue
        if can_start(team_id):
            best_id, best, best_load = team_id, team, load
    if best is None:
        return None
    item = _next_of_team(queues, best, running_by_team.get(best_id, 0), now_ms)
    _remove(queues, item)
    best.last_was_overnight = item.priority is Priority.OVERNIGHT
    queues.served_number += 1
    best.served_number = queues.served_number
    _record_start(queues, now_ms)
    return item


def record_run_time(
    queues: TeamQueues, team_id: str, priority: Priority, run_ms: int
) -> None:
    """Updates the mean run time of a team and class with a task that has ended."""
    team = queues.teams_by_id.setdefault(team_id, TeamQueue())
    mean_ms = team.run_ms_by_priority.get(priority, run_ms)
    mean_ms += RUN_TIME_WEIGHT * (run_ms - mean_ms)
    team.run_ms_by_priority[priority] = mean_ms


def cancel(queues: TeamQueues, request_id: str) -> QueuedRequest | None:
    """Removes and returns a waiting request, or returns None if it does not wait."""
    item = queues.requests_by_id.get(request_id)
    if item is not None:
        _remove(queues, item)
    return item


def expire(queues: TeamQueues, now_ms: int) -> list[QueuedRequest]:
    """Removes and returns the requests that can no longer end by their deadline.

    Starting them would use slots for tasks that are stopped before their results are
    complete. The shortest mean run time of all teams and classes is assumed, so that
    long tasks of one class do not shorten the time for which short tasks may wait.
    """
    expired = []
    latest_ms = now_ms + _shortest_run_ms(queues)
    while queues.by_deadline and queues.by_deadline[0][0] <= latest_ms:
        item = heapq.heappop(queues.by_deadline)[2]
        if queues.requests_by_id.get(item.request_id) is item:
            _remove(queues, item)
            expired.append(item)
    return expired


def _shortest_run_ms(queues: TeamQueues) -> float:
    means = [
        mean_ms
        for team in queues.teams_by_id.values()
        for mean_ms in team.run_ms_by_priority.values()
    ]
    return min(means, default=0.0)


def position(queues: TeamQueues, request_id: str) -> int | None:
    """Returns how many requests of the same team are ahead, or None if not waiting.

    Overnight requests that may start earlier because of their deadline are not
    considered.
    """
    item = queues.requests_by_id.get(request_id)
    if item is None:
        return None
    team = queues.teams_by_id[item.team_id]
    is_urgent = item.priority is Priority.URGENT
    ahead = 0 if is_urgent else team.urgent_count
    for other in _live(queues, team.urgent if is_urgent else team.overnight):
        if other is item:
            return ahead
        ahead += 1
    raise AssertionError(f'request {request_id!r} is not in the queue of its team')


def counts(queues: TeamQueues, team_id: str) -> QueueCounts:
    """Returns how many requests of a team wait."""
    team = queues.teams_by_id.get(team_id, TeamQueue())
    return QueueCounts(urgent=team.urgent_count, overnight=team.overnight_count)


def _update_debts(
    queues: TeamQueues,
    running_by_team: Mapping[str, int],
    shares_by_team: Mapping[str, int],
    now_ms: int,
) -> None:
    """Updates the debt of each team from its slots and its part of the slots.

    The part of a waiting team is its share of the slots that all waiting teams use.
    Slots that it uses from teams without waiting requests therefore cause no debt.
    """
    elapsed_ms = min(DEBT_DECAY_MS, now_ms - queues.debts_at_ms)
    queues.debts_at_ms = now_ms
    waiting = {
        team_id: team
        for team_id, team in queues.teams_by_id.items()
        if team.urgent_count or team.overnight_count
    }
    slots = sum(running_by_team.get(team_id, 0) for team_id in waiting)
    shares = sum(shares_by_team.get(team_id, 1) for team_id in waiting)
    for team_id, team in queues.teams_by_id.items():
        team.debt *= 1 - elapsed_ms / DEBT_DECAY_MS
        if team_id in waiting:
            part = slots * shares_by_team.get(team_id, 1) / shares
            excess = running_by_team.get(team_id, 0) - part
            team.debt += excess * elapsed_ms / queues.debt_unit_ms


def _next_of_team(
    queues: TeamQueues, team: TeamQueue, running: int, now_ms: int
) -> QueuedRequest:
    if team.overnight_count:
        least_slack = _least_slack_request(queues, team)
        if _latest_start_ms(team, least_slack) - START_MARGIN_MS <= now_ms:
            return least_slack
        is_overnight_turn = not team.last_was_overnight and _is_behind(
            team, running, now_ms
        )
        if is_overnight_turn or not team.urgent_count:
            return _head(queues, team.overnight)
    return _head(queues, team.urgent)


def _is_behind(team: TeamQueue, running: int, now_ms: int) -> bool:
    """Returns whether the overnight backlog is too long to end by its deadline.

    The backlog is assumed to run on the slots that the team has now. All its requests
    are assumed to have the deadline of the one that must start first, as is usual for
    the price lists of one night. Callers may declare no run time, so the mean run time
    of ended tasks is used if it gives a longer backlog than the declared run times.
    """
    work_ms = max(team.overnight_work_ms, team.overnight_count * _mean_run_ms(team))
    backlog_ms = RUN_TIME_FACTOR * work_ms / max(1, running)
    latest_ms = _latest_start_ms(team, team.overnight_by_start[0][2])
    return latest_ms - START_MARGIN_MS - backlog_ms <= now_ms


def _mean_run_ms(team: TeamQueue) -> float:
    """Returns the mean run time of overnight tasks.

    Until an overnight task has ended, the mean of urgent tasks is returned.
    """
    urgent_ms = team.run_ms_by_priority.get(Priority.URGENT, 0.0)
    return team.run_ms_by_priority.get(Priority.OVERNIGHT, urgent_ms)


def _latest_start_ms(team: TeamQueue, item: QueuedRequest) -> float:
    run_ms = max(item.expected_run_ms, _mean_run_ms(team))
    return item.deadline_ms - RUN_TIME_FACTOR * run_ms


def _least_slack_request(queues: TeamQueues, team: TeamQueue) -> QueuedRequest:
    heap = team.overnight_by_start
    while not _is_live(queues, heap[0][2]):
        heapq.heappop(heap)
    return heap[0][2]


def _head(queues: TeamQueues, requests: deque[QueuedRequest]) -> QueuedRequest:
    while not _is_live(queues, requests[0]):
        requests.popleft()
    return requests[0]


def _is_live(queues: TeamQueues, item: QueuedRequest) -> bool:
    return queues.requests_by_id.get(item.request_id) is item


def _live(queues: TeamQueues, items: Iterable[QueuedRequest]) -> list[QueuedRequest]:
    return [item for item in items if _is_live(queues, item)]


def _remove(queues: TeamQueues, item: QueuedRequest) -> None:
    """Removes a request; its stale entries stay until they are reached or compacted."""
    del queues.requests_by_id[item.request_id]
    team = queues.teams_by_id[item.team_id]
    if item.priority is Priority.URGENT:
        team.urgent_count -= 1
    else:
        team.overnight_count -= 1
        team.overnight_work_ms -= item.expected_run_ms
    _compact(queues, team)


def _compact(queues: TeamQueues, team: TeamQueue) -> None:
    """Rebuilds structures of mostly stale entries, such as after many cancellations."""
    if len(team.urgent) > 2 * team.urgent_count + MAX_STALE_ENTRIES:
        team.urgent = deque(_live(queues, team.urgent))
    if len(team.overnight) > 2 * team.overnight_count + MAX_STALE_ENTRIES:
        team.overnight = deque(_live(queues, team.overnight))
    if len(team.overnight_by_start) > 2 * team.overnight_count + MAX_STALE_ENTRIES:
        team.overnight_by_start = _live_heap(queues, team.overnight_by_start)
    if len(queues.by_deadline) > 2 * len(queues.requests_by_id) + MAX_STALE_ENTRIES:
        queues.by_deadline = _live_heap(queues, queues.by_deadline)


def _live_heap(
    queues: TeamQueues, heap: list[tuple[int, int, QueuedRequest]]
) -> list[tuple[int, int, QueuedRequest]]:
    entries = [entry for entry in heap if _is_live(queues, entry[2])]
    heapq.heapify(entries)
    return entries


def _record_start(queues: TeamQueues, now_ms: int) -> None:
    if queues.last_start_ms is not None:
        gap_ms = min(MAX_RETRY_MS, now_ms - queues.last_start_ms)
        queues.start_interval_ms += INTERVAL_WEIGHT * (
            gap_ms - queues.start_interval_ms
        )
    queues.last_start_ms = now_ms


def _queue_full(queues: TeamQueues, item: QueuedRequest) -> Refusal:
    """Returns a refusal that advises a retry after a tenth of the queue has started."""
    starts = max(1, len(queues.requests_by_id) // 10)
    retry_ms = int(starts * queues.start_interval_ms)
    return Refusal(
        code=ErrorCode.QUEUE_FULL,
        message=f'the queue has no room for another request of team {item.team_id!r}',
        run_state=RunState.NOT_RUN,
        retry_after_ms=max(MIN_RETRY_MS, min(MAX_RETRY_MS, retry_ms)),
        request_id=item.request_id,
    )
