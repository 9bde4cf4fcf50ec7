"""Reads processor time and memory of processes, and fits a line with its error."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True, kw_only=True)
class FittedLine:
    """Least-squares line, with the largest distance of a point in the unit of y."""

    slope: float
    intercept: float
    largest_error: float
    points: int


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fits y = slope * x + intercept; the x values must not all be equal."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    error = max(abs(y - slope * x - intercept) for x, y in points)
    return FittedLine(
        slope=slope, intercept=intercept, largest_error=error, points=count
    )


def cpu_seconds(pid: int) -> float:
    """Returns user and system time of a process, to one clock tick (usually 10 ms)."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB, shared pages included."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise ValueError(
        f'/proc/{pid}/status has no VmRSS line: the process may have ended'
    )


def proportional_mb(pid: int) -> float:
    """Returns the proportional set size of a process in MB.

    Each shared page is divided by the number of processes that share it.
    """
    for line in Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines():
        if line.startswith('Pss:'):
            return int(line.split()[1]) / 1024
    raise ValueError(
        f'/proc/{pid}/smaps_rollup has no Pss line: the process may have ended'
    )
