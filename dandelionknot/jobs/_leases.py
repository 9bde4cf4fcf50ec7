"""Computes when the lease under which a backend server runs its tasks expires.

A lease expires at a time on the backend server's own monotonic clock, which may be
slow. The local time of expiry is therefore computed as the latest possible one, from
the last reading of that clock.
"""

# Largest share by which a backend server's clock may be slow, from the platform's
# protocol.
CLOCK_SLOWNESS = 0.02
# Largest error of the difference between two clock readings, which are whole numbers.
READING_ERROR_MS = 2
# Added to the expiry time for the rounding of clock readings and the time that the
# backend server takes to kill its tasks.
EXPIRY_MARGIN_MS = 250
# Length of the lease that is requested, if the platform allows it. It outlasts a change
# of the leader, and limits how long the tasks of an unresponsive host wait.
TASK_LEASE_MS = 3500
# A leader that cannot reach the store continues to renew the leases of backend servers
# this long after its own lease has expired, so that tasks survive a store outage.
HOLD_GRACE_MS = 5000


class LeaseClock:
    """Last reading of a backend server's clock, and the lease that it was given."""

    __slots__ = ('_deadline_ms', '_read_at_ms', '_reading_ms', '_unread_expiry_ms')

    def __init__(self, now_ms: int, longest_ms: int):
        """Initializes the clock without a reading.

        `longest_ms` is the longest lease that the platform allows. A former leader may
        still renew the lease for a while. Its lease counts until the clock has been
        read and the lease has been extended.
        """
        self._reading_ms: int | None = None
        self._read_at_ms = now_ms
        self._deadline_ms = 0
        self._unread_expiry_ms = now_ms + max_former_lease_ms(longest_ms)

    def read(self, reading_ms: int, received_ms: int) -> None:
        """Records a clock reading from a response."""
        self._reading_ms = reading_ms
        self._read_at_ms = received_ms

    @property
    def known(self) -> bool:
        """Whether the clock has been read."""
        return self._reading_ms is not None

    def shows_restart(self, reading_ms: int, sent_ms: int) -> bool:
        """Whether a reading is from a later lifetime than the last one.

        `sent_ms` is the local time of the call that it answers. The clock of a later
        lifetime starts anew, so it is behind even a slow clock of the known one.
        """
        if self._reading_ms is None:
            return False
        elapsed_ms = sent_ms - self._read_at_ms
        slowest_ms = int(min(elapsed_ms, elapsed_ms * (1 - CLOCK_SLOWNESS)))
        return reading_ms < self._reading_ms + slowest_ms - READING_ERROR_MS

    def extend(self, now_ms: int, longest_ms: int) -> int:
        """Extends the lease and returns its deadline on the backend server's clock.

        The lease counts as extended from now on, since the call that extends it may
        arrive even if it is not answered.
        """
        reading = self._reading_ms or 0
        deadline = reading + (now_ms - self._read_at_ms) + longest_ms
        self._deadline_ms = max(self._deadline_ms, deadline)
        return self._deadline_ms

    def expiry_ms(self) -> int:
        """Returns the local time by which all tasks under the lease have ended."""
        if self._reading_ms is None:
            return self._unread_expiry_ms
        left = max(0, self._deadline_ms - self._reading_ms)
        expiry = self._read_at_ms + _on_slow_clock_ms(left) + EXPIRY_MARGIN_MS
        if self._deadline_ms:
            return expiry
        return max(expiry, self._unread_expiry_ms)


def task_lease_ms(longest_ms: int) -> int:
    """Returns the lease to request, given the longest that the platform allows."""
    return min(TASK_LEASE_MS, longest_ms - EXPIRY_MARGIN_MS)


def max_former_lease_ms(longest_ms: int) -> int:
    """Returns how long from now a lease given by a former leader may last.

    The former leader may continue to renew it for `HOLD_GRACE_MS`. It may also have
    reached a later lifetime than it knew.
    """
    lease_ms = task_lease_ms(longest_ms)
    renewed_ms = HOLD_GRACE_MS + _on_slow_clock_ms(lease_ms) + EXPIRY_MARGIN_MS
    return max(renewed_ms, max_later_lease_ms(longest_ms))


def max_later_lease_ms(longest_ms: int) -> int:
    """Returns how long a lease of a later lifetime than the known one may last.

    The deadlines in orders are on the clock of the known lifetime. They lie far in the
    future of a clock that has started anew, so the later lifetime shortens its lease to
    the longest one that the platform allows.
    """
    return _on_slow_clock_ms(longest_ms) + EXPIRY_MARGIN_MS


def _on_slow_clock_ms(duration_ms: int) -> int:
    """Returns the longest time that a slow clock may take to advance by a duration."""
    return int(duration_ms / (1 - CLOCK_SLOWNESS)) + 1
