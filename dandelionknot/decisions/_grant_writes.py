"""Rate limit and order of a holder's writes of grant records.

Each holder has a part of the fleet's budget of writes.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

WRITE_BURST_MS = 1000
"""Time over which unused writes accumulate for a burst."""


@dataclass(slots=True)
class WriteAllowance:
    """Token bucket for the writes of one holder, refilled at its part of the budget."""

    writes: float = 1.0
    refilled_ms: int = 0


def refill(allowance: WriteAllowance, writes_per_second: float, now_ms: int) -> None:
    """Adds the writes allowed since the last refill, up to one burst.

    The burst is at least one write.
    """
    since_ms = min(now_ms - allowance.refilled_ms, WRITE_BURST_MS)
    most = max(1.0, writes_per_second * WRITE_BURST_MS / 1000)
    added = writes_per_second * since_ms / 1000
    allowance.writes = min(most, allowance.writes + added)
    allowance.refilled_ms = now_ms


def initial_last_written(team_ids: Sequence[str], member_id: str) -> str:
    """Returns the team after which a holder starts its cyclic writing order.

    If all holders began with the same team, they would write its record at the same
    time, and all but one of these writes would fail.
    """
    digest = hashlib.sha256(member_id.encode()).digest()
    ordered = sorted(team_ids)
    return ordered[int.from_bytes(digest[:4]) % len(ordered)] if ordered else ''


def writing_order(team_ids: Iterable[str], last_written: str) -> list[str]:
    """Returns the teams in cyclic order, starting after `last_written`.

    So the record of every team is written in turn.
    """
    return sorted(team_ids, key=lambda team_id: (team_id <= last_written, team_id))


def may_write(allowance: WriteAllowance) -> bool:
    """Returns whether the allowance permits another write."""
    return allowance.writes >= 1


def count_write(allowance: WriteAllowance) -> None:
    """Subtracts one write from the allowance."""
    allowance.writes -= 1
