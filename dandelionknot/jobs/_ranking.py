"""Ranks jobs: decides which go first if there is not enough room for all."""

from __future__ import annotations

from dandelionknot.jobs._records import critical_path_ms
from dandelionknot.jobs._state import JobState

# A job is no longer useful if it ends later than this multiple of its objective,
# counted from its acceptance.
MAX_OBJECTIVE_MULTIPLE = 3
# Time window in which the accepted jobs of a client account are counted.
SHARE_WINDOW_MS = 1000
# Tiers of jobs. Of the jobs of equal priority, those of the lowest tier are started
# first.
IN_TIME, BEYOND_SHARE, LATE, NO_LONGER_USEFUL = range(4)


def record_share(state: JobState) -> None:
    """Records whether a job exceeds the share of its client account.

    The share of an account is its weight, in jobs per second. A job that exceeds the
    share of its account ranks below all jobs that do not and can still end in time.
    Only accounts with a limit have a share.
    """
    account, accepted = state.account, state.job.accepted_unix_ms
    recent = account.recent_unix_ms
    while recent and recent[0] <= accepted - SHARE_WINDOW_MS:
        recent.popleft()
    recent.append(accepted)
    limited = bool(account.limit.cpu_millicores or account.limit.memory_mb)
    state.beyond_share = limited and len(recent) > max(1.0, account.weight)


def rank(state: JobState, now_ms: int) -> tuple[int, int, int]:
    """Returns the sort key of a job; the job with the lowest key goes first.

    Jobs are sorted by the priority of their queue, then by tier, then by due time.
    """
    return state.queue.priority, tier(state, now_ms), state.due_ms


def tier(state: JobState, now_ms: int) -> int:
    """Returns the tier of a job, given when it would end if it were started now.

    Jobs whose first step is long-running are always in the first tier.
    """
    steps = state.job.spec.steps
    if steps and steps[0].long_running:
        return IN_TIME
    span = state.due_ms - state.accepted_ms
    end_ms = now_ms + remaining_ms(state)
    if end_ms > state.accepted_ms + MAX_OBJECTIVE_MULTIPLE * span:
        return NO_LONGER_USEFUL
    if end_ms > state.due_ms:
        return LATE
    return BEYOND_SHARE if state.beyond_share else IN_TIME


def remaining_ms(state: JobState) -> int:
    """Returns the estimated time of the critical path of the steps that are not done.

    For a job with several occurrences, only the steps of its latest open one count.
    """
    occurrences = state.steps_by_occurrence
    if not occurrences:
        return state.critical_path_ms
    steps = occurrences[max(occurrences)]
    return critical_path_ms(
        [step.spec for step in steps],
        [0 if step.done == len(step.tasks) else step.expected_ms for step in steps],
    )
