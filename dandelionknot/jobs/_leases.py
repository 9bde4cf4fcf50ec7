"""Arithmetic on the lease under which a backend server runs its tasks.

A lease ends at a time on the backend server's own monotonic clock, which may be
slow. The end of a lease is therefore computed from the last reading of that
clock, on the safe side.
"""

# Source: the platform's protocol; a backend server's clock may be 2% slow.
CLOCK_SLOWNESS = 0.02
# Covers the rounding of clock readings and the time to kill the tasks.
LAPSE_MARGIN_MS = 250
# Lease that is asked for, if the platform allows it. It outlives a change of the
# leader, and bounds how long tasks of a silent host wait.
TASK_LEASE_MS = 3500
# A leader that cannot reach the store goes on extending leases for so long after
# its own lease, so that tasks outlive an outage of the store.
HOLD_GRACE_MS = 5000


class LeaseClock:
    """What is known of one backend server's clock and of the lease on it."""

    __slots__ = ('_deadline_ms', '_read_at_ms', '_reading_ms', '_unread_lapse_ms')

    def __init__(self, now_ms: int, longest_ms: int):
        """Starts without a reading.

        A former leader may still extend the lease for a while; `longest_ms` is the
        longest lease that the platform allows.
        """
        self._reading_ms: int | None = None
        self._read_at_ms = now_ms
        self._deadline_ms = 0
        self._unread_lapse_ms = now_ms + longest_lapse_ms(longest_ms)

    def read(self, reading_ms: int, received_ms: int) -> None:
        """Takes a clock reading from a response."""
        self._reading_ms = reading_ms
        self._read_at_ms = received_ms

    @property
    def known(self) -> bool:
        """Whether the clock has been read."""
        return self._reading_ms is not None

    def extend(self, now_ms: int, longest_ms: int) -> int:
        """Returns the deadline to send; the lease counts as extended from now on."""
        reading = self._reading_ms or 0
        deadline = reading + (now_ms - self._read_at_ms) + longest_ms
        self._deadline_ms = max(self._deadline_ms, deadline)
        return self._deadline_ms

    def expiry_ms(self) -> int:
        """Returns the local time by which everything under the lease has ended."""
        if self._reading_ms is None:
            return self._unread_lapse_ms
        left = max(0, self._deadline_ms - self._reading_ms)
        lapse = self._read_at_ms + _stretched(left) + LAPSE_MARGIN_MS
        if self._deadline_ms:
            return lapse
        return max(lapse, self._unread_lapse_ms)


def task_lease_ms(longest_ms: int) -> int:
    """Returns the lease to ask for, given the longest that the platform allows."""
    return min(TASK_LEASE_MS, longest_ms - LAPSE_MARGIN_MS)


def longest_lapse_ms(longest_ms: int) -> int:
    """Returns how long a lease may last that a former leader extends.

    The former leader may go on extending it for `HOLD_GRACE_MS`.
    """
    lease_ms = task_lease_ms(longest_ms)
    return HOLD_GRACE_MS + _stretched(lease_ms) + LAPSE_MARGIN_MS


def _stretched(duration_ms: int) -> int:
    return int(duration_ms / (1 - CLOCK_SLOWNESS)) + 1
