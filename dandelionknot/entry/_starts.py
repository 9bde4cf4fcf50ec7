"""From the queue to a backend server: starts of attempts."""

import os

from result import Err, Ok

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import QueueAccess
from dandelionknot.entry._ends import end_attempt, end_queued
from dandelionknot.entry._fleet_view import is_fresh
from dandelionknot.entry._host_health import choose_probe
from dandelionknot.entry._inherited import SETTLE_GRACE_MS
from dandelionknot.entry._ownership import outage_view
from dandelionknot.entry._queues import enqueue, is_held_back, observe, retry_budget
from dandelionknot.entry._requests import (
    NO_HOSTS,
    OPEN_QUEUE_TEAM,
    RequestEntry,
    needs_owner,
)
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AttemptEnd,
    AttemptEnded,
    ErrorCode,
    RequestMode,
    RequestPhase,
    StartCheck,
    StartOrder,
    StopOrder,
    TaskStart,
)
from dandelionknot.metrics import Counter, Measure

IDEMPOTENT_SETTLE_MS = 1000
NO_CHECK_YET_MS = -1


def _is_open(state: DispatcherState, service_id: str) -> bool:
    service = state.configuration.services_by_id.get(service_id)
    return service is not None and service.access is QueueAccess.OPEN


def may_start(state: DispatcherState, service_id: str, own_zone: bool) -> bool:
    """Tells whether work of a service may start on this configuration now."""
    if state.excluded:
        return False
    started = decisions.freshness.may_start(
        state.freshness,
        state.configuration.bounds,
        _is_open(state, service_id),
        own_zone,
        now_ms(),
    )
    return started.is_ok()


def _may_start_any(
    state: DispatcherState, service_id: str, own_zone_only: bool
) -> bool:
    """Tells whether any work of a service may start; whoever is fresh may."""
    if state.excluded:
        return False
    return not own_zone_only or may_start(state, service_id, own_zone_only)


def start_queued(state: DispatcherState, service_id: str) -> None:
    """Starts queued requests of a service while hosts have free slots."""
    queues = state.queues_by_service.get(service_id)
    if queues is None or state.routing is None or not queues.requests_by_id:
        return
    now = now_ms()
    own_zone_only = not is_fresh(state, now)
    if not _may_start_any(state, service_id, own_zone_only):
        return
    shares = {
        team_id: team.share for team_id, team in state.configuration.teams_by_id.items()
    }
    running = _running_by_team(state)

    def can_start(team_id: str) -> bool:
        if team_id == OPEN_QUEUE_TEAM:
            return True
        grant = state.grants.teams_by_id.get(team_id)
        return grant is not None and decisions.limits.may_start(grant)

    while not queues.requests_by_id or _has_room(state, service_id, own_zone_only):
        item = decisions.queueing.next_request(queues, running, shares, can_start, now)
        if item is None:
            return
        entry = state.requests.by_id[item.request_id]
        if not _keeps_key(state, entry):
            text = 'the key was withdrawn while the request waited'
            end_queued(state, entry, ErrorCode.KEY_NOT_VALID, text)
            continue
        if is_held_back(state, entry):
            continue
        if not _start(state, entry, own_zone_only):
            return
        running[item.team_id] = running.get(item.team_id, 0) + 1


def _running_by_team(state: DispatcherState) -> dict[str, int]:
    return {
        team_id: grant.running for team_id, grant in state.grants.teams_by_id.items()
    } | {OPEN_QUEUE_TEAM: state.open_running}


def _has_room(state: DispatcherState, service_id: str, own_zone_only: bool) -> bool:
    assert state.routing is not None
    chosen = decisions.routing.choose(
        state.routing,
        service_id,
        (0.0, 0.0, 0.0),
        now_ms(),
        own_zone_only=own_zone_only,
    )
    return isinstance(chosen, Ok)


def _random_numbers(state: DispatcherState) -> list[float]:
    random = state.context.random
    return [random() for _ in range(decisions.routing.RANDOM_NUMBERS_PER_CHOICE)]


def _start(state: DispatcherState, entry: RequestEntry, own_zone_only: bool) -> bool:
    """Chooses a host and begins an attempt; an entry that cannot start waits."""
    assert state.routing is not None
    probed = choose_probe(state, entry)
    if probed is not None and _count_start(state, entry):
        _begin_attempt(state, entry, probed)
        return True
    size = decisions.routing.TaskSize(entry.body.cores, entry.body.memory_mb)
    chosen = decisions.routing.choose(
        state.routing,
        entry.body.service,
        _random_numbers(state),
        now_ms(),
        entry.failed_hosts,
        size,
        own_zone_only,
    )
    if isinstance(chosen, Err) and entry.failed_hosts:
        entry.failed_hosts = NO_HOSTS
    if isinstance(chosen, Err):
        enqueue(state, entry)
        return False
    if not _count_start(state, entry):
        enqueue(state, entry)
        return False
    _begin_attempt(state, entry, chosen.ok_value)
    return True


def _count_start(state: DispatcherState, entry: RequestEntry) -> bool:
    if entry.team_id is None:
        state.open_running += 1
    elif isinstance(decisions.limits.try_start(state.grants, entry.team_id), Err):
        return False
    entry.holds_grant = True
    return True


