"""Ranks jobs: decides which go first if there is not enough room for all."""

from __future__ import annotations

from dandelionknot.jobs._records import critical_path_ms
from dandelionknot.jobs._state import JobState

# A job is no longer useful if it ends later than this multiple of its objective,
# counted from its acceptance.
MAX_OBJECTIVE_MULTIPLE = 3
# Tiers of jobs. Of the jobs of equal priority, those of the lowest tier are started
# first.
IN_TIME, BEYOND_SHARE, LATE, NO_LONGER_USEFUL = range(4)


def record_share(state: JobState) -> None:
    """Records whether a job exceeds the share of its client account.

    The share of an account is its weight, in jobs per second. A job that exceeds the
    share of its account ranks below all jobs that do not and can still end in time: at
    all times if the account has a limit, else while its service has too little room.
    """
    account = state.account
    state.share_level = account.share.level(state.job.accepted_unix_ms, account.weight)
    limited = bool(account.limit.cpu_millicores or account.limit.memory_mb)
    state.beyond_share = limited and state.share_level > 0


def rank(
    state: JobState, now_ms: int, is_full: bool = False
) -> tuple[int, int, int, int]:
    """Returns the sort key of a job; the job with the lowest key goes first.

    Jobs are sorted by the priority of their queue, then by tier, then by due time. If
    the service of the job is full, those beyond the share of their client account are
    sorted by how far they are beyond it, before their due time.
    """
    priority, job_tier = state.queue.priority, tier(state, now_ms)
    if is_full and state.share_level and job_tier < LATE and not is_serving(state):
        return priority, BEYOND_SHARE, state.share_level, state.due_ms
    return priority, job_tier, 0, state.due_ms


def tier(state: JobState, now_ms: int) -> int:
    """Returns the tier of a job, given when it would end if it were started now.

    Jobs whose first step is long-running are always in the first tier.
    """
    if is_serving(state):
        return IN_TIME
    span = state.due_ms - state.accepted_ms
    end_ms = now_ms + remaining_ms(state)
    if end_ms > state.accepted_ms + MAX_OBJECTIVE_MULTIPLE * span:
        return NO_LONGER_USEFUL
    if end_ms > state.due_ms:
        return LATE
    return BEYOND_SHARE if state.beyond_share else IN_TIME


def is_serving(state: JobState) -> bool:
    """Whether the first step of a job is long-running, so that it has no due time."""
    steps = state.job.spec.steps
    return bool(steps) and steps[0].long_running


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
