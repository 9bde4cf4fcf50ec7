"""From the queue to a backend server and back: starts and ends of attempts."""

from collections import deque

from dandelionknot._requests import RequestEntry, end_request, refusal_for
from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms
from dandelionknot.configuration import Host, HostState, ZoneState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AnswerBody,
    AttemptEnd,
    AttemptEnded,
    ErrorCode,
    RequestPhase,
    RunState,
    StartCheck,
    StartOrder,
    StopOrder,
    TaskReport,
    TaskStart,
    TaskState,
)
from dandelionknot.metrics import Counter, HistogramKey, Measure

SETTLE_GRACE_MS = 2000
IDEMPOTENT_SETTLE_MS = 1000


def enqueue(state: DispatcherState, entry: RequestEntry) -> None:
    """Puts a request at the end of its service's queue."""
    queue = state.queues_by_service.setdefault(entry.body.service, deque())
    queue.append(entry.request_id)


def remove_queued(state: DispatcherState, entry: RequestEntry) -> None:
    """Takes a request out of its queue."""
    queue = state.queues_by_service.get(entry.body.service, deque())
    if entry.request_id in queue:
        queue.remove(entry.request_id)


def start_queued(state: DispatcherState, service_id: str) -> None:
    """Starts queued requests of a service while hosts have free slots."""
    queue = state.queues_by_service.get(service_id)
    while queue:
        host_id = _choose_host(state, service_id)
        if host_id is None:
            return
        entry = state.requests.by_id[queue.popleft()]
        _order_start(state, entry, host_id)


def _choose_host(state: DispatcherState, service_id: str) -> str | None:
    service = state.configuration.services_by_id.get(service_id)
    if service is None:
        return None
    free = [
        (state.running_by_host.get(host_id, 0) / host.slots, host_id)
        for host_id, host in state.configuration.hosts_by_id.items()
        if host.pool == service.pool and _takes_work(state, host_id, host)
    ]
    return min(free)[1] if free else None


def _takes_work(state: DispatcherState, host_id: str, host: Host) -> bool:
    zone = state.configuration.availability_zones_by_id[host.availability_zone]
    return (
        host.state is HostState.ACTIVE
        and zone.state is ZoneState.IN_SERVICE
        and host_id not in state.silent_hosts
        and state.running_by_host.get(host_id, 0) < host.slots
    )


def _order_start(state: DispatcherState, entry: RequestEntry, host_id: str) -> None:
    now = now_ms()
    host = state.configuration.hosts_by_id[host_id]
    entry.attempt += 1
    entry.host_id = host_id
    entry.phase = RequestPhase.RUNNING
    state.running_by_host[host_id] = state.running_by_host.get(host_id, 0) + 1
    settle_ms = SETTLE_GRACE_MS
    settle_until_ms = entry.deadline_at_ms + settle_ms
    if entry.body.idempotent:
        settle_until_ms = min(settle_until_ms, now + IDEMPOTENT_SETTLE_MS)
    order = StartOrder(
        host_id=host_id,
        task=TaskStart(
            task_id=entry.task_id,
            request_id=entry.request_id,
            attempt=entry.attempt,
            service=entry.body.service,
            team=entry.accounting_team,
            pool_epoch=host.pool_epoch,
            start_token='',
            lease_ms=state.configuration.bounds.task_lease_ms,
            payload=entry.body.payload,
            cores=entry.body.cores,
            memory_mb=entry.body.memory_mb,
        ),
        deadline_at_ms=entry.deadline_at_ms,
        checked_at_ms=now,
        settle_until_ms=settle_until_ms,
    )
    state.outboxes.links.send(order)
    state.context.metrics.count(Counter.STARTS)
    state.context.explain(Subject.REQUEST, entry.request_id, 'start sent', host_id)
    if entry.attempt == 1:
        key = HistogramKey(
            Measure.START_DELAY, entry.accounting_team, entry.body.priority
        )
        state.context.metrics.observe(key, now - entry.arrived_ms)


