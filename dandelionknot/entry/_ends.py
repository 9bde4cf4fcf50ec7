"""Ends of attempts: decides between an answer, a refusal and another attempt."""

from result import Err

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.entry._attempt_statistics import record_report, record_run_time
from dandelionknot.entry._host_health import record_attempt
from dandelionknot.entry._inherited import follow_next_inherited
from dandelionknot.entry._ownership import outage_view
from dandelionknot.entry._queues import (
    enqueue,
    observe_time_since_arrival,
    queue_later,
    release_grant,
    retry_budget,
)
from dandelionknot.entry._requests import (
    RequestEntry,
    end_request,
    needs_owner,
    refusal_for,
)
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    AttemptEnd,
    AttemptEnded,
    ErrorCode,
    Refusal,
    RequestPhase,
    RunState,
    StartRefusal,
    TaskState,
)
from dandelionknot.metrics import Counter, Measure

# Longest wait of a refusal until the closing of its request id is written. A closing
# is a claim without a task, which forbids later starts of the request.
MAX_CLOSING_WAIT_MS = 1000
# Delay before a start that this entry host did not allow is tried again.
NOT_ALLOWED_RETRY_MS = 50
# Refusals by a backend server that is full or draining, or that received a stale token.
TRANSIENT_REFUSALS = frozenset(
    {StartRefusal.BUSY, StartRefusal.DRAINING, StartRefusal.STALE_TOKEN}
)


def end_attempt(
    state: DispatcherState, entry: RequestEntry, message: AttemptEnded
) -> None:
    """Records the end of an attempt and answers the request or queues it again."""
    if entry.attempt != message.attempt or entry.outcome is not None:
        return
    if state.routing is not None and not entry.inherited:
        decisions.routing.host_finished(state.routing, message.host_id)
        record_report(state, message)
    release_grant(state, entry)
    state.waiting_for_claim.discard(entry.request_id)
    event = _event_of(entry, message)
    entry.events.append(event)
    state.context.explain(
        Subject.REQUEST,
        entry.request_id,
        f'attempt {message.attempt} ended: {message.end}',
        message.message,
    )
    record_attempt(state, entry, message)
    run_state = decisions.outcomes.classify(event)
    if run_state is RunState.NOT_RUN and needs_owner(entry.body):
        decisions.claims.attempt_not_run(state.claims, entry.request_id, entry.task_id)
    _decide(state, entry, message, run_state)


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


def _decide(
    state: DispatcherState,
    entry: RequestEntry,
    message: AttemptEnded,
    run_state: RunState,
) -> None:
    """Follows the next inherited task, retries the request or ends it."""
    now = now_ms()
    answered = message.end is AttemptEnd.ANSWERED
    finished = answered and _is_finished(message)
    must_end = entry.cancel_requested or now >= entry.deadline_at_ms
    must_follow = entry.inherited and entry.is_kept and not finished
    if must_follow and follow_next_inherited(state, entry, run_state):
        return
    if not finished and not must_end and _retry(state, entry, message, run_state):
        return
    if must_end and not answered:
        entry.events.append(_ending_event(entry, run_state))
    request = decisions.outcomes.RequestState(
        request_id=entry.request_id, hosts_by_task=entry.hosts_by_task
    )
    outcome = decisions.outcomes.decide_answer(request, entry.events)
    if isinstance(outcome, AnswerBody):
        _finish(state, entry, outcome, outcome.phase)
        state.context.metrics.count(Counter.ANSWERS)
        record_run_time(state, entry, now)
        observe_time_since_arrival(state, entry, Measure.ANSWER_TIME, now)
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

    A refusal of a server that is full or draining does not count as a retry:
    nothing ran there, and the routing table avoids the server for a while. A start
    that this entry host did not allow, for instance while it was not fresh, does
    not count either.
    """
    if entry.inherited:
        return False
    report = message.report
    refusal = report.refusal if report is not None else None
    history = entry.history
    history.run_state = run_state
    history.last_refusal = refusal
    if message.end is AttemptEnd.NOT_ALLOWED:
        return queue_later(state, entry, NOT_ALLOWED_RETRY_MS)
    history.tried_hosts |= {message.host_id}
    if refusal in TRANSIENT_REFUSALS:
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
    return queue_later(state, entry, decision.delay_ms)


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
    """Ends a request; if it needs an owner, the claim table records its answer."""
    if needs_owner(entry.body):
        answer = _answer_to_record(entry, outcome, phase)
        decisions.claims.finish(state.claims, entry.request_id, answer)
    end_request(state.requests, entry, phase, outcome, now_ms())


def _answer_to_record(
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


def end_queued(
    state: DispatcherState, entry: RequestEntry, code: ErrorCode, message: str
) -> None:
    """Refuses a queued request, of which an earlier attempt may have run."""
    run_states = {decisions.outcomes.classify(event) for event in entry.events}
    for run_state in (RunState.RAN, RunState.UNKNOWN):
        if run_state in run_states:
            refusal = refusal_for(entry, code, message, run_state)
            _finish(state, entry, refusal, RequestPhase.UNKNOWN)
            return
    end_not_run(state, entry, code, message)


def end_not_run(
    state: DispatcherState,
    entry: RequestEntry,
    code: ErrorCode,
    message: str,
    retry_after_ms: int | None = None,
) -> None:
    """Refuses a request that has not run and never will.

    If the request needs an owner, the closing of its id is written first.
    Otherwise a repeated submission in transit could run after the caller received
    "not run".
    """
    phase = (
        RequestPhase.CANCELLED if code is ErrorCode.CANCELLED else RequestPhase.REFUSED
    )
    entry.phase = phase
    refusal = refusal_for(entry, code, message, RunState.NOT_RUN, retry_after_ms)
    if not needs_owner(entry.body):
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
    state.waiting_to_refuse[entry.request_id] = now_ms() + MAX_CLOSING_WAIT_MS
    answer_refused(state)


def answer_refused(state: DispatcherState) -> None:
    """Sends the refusals whose closing is written or whose wait limit has passed."""
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
    """Ends a request with a refusal whose run state is "unknown".

    Without a written closing, the next owner of the id may still run it.
    """
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
    """Refuses queued requests that can no longer end by their deadline."""
    for queues in state.queues_by_service.values():
        for item in decisions.queueing.expire(queues, now):
            entry = state.requests.by_id[item.request_id]
            end_queued(
                state,
                entry,
                ErrorCode.DEADLINE_PASSED,
                'the request could not start in time to end by its deadline',
            )


def retry_waiting(state: DispatcherState, now: int) -> None:
    """Queues the requests whose back-off has passed."""
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
            end_queued(state, entry, refusal.code, refusal.message)
