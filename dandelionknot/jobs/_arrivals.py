"""Estimates how many millicores the jobs that arrive now keep in use.

The running and waiting tasks of a pool show the demand of the past seconds. While the
arrival rate rises, the jobs that will have arrived until a host has been moved need
more than that. The estimate uses the arrivals of two windows: a short one that shows a
rise early, and a longer one with less random variation.
"""

from collections import deque
from dataclasses import dataclass, field

# Longest run time that counts. Hosts that are needed later can be moved later.
MAX_RUN_MS = 2500
# Windows over which arrivals are averaged.
WINDOWS_MS = (400, 1200)


@dataclass(slots=True, frozen=True)
class Arrival:
    """One accepted job: its client account and the work of all its tasks."""

    accepted_ms: int
    account: str
    # Millicores of each task times its estimated run time in ms, which counts up to
    # `MAX_RUN_MS`, summed up.
    work: float


@dataclass(slots=True)
class Arrivals:
    """Arrivals of the last seconds for each pool."""

    by_pool: dict[str, deque[Arrival]] = field(default_factory=dict)
    # Acceptance time of the first job; None before it.
    first_ms: int | None = None

    def record(self, pool: str, arrival: Arrival) -> None:
        """Adds an accepted job."""
        self.by_pool.setdefault(pool, deque()).append(arrival)
        if self.first_ms is None or arrival.accepted_ms < self.first_ms:
            self.first_ms = arrival.accepted_ms

    def millicores(
        self, pool: str, limits_by_account: dict[str, int], now_ms: int
    ) -> float:
        """Returns the millicores that arrivals at the current rate keep in use.

        `limits_by_account` holds the millicores that each client account may use; 0 is
        no limit.
        """
        arrivals = self.by_pool.get(pool)
        if arrivals is None:
            return 0.0
        while arrivals and arrivals[0].accepted_ms <= now_ms - max(WINDOWS_MS):
            arrivals.popleft()
        return max(
            _rate_in_window(arrivals, limits_by_account, now_ms, window_ms)
            for window_ms in WINDOWS_MS
        )


def _rate_in_window(
    arrivals: deque[Arrival],
    limits_by_account: dict[str, int],
    now_ms: int,
    window_ms: int,
) -> float:
    """Returns the lower rate of the two halves of a window.

    Jobs that arrive together once fall into one half, so they do not count as a rate.
    """
    halves: tuple[dict[str, float], dict[str, float]] = ({}, {})
    for arrival in arrivals:
        age_ms = now_ms - arrival.accepted_ms
        if age_ms < window_ms:
            half = halves[2 * age_ms >= window_ms]
            half[arrival.account] = half.get(arrival.account, 0.0) + arrival.work
    return min(_rate(half, limits_by_account, window_ms / 2) for half in halves)


def _rate(
    work_by_account: dict[str, float],
    limits_by_account: dict[str, int],
    duration_ms: float,
) -> float:
    total = 0.0
    for account, work in work_by_account.items():
        limit = limits_by_account.get(account, 0)
        millicores = work / duration_ms
        total += min(millicores, limit) if limit else millicores
    return total
