"""Monotonic clock and time of day in milliseconds."""

import time

MILLISECONDS_PER_SECOND = 1000
NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms() -> int:
    """Returns a monotonic time that also advances while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MILLISECOND


def unix_ms() -> int:
    """Returns milliseconds since the Unix epoch, for request ids and logs."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


def seconds(milliseconds: int | float) -> float:
    """Converts milliseconds to seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND
