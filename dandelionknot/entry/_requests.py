"""State of the requests that an entry host has accepted, and their answers."""

import sys
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from dandelionknot import decisions
from dandelionknot._mailbox import Call
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    Refusal,
    RequestBody,
    RequestMode,
    RequestPhase,
    RunState,
)

# Team name of requests to services with an open queue, which need no API key.
OPEN_QUEUE_TEAM = 'open'
# Shared, since each call of frozenset() returns a new object of 216 bytes.
NO_HOSTS: frozenset[str] = frozenset()

END_PHASES = frozenset(
    {
        RequestPhase.FINISHED,
        RequestPhase.FAILED,
        RequestPhase.REFUSED,
        RequestPhase.CANCELLED,
        RequestPhase.UNKNOWN,
    }
)


@dataclass(slots=True)
class RequestEntry:
    """One request; the dispatcher is the only task that changes it.

    `deadline_at_ms` and `arrived_ms` are readings of the monotonic clock.
    `outcome` is set once, when the request ends. An ended request is retained for
    repeated submissions, without its payload and the events of its attempts.
    `is_kept` means that the request is stored on the platform. `storage_waiters` has
    the calls that wait until it has been stored.
    """

    body: RequestBody
    body_digest: str
    team_id: str | None
    key_id: str | None
    arrived_ms: int
    deadline_at_ms: int
    phase: RequestPhase = RequestPhase.QUEUED
    attempt: int = 0
    host_id: str | None = None
    pool_epoch: int = 0
    task_id: str = ''
    hosts_by_task: dict[str, str] = field(default_factory=dict)
    events: list[decisions.outcomes.AttemptEvent] = field(default_factory=list)
    failed_hosts: frozenset[str] = NO_HOSTS
    holds_grant: bool = False
    retry_at_ms: int = 0
    start_sent_ms: int = 0
    refusal: Refusal | None = None
    inherited: bool = False
    history: decisions.retries.AttemptHistory = field(init=False)
    cancel_requested: bool = False
    outcome: AnswerBody | Refusal | None = None
    ended_ms: int = 0
    waiters: list[Call] = field(default_factory=list)
    is_kept: bool = False
    storage_waiters: list[Call] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Creates the history of attempts."""
        self.history = decisions.retries.AttemptHistory(
            idempotent=self.body.idempotent, deadline_ms=self.deadline_at_ms
        )

    @property
    def request_id(self) -> str:
        """Id that the caller chose for the request."""
        return self.body.request_id

    @property
    def accounting_team(self) -> str:
        """Team name for queues, shares and metrics."""
        return self.team_id or OPEN_QUEUE_TEAM


@dataclass(slots=True)
class RequestTable:
    """All requests of an entry host by id, and the ended ones with the oldest first."""

    by_id: dict[str, RequestEntry] = field(default_factory=dict)
    ended_by_id: OrderedDict[str, None] = field(default_factory=OrderedDict)


def needs_owner(request: RequestBody) -> bool:
    """Returns whether only the owner of its id may handle a request."""
    return not request.idempotent or request.mode is RequestMode.ASYNC


def current_answer(entry: RequestEntry) -> AnswerBody | Refusal:
    """Returns the outcome of a request or, before its end, its phase."""
    if entry.outcome is not None:
        return entry.outcome
    queued = entry.phase is RequestPhase.QUEUED
    return AnswerBody(
        request_id=entry.request_id,
        phase=entry.phase,
        run_state=RunState.NOT_RUN if queued else RunState.UNKNOWN,
        host_id=entry.host_id,
        attempts=entry.attempt,
    )


def end_request(
    table: RequestTable,
    entry: RequestEntry,
    phase: RequestPhase,
    outcome: AnswerBody | Refusal,
    now_ms: int,
) -> None:
    """Ends a request with its outcome and answers every waiting call."""
    entry.phase = phase
    entry.outcome = outcome
    entry.ended_ms = now_ms
    table.ended_by_id[entry.request_id] = None
    for waiter in (*entry.waiters, *entry.storage_waiters):
        waiter.answer(outcome)
    entry.waiters.clear()
    entry.storage_waiters.clear()
    _drop_attempts(entry)


def _drop_attempts(entry: RequestEntry) -> None:
    """Drops data that only attempts need; repeated submissions need only the digest."""
    entry.body = replace(entry.body, service=sys.intern(entry.body.service), payload='')
    entry.events.clear()
    entry.hosts_by_task.clear()
    entry.failed_hosts = NO_HOSTS


def remove_request(table: RequestTable, request_id: str) -> None:
    """Removes a request from the table."""
    table.by_id.pop(request_id, None)
    table.ended_by_id.pop(request_id, None)


def remove_old_requests(table: RequestTable, before_ms: int, max_ended: int) -> None:
    """Removes requests that ended before a time, then the oldest beyond a count."""
    while table.ended_by_id:
        request_id = next(iter(table.ended_by_id))
        ended_ms = table.by_id[request_id].ended_ms
        if ended_ms >= before_ms and len(table.ended_by_id) <= max_ended:
            return
        remove_request(table, request_id)


def refusal_for(
    entry: RequestEntry,
    code: ErrorCode,
    message: str,
    run_state: RunState,
    retry_after_ms: int | None = None,
) -> Refusal:
    """Returns a refusal that names the request."""
    return Refusal(
        code=code,
        message=message,
        run_state=run_state,
        retry_after_ms=retry_after_ms,
        request_id=entry.request_id,
    )


def unfinished_count(table: RequestTable) -> int:
    """Returns how many requests have no outcome yet."""
    return len(table.by_id) - len(table.ended_by_id)
