"""Starts attempts: takes requests from the queues and sends them to backend servers."""

import os

from result import Err, Ok

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import QueueAccess
from dandelionknot.entry._ends import end_attempt, end_queued
from dandelionknot.entry._fleet_view import is_fresh
from dandelionknot.entry._host_health import choose_probe
from dandelionknot.entry._inherited import RESOLVE_GRACE_MS
from dandelionknot.entry._ownership import outage_view
from dandelionknot.entry._queues import (
    enqueue,
    is_held_back,
    observe_time_since_arrival,
    retry_budget,
)
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

# Time during which a backend server is asked about a start of an idempotent request
# whose answer was lost. It is short, since the request can run on another host.
IDEMPOTENT_RESOLVE_MS = 1000
# Earlier than the receipt of any start token, so that the backend link asks for a
# check before it sends the start.
NOT_CHECKED_MS = -1


def _has_open_access(state: DispatcherState, service_id: str) -> bool:
    service = state.configuration.services_by_id.get(service_id)
    return service is not None and service.access is QueueAccess.OPEN


def may_start(state: DispatcherState, service_id: str, own_zone: bool) -> bool:
    """Returns whether requests of a service may start in the current configuration."""
    if state.excluded:
        return False
    started = decisions.freshness.may_start(
        state.freshness,
        state.configuration.bounds,
        _has_open_access(state, service_id),
        own_zone,
        now_ms(),
    )
    return started.is_ok()


def _may_start_any(
    state: DispatcherState, service_id: str, own_zone_only: bool
) -> bool:
    """Returns whether any request may start.

    Only a member that is not fresh, which uses its own zone only, is checked further.
    """
    if state.excluded:
        return False
    return not own_zone_only or may_start(state, service_id, own_zone_only)


def start_queued(state: DispatcherState, service_id: str) -> None:
    """Starts queued requests of a service as long as hosts have free slots."""
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
        if not _has_valid_key(state, entry):
            text = 'the API key was withdrawn while the request was queued'
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
    """Chooses a host and begins an attempt, or queues the request again.

    Returns whether an attempt began. Hosts on which the request failed are avoided.
    If no other host is free, the next call may choose them again.
    """
    assert state.routing is not None
    probed = choose_probe(state, entry)
    if probed is not None and _acquire_grant(state, entry):
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
    if not _acquire_grant(state, entry):
        enqueue(state, entry)
        return False
    _begin_attempt(state, entry, chosen.ok_value)
    return True


def _acquire_grant(state: DispatcherState, entry: RequestEntry) -> bool:
    """Counts a start against the team's grant; returns False if the grant is used up.

    Requests without a team have no grant; only their number is counted.
    """
    if entry.team_id is None:
        state.open_running += 1
    elif isinstance(decisions.limits.try_start(state.grants, entry.team_id), Err):
        return False
    entry.holds_grant = True
    return True


def _begin_attempt(
    state: DispatcherState, entry: RequestEntry, choice: decisions.routing.HostChoice
) -> None:
    """Records a new attempt, then sends its start or waits for its claim."""
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
        _send_start(state, entry)
        return
    recorded = decisions.claims.record_start(
        state.claims, entry.request_id, entry.task_id, choice.host_id
    )
    if isinstance(recorded, Err):
        _end_unsent_attempt(
            state, entry, f'the claim of the start was refused: {recorded.err_value}'
        )
        return
    state.waiting_for_claim.add(entry.request_id)
    start_claimed(state)


def _end_unsent_attempt(
    state: DispatcherState, entry: RequestEntry, message: str
) -> None:
    handle_attempt_ended(
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
    """Sends the starts whose claims are written.

    In an outage of the platform, a request in mode WAIT starts without a written claim.
    """
    if not state.waiting_for_claim:
        return
    in_outage = _may_decide_in_memory(state)
    for request_id in list(state.waiting_for_claim):
        entry = state.requests.by_id.get(request_id)
        if entry is None or entry.phase is not RequestPhase.RUNNING:
            state.waiting_for_claim.discard(request_id)
            continue
        if now_ms() >= entry.deadline_at_ms or entry.cancel_requested:
            state.waiting_for_claim.discard(request_id)
            _end_unsent_attempt(
                state,
                entry,
                'cancelled or past its deadline before the claim was written',
            )
            continue
        if entry.is_kept and decisions.claims.is_claim_withdrawn(
            state.claims, request_id, entry.task_id
        ):
            state.waiting_for_claim.discard(request_id)
            _end_unsent_attempt(
                state,
                entry,
                'another entry host became owner of the request id before the start',
            )
            continue
        from_memory = in_outage and entry.body.mode is RequestMode.WAIT
        if from_memory or decisions.claims.is_claim_written(
            state.claims, request_id, entry.task_id
        ):
            state.waiting_for_claim.discard(request_id)
            _send_start(state, entry)


def _may_decide_in_memory(state: DispatcherState) -> bool:
    return decisions.claims.may_decide_in_memory(
        state.claims, outage_view(state), now_ms()
    )


def _send_start(state: DispatcherState, entry: RequestEntry) -> None:
    """Sends the start of the current attempt to the backend link of its host."""
    now = now_ms()
    assert entry.host_id is not None
    entry.start_sent_ms = now
    is_owner_needed = needs_owner(entry.body)
    settle_until_ms = entry.deadline_at_ms + RESOLVE_GRACE_MS
    if entry.body.idempotent:
        settle_until_ms = min(settle_until_ms, now + IDEMPOTENT_RESOLVE_MS)
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
        checked_at_ms=NOT_CHECKED_MS if is_owner_needed else now,
        settle_until_ms=settle_until_ms,
        sent_once=is_owner_needed,
    )
    state.outboxes.links.send(order)
    state.context.metrics.count(Counter.STARTS)
    state.context.explain(
        Subject.REQUEST, entry.request_id, 'start sent', entry.host_id
    )
    if entry.attempt == 1:
        decisions.retries.record_first_attempt(retry_budget(state, entry.body.service))
        observe_time_since_arrival(state, entry, Measure.START_DELAY, now)


def check_start(state: DispatcherState, message: StartCheck) -> bool:
    """Returns whether a start is still allowed after its start token was received."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.cancel_requested or state.routing is None:
        return False
    load = state.routing.hosts_by_id.get(entry.host_id or '')
    if load is None or load.configured_reason is not None:
        return False
    own_zone = load.choice.availability_zone == state.own_zone
    if not may_start(state, entry.body.service, own_zone):
        return False
    if not _has_valid_key(state, entry):
        return False
    if not needs_owner(entry.body):
        return True
    allowed = decisions.claims.may_send_start(
        state.claims, entry.request_id, entry.task_id, outage_view(state), now_ms()
    )
    return allowed.is_ok()


def _has_valid_key(state: DispatcherState, entry: RequestEntry) -> bool:
    """Returns whether the API key of a queued request is still configured."""
    if entry.team_id is None:
        return True
    team = state.configuration.teams_by_id.get(entry.team_id)
    return team is not None and entry.key_id in team.keys_by_id


def stop_running(state: DispatcherState, entry: RequestEntry) -> None:
    """Orders the backend server to stop the current attempt."""
    if entry.host_id is not None:
        order = StopOrder(host_id=entry.host_id, task_id=entry.task_id)
        state.outboxes.links.send(order)


def handle_attempt_ended(state: DispatcherState, message: AttemptEnded) -> None:
    """Ends an attempt and starts queued requests in the slot that it leaves."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None:
        return
    end_attempt(state, entry, message)
    start_queued(state, entry.body.service)
