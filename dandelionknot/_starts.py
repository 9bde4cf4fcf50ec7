"""From the queue to a backend server and back: starts and ends of attempts."""

import os

from result import Err, Ok, Result

from dandelionknot import decisions
from dandelionknot._fleet_view import is_fresh
from dandelionknot._host_health import choose_probe, note_attempt
from dandelionknot._ownership import outage_view
from dandelionknot._requests import (
    NO_HOSTS,
    OPEN_QUEUE_TEAM,
    RequestEntry,
    end_request,
    refusal_for,
)
from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms
from dandelionknot.configuration import QueueAccess
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    AttemptEnd,
    AttemptEnded,
    ErrorCode,
    FollowOrder,
    Refusal,
    RequestMode,
    RequestPhase,
    RunState,
    StartCheck,
    StartOrder,
    StartRefusal,
    StopOrder,
    TaskStart,
    TaskState,
)
from dandelionknot.metrics import Counter, HistogramKey, Measure

SETTLE_GRACE_MS = 2000
IDEMPOTENT_SETTLE_MS = 1000
REFUSAL_WAIT_MS = 1000
NO_CHECK_YET_MS = -1
NOT_ALLOWED_DELAY_MS = 50
PASSING_REFUSALS = frozenset(
    {StartRefusal.BUSY, StartRefusal.DRAINING, StartRefusal.STALE_TOKEN}
)


def enqueue(state: DispatcherState, entry: RequestEntry) -> Result[None, Refusal]:
    """Puts a request into its service's queue, or refuses it if that is full."""
    service_id = entry.body.service
    queues = state.queues_by_service.get(service_id)
    if queues is None:
        service = state.configuration.services_by_id[service_id]
        queues = decisions.queueing.TeamQueues(capacity=service.queue_limit)
        state.queues_by_service[service_id] = queues
    return decisions.queueing.offer(
        queues,
        decisions.queueing.QueuedRequest(
            request_id=entry.request_id,
            team_id=entry.accounting_team,
            priority=entry.body.priority,
            arrival_ms=entry.arrived_ms,
            deadline_ms=entry.deadline_at_ms,
        ),
    )


def remove_queued(state: DispatcherState, entry: RequestEntry) -> None:
    """Takes a request out of its queue."""
    queues = state.queues_by_service.get(entry.body.service)
    if queues is not None:
        decisions.queueing.cancel(queues, entry.request_id)


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


def start_queued(state: DispatcherState, service_id: str) -> None:
    """Starts queued requests of a service while hosts have free slots."""
    queues = state.queues_by_service.get(service_id)
    if queues is None or state.routing is None or not queues.requests_by_id:
        return
    now = now_ms()
    own_zone_only = not is_fresh(state, now)
    # Whoever is fresh may start everything.
    if own_zone_only and not may_start(state, service_id, own_zone_only):
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
            _end_queued(state, entry, ErrorCode.KEY_NOT_VALID, text)
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


def _uncount_start(state: DispatcherState, entry: RequestEntry) -> None:
    if not entry.holds_grant:
        return
    entry.holds_grant = False
    if entry.team_id is None:
        state.open_running -= 1
    else:
        decisions.limits.finished(state.grants, entry.team_id)


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
    if not is_owned(entry):
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