def _begin_attempt(
    state: DispatcherState, entry: RequestEntry, choice: decisions.routing.HostChoice
) -> None:
    assert state.routing is not None
    entry.attempt += 1
    entry.task_id = decisions.outcomes.new_task_id(
        entry.request_id, entry.attempt, os.urandom(decisions.outcomes.NONCE_BYTES)
    )
    entry.host_id = choice.host_id
    entry.pool_epoch = choice.pool_epoch
    entry.hosts_by_task[entry.task_id] = choice.host_id
    entry.phase = RequestPhase.RUNNING
    decisions.routing.host_started(state.routing, choice.host_id)
    if not needs_owner(entry.body):
        _order_start(state, entry)
        return
    recorded = decisions.claims.record_start(
        state.claims, entry.request_id, entry.task_id, choice.host_id
    )
    if isinstance(recorded, Err):
        _attempt_failed_here(state, entry, f'claim refused: {recorded.err_value}')
        return
    state.waiting_for_claim.add(entry.request_id)
    start_claimed(state)


def _attempt_failed_here(
    state: DispatcherState, entry: RequestEntry, message: str
) -> None:
    attempt_ended(
        state,
        AttemptEnded(
            request_id=entry.request_id,
            attempt=entry.attempt,
            host_id=entry.host_id or '',
            end=AttemptEnd.NOT_SENT,
            message=message,
        ),
    )


def start_claimed(state: DispatcherState) -> None:
    """Sends the starts whose claims are written, or need not be in an outage."""
    if not state.waiting_for_claim:
        return
    in_outage = _decides_in_memory(state)
    for request_id in list(state.waiting_for_claim):
        entry = state.requests.by_id.get(request_id)
        if entry is None or entry.phase is not RequestPhase.RUNNING:
            state.waiting_for_claim.discard(request_id)
            continue
        if now_ms() >= entry.deadline_at_ms or entry.cancel_requested:
            state.waiting_for_claim.discard(request_id)
            _attempt_failed_here(state, entry, 'the claim was not written in time')
            continue
        if entry.is_kept and decisions.claims.is_claim_withdrawn(
            state.claims, request_id, entry.task_id
        ):
            state.waiting_for_claim.discard(request_id)
            _attempt_failed_here(state, entry, 'the request id changed its owner')
            continue
        from_memory = in_outage and entry.body.mode is RequestMode.WAIT
        if from_memory or decisions.claims.is_claim_written(
            state.claims, request_id, entry.task_id
        ):
            state.waiting_for_claim.discard(request_id)
            _order_start(state, entry)


def _decides_in_memory(state: DispatcherState) -> bool:
    return decisions.claims.may_decide_in_memory(
        state.claims, outage_view(state), now_ms()
    )


def _order_start(state: DispatcherState, entry: RequestEntry) -> None:
    now = now_ms()
    assert entry.host_id is not None
    entry.start_sent_ms = now
    owned = needs_owner(entry.body)
    settle_until_ms = entry.deadline_at_ms + SETTLE_GRACE_MS
    if entry.body.idempotent:
        settle_until_ms = min(settle_until_ms, now + IDEMPOTENT_SETTLE_MS)
    order = StartOrder(
        host_id=entry.host_id,
        task=TaskStart(
            task_id=entry.task_id,
            request_id=entry.request_id,
            attempt=entry.attempt,
            service=entry.body.service,
            team=entry.accounting_team,
            pool_epoch=entry.pool_epoch,
            start_token='',
            lease_ms=state.configuration.bounds.task_lease_ms,
            payload=entry.body.payload,
            cores=entry.body.cores,
            memory_mb=entry.body.memory_mb,
        ),
        deadline_at_ms=entry.deadline_at_ms,
        checked_at_ms=NO_CHECK_YET_MS if owned else now,
        settle_until_ms=settle_until_ms,
        sent_once=owned,
    )
    state.outboxes.links.send(order)
    state.context.metrics.count(Counter.STARTS)
    state.context.explain(
        Subject.REQUEST, entry.request_id, 'start sent', entry.host_id
    )
    if entry.attempt == 1:
        decisions.retries.deposit(retry_budget(state, entry.body.service))
        observe(state, entry, Measure.START_DELAY, now)


def check_start(state: DispatcherState, message: StartCheck) -> bool:
    """Tells whether a start is allowed now that a start token is held."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.cancel_requested or state.routing is None:
        return False
    load = state.routing.hosts_by_id.get(entry.host_id or '')
    if load is None or load.configured_reason is not None:
        return False
    own_zone = load.choice.availability_zone == state.own_zone
    if not may_start(state, entry.body.service, own_zone):
        return False
    if not _keeps_key(state, entry):
        return False
    if not needs_owner(entry.body):
        return True
    allowed = decisions.claims.may_send_start(
        state.claims, entry.request_id, entry.task_id, outage_view(state), now_ms()
    )
    return allowed.is_ok()


def _keeps_key(state: DispatcherState, entry: RequestEntry) -> bool:
    """Tells whether the key that came with a queued request is still given."""
    if entry.team_id is None:
        return True
    team = state.configuration.teams_by_id.get(entry.team_id)
    return team is not None and entry.key_id in team.keys_by_id


def stop_running(state: DispatcherState, entry: RequestEntry) -> None:
    """Asks the backend server to stop the current attempt."""
    if entry.host_id is not None:
        order = StopOrder(host_id=entry.host_id, task_id=entry.task_id)
        state.outboxes.links.send(order)


def attempt_ended(state: DispatcherState, message: AttemptEnded) -> None:
    """Ends an attempt and starts what waits for its slot."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        return
    end_attempt(state, entry, message)
    start_queued(state, entry.body.service)
