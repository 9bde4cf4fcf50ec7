"""Inherited tasks: those that a former owner of a request id may have started."""

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.entry._requests import RequestEntry, end_request
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import FollowOrder, RequestPhase, RunState

# Time after a deadline, or after a take-over, during which a host is still asked for
# a result.
RESOLVE_GRACE_MS = 2000


def follow_inherited(
    state: DispatcherState, entry: RequestEntry, place: decisions.claims.TaskPlace
) -> None:
    """Asks a host what became of a task that a former owner may have started."""
    entry.phase = RequestPhase.RUNNING
    entry.attempt = decisions.outcomes.attempt_of(place.task_id) or 1
    entry.task_id = place.task_id
    entry.host_id = place.host_id
    entry.hosts_by_task[place.task_id] = place.host_id
    entry.inherited = True
    state.context.explain(
        Subject.REQUEST,
        entry.request_id,
        'asking the host about a start by a former owner',
        place.host_id,
    )
    until_ms, settle_until_ms = _follow_time_limits(entry)
    state.outboxes.links.send(
        FollowOrder(
            host_id=place.host_id,
            task_id=place.task_id,
            request_id=entry.request_id,
            attempt=entry.attempt,
            until_ms=until_ms,
            settle_until_ms=settle_until_ms,
        )
    )


def _follow_time_limits(entry: RequestEntry) -> tuple[int, int]:
    """Returns when to stop an inherited task, and when to stop asking its host.

    The task of a stored request may have ended before a deadline that has passed, and
    its host still has the result, so the host is asked for at least
    `RESOLVE_GRACE_MS`. If the request is idempotent, the host is asked for that time
    only, since the request may run again if the host does not answer.
    """
    if not entry.is_kept:
        return entry.deadline_at_ms, entry.deadline_at_ms
    settle_until_ms = now_ms() + RESOLVE_GRACE_MS
    until_ms = max(entry.deadline_at_ms, settle_until_ms)
    return until_ms, settle_until_ms if entry.body.idempotent else until_ms


def follow_next_inherited(
    state: DispatcherState, entry: RequestEntry, run_state: RunState
) -> bool:
    """Continues a stored request after one of its inherited tasks has ended.

    Returns True if the host of another inherited task is asked, or if the request
    ended because a former owner had closed it. Returns False if the caller has to
    decide whether the request is retried or ended.
    """
    request_id = entry.request_id
    is_closed = decisions.claims.is_closed_in_log(state.claims, request_id)
    may_repeat = entry.body.idempotent and not is_closed
    if run_state is not RunState.NOT_RUN and not may_repeat:
        return False
    place = decisions.claims.resolve_inherited(state.claims, request_id)
    answer = decisions.claims.closing_answer(state.claims, request_id)
    if answer is not None:
        decisions.claims.may_answer(state.claims, request_id, None, now_ms())
        end_request(state.requests, entry, answer.phase, answer, now_ms())
        return True
    entry.inherited = place is not None
    if place is not None:
        follow_inherited(state, entry, place)
    return place is not None
