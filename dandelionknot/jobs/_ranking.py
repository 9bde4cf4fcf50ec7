"""Which job goes first when not all of them find a place."""

from __future__ import annotations

from dandelionknot.jobs._records import chain_ms
from dandelionknot.jobs._state import JobState

# A job that ends later than this multiple of its objective is of no use any more.
USELESS_AFTER = 3
SHARE_WINDOW_MS = 1000
# Tiers, best first.
IN_TIME, BEYOND_SHARE, LATE, USELESS = range(4)


def note_share(state: JobState) -> None:
    """Notes whether a job is beyond what its client account may claim.

    The share of an account is its weight in jobs a second. What it sends beyond
    that uses only what the others leave.
    """
    account, accepted = state.account, state.job.accepted_unix_ms
    recent = account.recent_unix_ms
    while recent and recent[0] <= accepted - SHARE_WINDOW_MS:
        recent.popleft()
    recent.append(accepted)
    limited = bool(account.limit.cpu_millicores or account.limit.memory_mb)
    state.beyond_share = limited and len(recent) > max(1.0, account.weight)


def rank(state: JobState, now_ms: int) -> tuple[int, int, int]:
    """Sorts jobs: by priority, then by use to the caller, then by due time."""
    return state.queue.priority, tier(state, now_ms), state.due_ms


def tier(state: JobState, now_ms: int) -> int:
    """Returns how much use it still is to start the job now."""
    steps = state.job.spec.steps
    if steps and steps[0].long_running:
        return IN_TIME
    span = state.due_ms - state.accepted_ms
    end_ms = now_ms + remaining_ms(state)
    if end_ms > state.accepted_ms + USELESS_AFTER * span:
        return USELESS
    if end_ms > state.due_ms:
        return LATE
    return BEYOND_SHARE if state.beyond_share else IN_TIME


def remaining_ms(state: JobState) -> int:
    """Returns the estimated time of the longest chain of steps that are not done."""
    occurrences = state.steps_by_occurrence
    if not occurrences:
        return state.chain_ms
    steps = occurrences[max(occurrences)]
    return chain_ms(
        [step.spec for step in steps],
        frozenset(step.index for step in steps if step.done == len(step.tasks)),
    )