def check_start(state: DispatcherState, message: StartCheck) -> bool:
    """Tells whether a start that waited for a token is still allowed."""
    entry = state.requests.by_id.get(message.request_id)
    return entry is not None and not entry.cancel_requested


def stop_running(state: DispatcherState, entry: RequestEntry) -> None:
    """Asks the backend server to stop the current attempt."""
    if entry.host_id is not None:
        order = StopOrder(host_id=entry.host_id, task_id=entry.task_id)
        state.outboxes.links.send(order)


def attempt_ended(state: DispatcherState, message: AttemptEnded) -> None:
    """Turns the end of an attempt into an answer or another attempt."""
    running = state.running_by_host.get(message.host_id, 0)
    state.running_by_host[message.host_id] = max(0, running - 1)
    entry = state.requests.by_id.get(message.request_id)
    if entry is None or entry.attempt != message.attempt:
        return
    _decide(state, entry, message)
    start_queued(state, entry.body.service)


def _decide(state: DispatcherState, entry: RequestEntry, message: AttemptEnded) -> None:
    now = now_ms()
    report = message.report
    if message.end is AttemptEnd.ANSWERED and report is not None:
        _answer(state, entry, report)
        return
    not_run = message.end in (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED)
    may_repeat = not_run or entry.body.idempotent
    if may_repeat and not entry.cancel_requested and now < entry.deadline_at_ms:
        entry.failed_hosts.add(message.host_id)
        entry.phase = RequestPhase.QUEUED
        enqueue(state, entry)
        state.context.metrics.count(Counter.RETRIES)
        state.context.explain(
            Subject.REQUEST, entry.request_id, 'attempt failed', message.message
        )
        return
    run_state = RunState.NOT_RUN if not_run else RunState.UNKNOWN
    if entry.cancel_requested:
        code, phase = ErrorCode.CANCELLED, RequestPhase.CANCELLED
    elif now >= entry.deadline_at_ms:
        code, phase = ErrorCode.DEADLINE_PASSED, RequestPhase.REFUSED
    else:
        code, phase = ErrorCode.OUTCOME_UNKNOWN, RequestPhase.UNKNOWN
    refusal = refusal_for(entry, code, f'attempt ended: {message.end}', run_state)
    end_request(state.requests, entry, phase, refusal, now)


def _answer(state: DispatcherState, entry: RequestEntry, report: TaskReport) -> None:
    now = now_ms()
    finished = report.state is TaskState.FINISHED
    answer = AnswerBody(
        request_id=entry.request_id,
        phase=RequestPhase.FINISHED if finished else RequestPhase.FAILED,
        run_state=RunState.RAN,
        result=report.result,
        host_id=entry.host_id,
        attempts=entry.attempt,
        error_code=None if finished else ErrorCode.TASK_FAILED,
        message=report.message,
    )
    end_request(state.requests, entry, answer.phase, answer, now)
    state.context.metrics.count(Counter.ANSWERS)
    state.context.explain(Subject.REQUEST, entry.request_id, 'answered', answer.phase)
    key = HistogramKey(Measure.ANSWER_TIME, entry.accounting_team, entry.body.priority)
    state.context.metrics.observe(key, now - entry.arrived_ms)


def expire_queued(state: DispatcherState, now: int) -> None:
    """Refuses queued requests whose deadline has passed."""
    for queue in state.queues_by_service.values():
        for request_id in list(queue):
            entry = state.requests.by_id[request_id]
            if now < entry.deadline_at_ms:
                continue
            queue.remove(request_id)
            refusal = refusal_for(
                entry,
                ErrorCode.DEADLINE_PASSED,
                'the deadline passed before the request could start',
                RunState.NOT_RUN,
            )
            end_request(state.requests, entry, RequestPhase.REFUSED, refusal, now)
