"""Divides the hosts of a fleet among its pools.

If there are enough hosts, each pool gets what it needs. Otherwise, hosts go to the
jobs that can still end in time, in all pools, before any go to a surge that is about to
begin, and to that before any go to jobs that will end late.

    >>> divide(10, {'desk': PoolNeed(in_time=6), 'night': PoolNeed(in_time=2, late=20)})
    {'desk': 6, 'night': 4}
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PoolNeed:
    """Hosts that a pool can use now, by what they are for."""

    # Hosts for jobs that can end in time, and for long-running ones.
    in_time: int = 0
    # Further hosts for jobs of a surge that is about to begin.
    predicted: int = 0
    # Further hosts for jobs that will end late, but early enough to be of use.
    late: int = 0
    # Hosts that the pool gets first, so that no pool is left without any.
    minimum: int = 0
    # Hosts, of those for jobs in time, for tasks that no host has room for now.
    unplaced: int = 0

    def all(self) -> int:
        """Returns all hosts that the pool can use."""
        return self.in_time + self.predicted + self.late


def divide(total: int, needs_by_pool: dict[str, PoolNeed]) -> dict[str, int]:
    """Returns how many of `total` hosts each pool gets.

    The needs are met level by level: the minimum of each pool, its jobs in time, those
    that are predicted, its late jobs. A level that cannot be met whole is met in each
    pool by the same share.
    """
    granted = dict.fromkeys(needs_by_pool, 0)
    levels: tuple[Callable[[PoolNeed], int], ...] = (
        lambda need: min(need.minimum, need.all()),
        lambda need: need.in_time,
        lambda need: need.in_time + need.predicted,
        lambda need: need.all(),
    )
    for level in levels:
        missing_by_pool = {
            pool: max(0, level(need) - granted[pool])
            for pool, need in needs_by_pool.items()
        }
        left = max(0, total - sum(granted.values()))
        for pool, count in _same_share(left, missing_by_pool).items():
            granted[pool] += count
    return granted


def _same_share(total: int, wanted_by_pool: dict[str, int]) -> dict[str, int]:
    """Divides a number by the same share for each pool, rounded to whole hosts."""
    wanted = sum(wanted_by_pool.values())
    if wanted <= total:
        return wanted_by_pool
    exact = {pool: total * count / wanted for pool, count in wanted_by_pool.items()}
    shares = {pool: int(share) for pool, share in exact.items()}
    by_remainder = sorted(exact, key=lambda pool: shares[pool] - exact[pool])
    for pool in by_remainder[: total - sum(shares.values())]:
        shares[pool] += 1
    return shares
