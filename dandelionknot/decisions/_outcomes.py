"""Derives the final answer to a request from the events of its attempts.

A refusal has the run state "not run" only if every attempt certainly did not run
and never will. Design section 5.5.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    Refusal,
    RequestPhase,
    RunState,
    StartRefusal,
    TaskReport,
    TaskState,
)

# Random bytes in a task id.
NONCE_BYTES = 6


@dataclass(frozen=True, slots=True, kw_only=True)
class StartNotSent:
    """The start was certainly not sent."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRefused:
    """The backend server answered the start with a typed refusal."""

    task_id: str
    refusal: StartRefusal


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLost:
    """The connection failed after the start may have been sent."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportReceived:
    """A report arrived, in answer to an order to stop the task if `answers_stop`.

    A stop order bars a task that has not started from starting later. A status
    query does not.
    """

    task_id: str
    report: TaskReport
    answers_stop: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportMalformed:
    """An answer arrived that does not conform to the schema."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLost:
    """The backend server no longer renews the lease of the task."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlinePassed:
    """The deadline passed; if `task_id` is None, before any start."""

    task_id: str | None = None
    start_sent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller cancelled the request; if `task_id` is None, before any start."""

    task_id: str | None = None
    start_sent: bool = False


AttemptEvent = (
    StartNotSent
    | StartRefused
    | ConnectionLost
    | ReportReceived
    | ReportMalformed
    | LeaseLost
    | DeadlinePassed
    | Cancelled
)


class AnswerMismatch(StrEnum):
    """Reason why a report is not the complete answer to an attempt."""

    OTHER_TASK = 'other_task'
    OTHER_ATTEMPT = 'other_attempt'
    RESULT_MISSING = 'result_missing'
    LENGTH = 'length'
    DIGEST = 'digest'


@dataclass(slots=True, kw_only=True)
class RequestState:
    """The attempts of one request, as host ids by task id.

    `is_authoritative` is False if another entry host may have run the same id,
    which only the slice owner can rule out. A refusal then has the run state
    "unknown".
    """

    request_id: str
    is_authoritative: bool = True
    hosts_by_task: dict[str, str] = field(default_factory=dict)


ENDED_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.EXPIRED}
)
STARTED_STATES = ENDED_STATES | {TaskState.RUNNING}


def new_task_id(request_id: str, attempt: int, random_bytes: bytes) -> str:
    """Returns a task id that names the request and the attempt.

    The random part keeps a later owner of the request from reusing the id of a
    task that a former owner has barred.
    """
    return f'{request_id}.{attempt}.{random_bytes[:NONCE_BYTES].hex()}'


def attempt_of(task_id: str) -> int | None:
    """Returns the attempt that a task id names, or None for another format."""
    parts = task_id.split('.')
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return int(parts[1])


def answer_matches(
    task_id: str, attempt: int, report: TaskReport
) -> Result[None, AnswerMismatch]:
    """Checks that a report is the complete answer to one attempt.

    The length is counted in UTF-8 bytes. A finished task needs a result with
    length and digest, and every result that is present is checked. After a
    mismatch in the result the answer is read again over a new connection.
    """
    if report.task_id != task_id:
        return Err(AnswerMismatch.OTHER_TASK)
    if attempt_of(report.task_id) != attempt:
        return Err(AnswerMismatch.OTHER_ATTEMPT)
    if report.result is None:
        if report.state is TaskState.FINISHED or report.result_length:
            return Err(AnswerMismatch.RESULT_MISSING)
        return Ok(None)
    return _check_result(report.result, report)


def _check_result(result: str, report: TaskReport) -> Result[None, AnswerMismatch]:
    data = result.encode('utf-8', 'surrogatepass')
    if report.result_length != len(data):
        return Err(AnswerMismatch.LENGTH)
    if report.result_digest != hashlib.sha256(data).hexdigest():
        return Err(AnswerMismatch.DIGEST)
    return Ok(None)


def classify(event: AttemptEvent) -> RunState:
    """Returns the run state of an attempt as far as one event alone shows it."""
    match event:
        case StartNotSent() | StartRefused():
            return RunState.NOT_RUN
        case ReportReceived():
            return _classify_report(event)
        case DeadlinePassed(start_sent=False) | Cancelled(start_sent=False):
            return RunState.NOT_RUN
    return RunState.UNKNOWN


