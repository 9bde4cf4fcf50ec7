"""Queues and retry budgets of the services, and grants of running attempts."""

from result import Err, Ok, Result

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.entry._requests import RequestEntry, refusal_for
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import ErrorCode, Refusal, RequestPhase, RunState
from dandelionknot.metrics import HistogramKey, Measure


def enqueue(state: DispatcherState, entry: RequestEntry) -> Result[None, Refusal]:
    """Puts a request into the queue of its service, or returns a refusal if it is full.

    A stored request is not refused but held back until the queue has room.
    """
    if is_held_back(state, entry):
        return Ok(None)
    service_id = entry.body.service
    state.grants_due = True
    queues = state.queues_by_service.get(service_id)
    if queues is None:
        service = state.configuration.services_by_id.get(service_id)
        if service is None:
            return Err(_service_not_found(entry))
        queues = decisions.queueing.TeamQueues(capacity=service.queue_limit)
        state.queues_by_service[service_id] = queues
    offered = decisions.queueing.offer(
        queues,
        decisions.queueing.QueuedRequest(
            request_id=entry.request_id,
            team_id=entry.accounting_team,
            priority=entry.body.priority,
            arrival_ms=entry.arrived_ms,
            deadline_ms=entry.deadline_at_ms,
        ),
    )
    if entry.is_kept and isinstance(offered, Err):
        state.work.held_back_ids[entry.request_id] = None
        return Ok(None)
    return offered


def _service_not_found(entry: RequestEntry) -> Refusal:
    """Returns the refusal of a request whose service no longer exists.

    Another owner may have accepted it while the service was configured.
    """
    return refusal_for(
        entry,
        ErrorCode.SERVICE_NOT_FOUND,
        f'service {entry.body.service!r} is no longer configured',
        RunState.NOT_RUN,
    )


def is_held_back(state: DispatcherState, entry: RequestEntry) -> bool:
    """Returns whether a stored request must not begin an attempt here now.

    Such a request is recorded as held back. In an outage of the platform its claim
    could not be written, and it would occupy a slot that other requests can use.
    """
    if not entry.is_kept:
        return False
    now = now_ms()
    read = state.freshness.platform_read
    bound_ms = state.configuration.bounds.freshness_bound_ms
    is_reached = read is not None and now - read.question_sent_ms < bound_ms
    if is_reached and decisions.claims.may_begin(
        state.claims, entry.request_id, now, is_stopping=state.stopping
    ):
        return False
    state.work.held_back_ids[entry.request_id] = None
    return True


def remove_queued(state: DispatcherState, entry: RequestEntry) -> None:
    """Removes a request from its queue."""
    queues = state.queues_by_service.get(entry.body.service)
    if queues is not None:
        decisions.queueing.cancel(queues, entry.request_id)


def retry_budget(
    state: DispatcherState, service_id: str
) -> decisions.retries.RetryBudget:
    """Returns the retry budget of a service, creating it at the first call."""
    budget = state.budgets_by_service.get(service_id)
    if budget is None:
        budget = decisions.retries.RetryBudget.with_fraction()
        state.budgets_by_service[service_id] = budget
    return budget


def queue_later(state: DispatcherState, entry: RequestEntry, delay_ms: int) -> bool:
    """Schedules a request to be queued again after a delay; always returns True."""
    entry.phase = RequestPhase.QUEUED
    state.waiting_to_retry[entry.request_id] = now_ms() + delay_ms
    return True


def observe_time_since_arrival(
    state: DispatcherState, entry: RequestEntry, measure: Measure, now: int
) -> None:
    """Adds the time since a request arrived to a histogram by team and priority."""
    key = HistogramKey(measure, entry.accounting_team, entry.body.priority)
    state.context.metrics.observe(key, now - entry.arrived_ms)


def release_grant(state: DispatcherState, entry: RequestEntry) -> None:
    """Returns the part of the team's grant that an ended attempt used."""
    if not entry.holds_grant:
        return
    entry.holds_grant = False
    if entry.team_id is None:
        state.open_running -= 1
    else:
        decisions.limits.finished(state.grants, entry.team_id)
        state.grants_due = True