def is_owned(entry: RequestEntry) -> bool:
    """Tells whether the claim table of the slice owner governs a request."""
    return not entry.body.idempotent or entry.body.mode is RequestMode.ASYNC


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
        if in_outage or decisions.claims.is_claim_written(
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
    owned = is_owned(entry)
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
        _observe(state, entry, Measure.START_DELAY, now)


def _observe(
    state: DispatcherState, entry: RequestEntry, measure: Measure, now: int
) -> None:
    key = HistogramKey(measure, entry.accounting_team, entry.body.priority)
    state.context.metrics.observe(key, now - entry.arrived_ms)


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
    if not is_owned(entry):
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


def _end_queued(
    state: DispatcherState, entry: RequestEntry, code: ErrorCode, message: str
) -> None:
    """Refuses a request that waits to start; an earlier attempt may have run."""
    run_states = {decisions.outcomes.classify(event) for event in entry.events}
    for run_state in (RunState.RAN, RunState.UNKNOWN):
        if run_state in run_states:
            refusal = refusal_for(entry, code, message, run_state)
            _finish(state, entry, refusal, RequestPhase.UNKNOWN)
            return
    end_not_run(state, entry, code, message)


def stop_running(state: DispatcherState, entry: RequestEntry) -> None:
    """Asks the backend server to stop the current attempt."""
    if entry.host_id is not None:
        order = StopOrder(host_id=entry.host_id, task_id=entry.task_id)
        state.outboxes.links.send(order)


def follow_inherited(
    state: DispatcherState, entry: RequestEntry, place: decisions.claims.TaskPlace
) -> None:
    """Asks a host about a task that a former owner may have started."""
    entry.phase = RequestPhase.RUNNING
    entry.attempt = decisions.outcomes.attempt_of(place.task_id) or 1
    entry.task_id = place.task_id
    entry.host_id = place.host_id
    entry.hosts_by_task[place.task_id] = place.host_id
    entry.inherited = True
    state.context.explain(
        Subject.REQUEST,
        entry.request_id,
        'asking about an earlier start',
        place.host_id,
    )
    state.outboxes.links.send(
        FollowOrder(
            host_id=place.host_id,
            task_id=place.task_id,
            request_id=entry.request_id,
            attempt=entry.attempt,
            until_ms=entry.deadline_at_ms,
        )
    )


def _event_of(
    entry: RequestEntry, message: AttemptEnded
) -> decisions.outcomes.AttemptEvent:
    task_id = entry.task_id
    report = message.report
    if message.end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_ALLOWED):
        return decisions.outcomes.StartNotSent(task_id=task_id)
    if report is None:
        if message.end is AttemptEnd.REFUSED:
            return decisions.outcomes.StartNotSent(task_id=task_id)
        return decisions.outcomes.ConnectionLost(task_id=task_id)
    if report.refusal is not None:
        return decisions.outcomes.StartRefused(task_id=task_id, refusal=report.refusal)
    answers_stop = message.end in (AttemptEnd.REFUSED, AttemptEnd.STOPPED)
    return decisions.outcomes.ReportReceived(
        task_id=task_id, report=report, answers_stop=answers_stop
    )


def attempt_ended(state: DispatcherState, message: AttemptEnded) -> None:
    """Turns the end of an attempt into an answer or another attempt."""
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.attempt != message.attempt or entry.outcome is not None:
        return
    if state.routing is not None and not entry.inherited:
        decisions.routing.host_finished(state.routing, message.host_id)
        _note_refusal(state, message)
    _uncount_start(state, entry)
    state.waiting_for_claim.discard(entry.request_id)
    event = _event_of(entry, message)
    entry.events.append(event)
    state.context.explain(
        Subject.REQUEST,
        entry.request_id,
        f'attempt {message.attempt} ended: {message.end}',
        message.message,
    )
    note_attempt(state, entry, message)
    run_state = decisions.outcomes.classify(event)
    if run_state is RunState.NOT_RUN and is_owned(entry):
        decisions.claims.attempt_not_run(state.claims, entry.request_id, entry.task_id)
    _decide(state, entry, message, run_state)
    start_queued(state, entry.body.service)


def _note_refusal(state: DispatcherState, message: AttemptEnded) -> None:
    report = message.report
    if report is not None and report.refusal is StartRefusal.BUSY:
        assert state.routing is not None
        decisions.routing.host_busy(state.routing, message.host_id, now_ms())


