"""Predicts surges of demand that recur.

Some pools have their surges by turns, with a period that all of them share. The time
until a host has been moved is a large part of such a surge, so hosts are moved before
it begins. The period and the height of surges are learnt from the arrival rates. A
surge is predicted once, one period after the last one of its pool; if it does not come,
nothing further is predicted for the pool until the next one has been seen.
"""

from dataclasses import dataclass, field
from statistics import median

# A surge begins when the estimated demand exceeds this share of the highest one of the
# pool, and it has ended when the demand is below the second share of its own peak.
BEGIN_SHARE = 0.4
END_SHARE = 0.25
# While the demand of a beginning surge doubles, its begin is set anew, so that a little
# demand before it does not count as its begin.
GROWTH = 2.0
# Hosts are moved this long before a surge is predicted to begin: the platform moves
# a host in 1.5 s, and planning and registration take the rest.
LEAD_MS = 2200
# A prediction ends this long after its time if no surge has begun.
GRACE_MS = 1500
# Shortest and longest time between surges of a pool that counts as a period.
MIN_PERIOD_MS = 8000
MAX_PERIOD_MS = 90_000
# Largest difference of an interval from the median one, as a share of it.
TOLERANCE = 0.15
# Most surges that are kept for a pool.
MAX_KEPT = 4


@dataclass(slots=True)
class Surge:
    """One surge of a pool."""

    began_ms: int
    # Demand at its begin and at its peak, in millicores.
    begin_millicores: float
    peak_millicores: float
    ended: bool = False


@dataclass(slots=True)
class Turns:
    """Surges that were seen, from which the next ones are predicted."""

    surges_by_pool: dict[str, list[Surge]] = field(default_factory=dict)

    def observe(self, pool: str, millicores: float, now_ms: int) -> None:
        """Records the estimated demand of a pool."""
        surges = self.surges_by_pool.setdefault(pool, [])
        if surges and not surges[-1].ended:
            _continue_surge(surges[-1], millicores, now_ms)
            return
        highest = max((surge.peak_millicores for surge in surges), default=0.0)
        if millicores > BEGIN_SHARE * highest:
            surges.append(Surge(now_ms, millicores, millicores))
            del surges[:-MAX_KEPT]

    def predicted_millicores(self, pool: str, period_ms: int, now_ms: int) -> float:
        """Returns the demand of a surge that is about to begin, or 0.

        `period_ms` is the value of `period_ms()`, which is the same for all pools.
        """
        surges = self.surges_by_pool.get(pool)
        if not surges or not surges[-1].ended or not period_ms:
            return 0.0
        due_ms = surges[-1].began_ms + period_ms
        if due_ms - LEAD_MS <= now_ms < due_ms + GRACE_MS:
            return surges[-1].peak_millicores
        return 0.0

    def period_ms(self) -> int:
        """Returns the time between surges of a pool, or 0 if there is no regular one.

        The pools share the period, so one interval of any pool suffices. If several
        are known, most of them have to agree.
        """
        intervals = [
            later.began_ms - earlier.began_ms
            for surges in self.surges_by_pool.values()
            for earlier, later in zip(surges, surges[1:], strict=False)
        ]
        if not intervals:
            return 0
        middle = median(intervals)
        agreeing = [i for i in intervals if abs(i - middle) <= TOLERANCE * middle]
        if not MIN_PERIOD_MS <= middle <= MAX_PERIOD_MS:
            return 0
        return int(middle) if 2 * len(agreeing) > len(intervals) else 0


def _continue_surge(surge: Surge, millicores: float, now_ms: int) -> None:
    if millicores >= GROWTH * surge.begin_millicores:
        surge.began_ms, surge.begin_millicores = now_ms, millicores
    surge.peak_millicores = max(surge.peak_millicores, millicores)
    surge.ended = millicores < END_SHARE * surge.peak_millicores