def _classify_report(event: ReportReceived) -> RunState:
    report = event.report
    if report.task_id != event.task_id:
        return RunState.UNKNOWN
    if report.state in STARTED_STATES:
        return RunState.RAN
    # A start that is still in transit can arrive after a status query.
    if report.refusal is not None or event.answers_stop:
        return RunState.NOT_RUN
    return RunState.UNKNOWN


def merge(known: RunState | None, event: AttemptEvent) -> RunState:
    """Returns the run state of an attempt after one more event.

    "Ran" never changes. "Unknown" changes only after a report that the task ran or
    was barred, since a refusal or a failed send may concern a second copy of the
    start. "Not run" becomes "unknown" after a lost connection, since a start that
    is sent again may run.
    """
    found = classify(event)
    if known is None or found is RunState.RAN:
        return found
    if known is RunState.NOT_RUN and isinstance(event, ConnectionLost):
        return RunState.UNKNOWN
    if known is RunState.UNKNOWN and _is_barred(event):
        return RunState.NOT_RUN
    return known


def _is_barred(event: AttemptEvent) -> bool:
    return (
        isinstance(event, ReportReceived)
        and event.answers_stop
        and classify(event) is RunState.NOT_RUN
    )


def run_state_of(request: RequestState, events: Iterable[AttemptEvent]) -> RunState:
    """Returns the run state of a request from all events of its attempts.

    Events of tasks that the request did not start are ignored.
    """
    known_by_task: dict[str, RunState] = {}
    for event in events:
        task_id = event.task_id
        if task_id is not None:
            known_by_task[task_id] = merge(known_by_task.get(task_id), event)
    # A task without any event may have been sent by now.
    states = {
        known_by_task.get(task_id, RunState.UNKNOWN)
        for task_id in request.hosts_by_task
    }
    if RunState.RAN in states:
        return RunState.RAN
    if RunState.UNKNOWN in states or not request.is_authoritative:
        return RunState.UNKNOWN
    return RunState.NOT_RUN


def decide_answer(
    request: RequestState, events: Sequence[AttemptEvent]
) -> AnswerBody | Refusal:
    """Returns the final answer to the caller of a request.

    A complete result takes precedence over every failure, even if it arrived after
    the deadline event. A failed task is reported as failed.
    """
    reports = [event for event in events if _is_complete(request, event)]
    for state in (TaskState.FINISHED, TaskState.FAILED):
        for event in reports:
            if isinstance(event, ReportReceived) and event.report.state is state:
                return _answer(request, event)
    run_state = run_state_of(request, events)
    code = _code_of(events, run_state)
    return Refusal(
        code=code,
        message=_MESSAGES[run_state],
        run_state=run_state,
        request_id=request.request_id,
    )


_MESSAGES = {
    RunState.NOT_RUN: 'the task was not run',
    RunState.RAN: 'the task was started, but its result is lost',
    RunState.UNKNOWN: 'it is not known whether the task was run',
}


def _is_complete(request: RequestState, event: AttemptEvent) -> bool:
    if not isinstance(event, ReportReceived):
        return False
    attempt = attempt_of(event.task_id)
    if event.task_id not in request.hosts_by_task or attempt is None:
        return False
    return answer_matches(event.task_id, attempt, event.report).is_ok()


def _answer(request: RequestState, event: ReportReceived) -> AnswerBody:
    is_finished = event.report.state is TaskState.FINISHED
    return AnswerBody(
        request_id=request.request_id,
        phase=RequestPhase.FINISHED if is_finished else RequestPhase.FAILED,
        run_state=RunState.RAN,
        result=event.report.result,
        host_id=request.hosts_by_task[event.task_id],
        attempts=len(request.hosts_by_task),
        error_code=None if is_finished else ErrorCode.TASK_FAILED,
        message=event.report.message,
    )


def _code_of(events: Sequence[AttemptEvent], run_state: RunState) -> ErrorCode:
    """Returns the error code, which depends on the last event and the run state."""
    last = events[-1] if events else None
    match last:
        case DeadlinePassed():
            return ErrorCode.DEADLINE_PASSED
        case Cancelled():
            return ErrorCode.CANCELLED
    if run_state is not RunState.NOT_RUN:
        return ErrorCode.OUTCOME_UNKNOWN
    match last:
        case StartRefused(refusal=StartRefusal.CANNOT_FIT):
            return ErrorCode.TASK_CANNOT_FIT
        case StartRefused(refusal=StartRefusal.MALFORMED):
            return ErrorCode.MALFORMED_REQUEST
    return ErrorCode.NO_HOST_AVAILABLE