def _decide(
    state: DispatcherState,
    entry: RequestEntry,
    message: AttemptEnded,
    run_state: RunState,
) -> None:
    now = now_ms()
    answered = message.end is AttemptEnd.ANSWERED
    finished = answered and _is_finished(message)
    ended = entry.cancel_requested or now >= entry.deadline_at_ms
    if not finished and not ended and _retry(state, entry, message, run_state):
        return
    if ended and not answered:
        entry.events.append(_ending_event(entry, run_state))
    request = decisions.outcomes.RequestState(
        request_id=entry.request_id, hosts_by_task=entry.hosts_by_task
    )
    outcome = decisions.outcomes.decide_answer(request, entry.events)
    if isinstance(outcome, AnswerBody):
        _finish(state, entry, outcome, outcome.phase)
        state.context.metrics.count(Counter.ANSWERS)
        _observe(state, entry, Measure.ANSWER_TIME, now)
    elif outcome.run_state is RunState.NOT_RUN:
        end_not_run(state, entry, outcome.code, outcome.message)
    else:
        state.context.metrics.count(Counter.UNKNOWN_OUTCOMES)
        _finish(state, entry, outcome, RequestPhase.UNKNOWN)


def _retry(
    state: DispatcherState,
    entry: RequestEntry,
    message: AttemptEnded,
    run_state: RunState,
) -> bool:
    """Queues a request again if it may be repeated and the budget allows it.

    A server that was only full or draining costs no retry: nothing ran there,
    and the routing table leaves it out for a while. Nor does a start that this
    entry host did not allow, for instance in a moment without freshness.
    """
    if entry.inherited:
        return False
    report = message.report
    refusal = report.refusal if report is not None else None
    history = entry.history
    history.run_state = run_state
    history.last_refusal = refusal
    if message.end is AttemptEnd.NOT_ALLOWED:
        return _queue_later(state, entry, NOT_ALLOWED_DELAY_MS)
    history.tried_hosts |= {message.host_id}
    if refusal in PASSING_REFUSALS:
        entry.phase = RequestPhase.QUEUED
        return enqueue(state, entry).is_ok()
    history.attempts += 1
    if message.end is AttemptEnd.ANSWERED:
        history.failed_hosts |= {message.host_id}
    decision = decisions.retries.next_attempt(
        retry_budget(state, entry.body.service),
        history,
        now_ms=now_ms(),
        random=state.context.random(),
    )
    if isinstance(decision, decisions.retries.GiveUp):
        state.context.explain(
            Subject.REQUEST, entry.request_id, 'not tried again', decision.reason
        )
        return False
    entry.failed_hosts = decision.avoid
    state.context.metrics.count(Counter.RETRIES)
    return _queue_later(state, entry, decision.delay_ms)


def _queue_later(state: DispatcherState, entry: RequestEntry, delay_ms: int) -> bool:
    entry.phase = RequestPhase.QUEUED
    state.waiting_to_retry[entry.request_id] = now_ms() + delay_ms
    return True


def retry_budget(
    state: DispatcherState, service_id: str
) -> decisions.retries.RetryBudget:
    """Returns the retry budget of a service."""
    budget = state.budgets_by_service.get(service_id)
    if budget is None:
        budget = decisions.retries.RetryBudget.with_fraction()
        state.budgets_by_service[service_id] = budget
    return budget


def retry_waiting(state: DispatcherState, now: int) -> None:
    """Queues the requests again whose back-off has passed."""
    for request_id, retry_at_ms in list(state.waiting_to_retry.items()):
        if now < retry_at_ms:
            continue
        del state.waiting_to_retry[request_id]
        entry = state.requests.by_id.get(request_id)
        if entry is None or entry.outcome is not None:
            continue
        offered = enqueue(state, entry)
        if isinstance(offered, Err):
            refusal = offered.err_value
            _end_queued(state, entry, refusal.code, refusal.message)


def _is_finished(message: AttemptEnded) -> bool:
    report = message.report
    return report is not None and report.state is TaskState.FINISHED


