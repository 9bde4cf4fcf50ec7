"""Weighted fair shares of the client accounts in what the pools can do.

The load that it answers is an account that submits many times what it usually does
while its pool is full: without shares, its jobs take the room of all others.

The share of an account is its weight, in jobs per second. What it submits beyond that
is divided into levels, each of which holds as many jobs per second as the share. If the
jobs of low levels are served first, room that some accounts don't use goes to the
others in proportion to their weights, as in max-min fairness: an account that submits
no more than its share has jobs of level 0 only, and those that submit more are served
up to the same level.

    >>> share = AccountShare()
    >>> [share.level(1000, 2.0) for _ in range(5)]
    [0, 0, 1, 1, 2]
    >>> share.level(1500, 2.0)
    0
"""

from dataclasses import dataclass, field

# Time within which an account may submit the jobs of its share all at once.
SHARE_WINDOW_MS = 1000
# Part of the mean interval between jobs by which one of an account with a small weight
# may come early. Without it, the random intervals of a weight of 1 cost an eighth of
# the share.
EARLY_SHARE = 0.5
# Highest level. An account that submits more than this many times its share has all
# further jobs in it.
MAX_LEVEL = 31
# Lowest weight that counts, in jobs per second.
MIN_WEIGHT = 0.001


@dataclass(slots=True)
class AccountShare:
    """The latest jobs of a client account, by level."""

    # For each level, the Unix time in ms up to which its jobs have used up the share.
    used_until_ms: list[float] = field(default_factory=list)

    def level(self, accepted_ms: int, weight: float) -> int:
        """Returns the level of a job and counts it; 0 is within the share.

        `accepted_ms` is the Unix time of its acceptance, so that a later leader finds
        the same level.
        """
        interval_ms = SHARE_WINDOW_MS / max(weight, MIN_WEIGHT)
        tolerance_ms = max(EARLY_SHARE * interval_ms, SHARE_WINDOW_MS - interval_ms)
        for level, used_until_ms in enumerate(self.used_until_ms):
            begin_ms = max(used_until_ms, accepted_ms)
            if begin_ms - accepted_ms <= tolerance_ms:
                self.used_until_ms[level] = begin_ms + interval_ms
                return level
        if len(self.used_until_ms) > MAX_LEVEL:
            return MAX_LEVEL
        self.used_until_ms.append(accepted_ms + interval_ms)
        return len(self.used_until_ms) - 1
