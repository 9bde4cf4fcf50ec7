"""Whether and when a request is retried.

A request that is not idempotent is retried only if it is certain that no earlier
attempt ran. The number of retries of a service is limited to a fraction of its
first attempts, so that retries do not amplify an overload.
"""

from dataclasses import dataclass
from enum import StrEnum

from dandelionknot.messages import RunState, StartRefusal

DEFAULT_RETRY_FRACTION = 0.2
# Retries that the budget of a service has at the start, so that a service with few
# requests can still retry.
DEFAULT_INITIAL_RETRIES = 10
# Upper limit of accumulated unused retries. More would allow a long burst of retries
# after an hour with few failures.
MAX_UNUSED_RETRIES = 100
# The budget is counted in thousandths of a retry, since sums of floating-point
# fractions accumulate rounding errors.
UNITS_PER_RETRY = 1000
# Upper bound of the random delay after the first attempt; doubles with each attempt.
BASE_DELAY_MS = 20
# Limits the delay, since urgent requests must start within 1.1 s.
MAX_DELAY_MS = 500
# Number of hosts with a failed run after which the task is considered faulty.
BAD_TASK_HOSTS = 2
MAX_ATTEMPTS = 5

# Refusals that no other attempt can change.
FINAL_REFUSALS = frozenset({StartRefusal.CANNOT_FIT, StartRefusal.MALFORMED})


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    BAD_TASK = 'bad_task'
    CANNOT_RUN = 'cannot_run'
    BUDGET = 'budget'
    ATTEMPTS = 'attempts'


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryAfter:
    """Retry after a delay, if possible on a host that is not in `avoid`."""

    delay_ms: int
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Do not retry; answer the caller with what is known."""

    reason: GiveUpReason


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Retries that a service may still make, in thousandths."""

    fraction_units: int
    units: int
    first_attempts: int = 0
    retries: int = 0

    @classmethod
    def with_fraction(
        cls,
        fraction: float = DEFAULT_RETRY_FRACTION,
        initial_retries: int = DEFAULT_INITIAL_RETRIES,
    ) -> 'RetryBudget':
        """Returns a budget of `fraction` retries per first attempt.

        A fraction that is not a whole number of thousandths is rounded down.
        """
        return cls(
            fraction_units=int(fraction * UNITS_PER_RETRY),
            units=initial_retries * UNITS_PER_RETRY,
        )


@dataclass(slots=True, kw_only=True)
class AttemptHistory:
    """Results of the attempts of one request so far.

    `run_state` is that of all attempts together. `tried_hosts` are all hosts that
    were used. `failed_hosts` are those that ran the task and reported that it
    failed. A refusal or a lost connection does not count as a failure, since it says
    nothing about the task.
    """

    idempotent: bool
    deadline_ms: int
    attempts: int = 0
    run_state: RunState = RunState.NOT_RUN
    last_refusal: StartRefusal | None = None
    tried_hosts: frozenset[str] = frozenset()
    failed_hosts: frozenset[str] = frozenset()


def record_first_attempt(budget: RetryBudget) -> None:
    """Counts a first attempt and adds the service's retry fraction to the budget."""
    budget.first_attempts += 1
    limit = max(MAX_UNUSED_RETRIES * UNITS_PER_RETRY, budget.units)
    budget.units = min(budget.units + budget.fraction_units, limit)


def backoff_ms(attempt: int, random: float) -> int:
    """Returns the exponential back-off with full jitter after an attempt (1, 2, ...).

    `random` is a number from [0, 1). All delays from 0 up to the bound are equally
    likely, which spreads the retries of requests that failed at the same time.
    """
    bound_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** min(attempt - 1, 16))
    return int(random * bound_ms)


def next_attempt(
    budget: RetryBudget,
    history: AttemptHistory,
    *,
    now_ms: int,
    random: float,
    min_run_ms: int = 0,
) -> RetryAfter | GiveUp:
    """Decides whether to retry a request whose last attempt gave no answer.

    `min_run_ms` is the shortest time that an attempt of this service takes. A
    retry that cannot finish before the deadline is not made. Only a permitted
    retry is deducted from the budget.
    """
    reason = _reason_to_give_up(history)
    if reason is not None:
        return GiveUp(reason=reason)
    delay_ms = backoff_ms(history.attempts, random)
    if now_ms + delay_ms + min_run_ms >= history.deadline_ms:
        return GiveUp(reason=GiveUpReason.DEADLINE)
    if budget.units < UNITS_PER_RETRY:
        return GiveUp(reason=GiveUpReason.BUDGET)
    budget.units -= UNITS_PER_RETRY
    budget.retries += 1
    return RetryAfter(delay_ms=delay_ms, avoid=frozenset(history.tried_hosts))


def _reason_to_give_up(history: AttemptHistory) -> GiveUpReason | None:
    if not history.idempotent and history.run_state is not RunState.NOT_RUN:
        return GiveUpReason.MAY_HAVE_RUN
    if len(history.failed_hosts) >= BAD_TASK_HOSTS:
        return GiveUpReason.BAD_TASK
    if history.last_refusal in FINAL_REFUSALS:
        return GiveUpReason.CANNOT_RUN
    if history.attempts >= MAX_ATTEMPTS:
        return GiveUpReason.ATTEMPTS
    return None