def _ending_event(
    entry: RequestEntry, run_state: RunState
) -> decisions.outcomes.AttemptEvent:
    sent = run_state is not RunState.NOT_RUN
    if entry.cancel_requested:
        return decisions.outcomes.Cancelled(task_id=entry.task_id, start_sent=sent)
    return decisions.outcomes.DeadlinePassed(task_id=entry.task_id, start_sent=sent)


def _finish(
    state: DispatcherState,
    entry: RequestEntry,
    outcome: AnswerBody | Refusal,
    phase: RequestPhase,
) -> None:
    """Ends a request; the claim table keeps the answer of an owned one."""
    if is_owned(entry):
        answer = _answer_to_keep(entry, outcome, phase)
        decisions.claims.finish(state.claims, entry.request_id, answer)
    end_request(state.requests, entry, phase, outcome, now_ms())


def _answer_to_keep(
    entry: RequestEntry, outcome: AnswerBody | Refusal, phase: RequestPhase
) -> AnswerBody:
    if isinstance(outcome, AnswerBody):
        return outcome
    return AnswerBody(
        request_id=entry.request_id,
        phase=phase,
        run_state=outcome.run_state,
        host_id=entry.host_id,
        attempts=entry.attempt,
        error_code=outcome.code,
        message=outcome.message,
    )


def end_not_run(
    state: DispatcherState,
    entry: RequestEntry,
    code: ErrorCode,
    message: str,
    retry_after_ms: int | None = None,
) -> None:
    """Refuses a request that has not run and never will.

    For an owned request the closing of its id is written first, so that a
    resend on its way cannot run after the caller was told "not run".
    """
    phase = (
        RequestPhase.CANCELLED if code is ErrorCode.CANCELLED else RequestPhase.REFUSED
    )
    entry.phase = phase
    refusal = refusal_for(entry, code, message, RunState.NOT_RUN, retry_after_ms)
    if not is_owned(entry):
        end_request(state.requests, entry, phase, refusal, now_ms())
        return
    closing = AnswerBody(
        request_id=entry.request_id,
        phase=phase,
        run_state=RunState.NOT_RUN,
        attempts=entry.attempt,
        error_code=code,
        message=message,
    )
    entry.refusal = refusal
    if not decisions.claims.finish(state.claims, entry.request_id, closing):
        _refuse_unknown(state, entry)
        return
    state.waiting_to_refuse[entry.request_id] = now_ms() + REFUSAL_WAIT_MS
    answer_refused(state)


def answer_refused(state: DispatcherState) -> None:
    """Answers refusals whose closing is written, or that cannot wait longer."""
    now = now_ms()
    for request_id, until_ms in list(state.waiting_to_refuse.items()):
        entry = state.requests.by_id.get(request_id)
        if entry is None or entry.refusal is None:
            del state.waiting_to_refuse[request_id]
        elif decisions.claims.may_answer(
            state.claims, request_id, outage_view(state), now
        ):
            del state.waiting_to_refuse[request_id]
            end_request(state.requests, entry, entry.phase, entry.refusal, now)
        elif now >= until_ms:
            del state.waiting_to_refuse[request_id]
            _refuse_unknown(state, entry)


def _refuse_unknown(state: DispatcherState, entry: RequestEntry) -> None:
    assert entry.refusal is not None
    refusal = refusal_for(
        entry,
        entry.refusal.code,
        f'{entry.refusal.message}; send the same request again to ask',
        RunState.UNKNOWN,
        entry.refusal.retry_after_ms,
    )
    end_request(state.requests, entry, entry.phase, refusal, now_ms())


def expire_queued(state: DispatcherState, now: int) -> None:
    """Refuses queued requests whose deadline has passed."""
    for queues in state.queues_by_service.values():
        for item in decisions.queueing.expire(queues, now):
            entry = state.requests.by_id[item.request_id]
            _end_queued(
                state,
                entry,
                ErrorCode.DEADLINE_PASSED,
                'the deadline passed before the request could start',
            )
