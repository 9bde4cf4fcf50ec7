"""A log handler whose volume is bounded and that never blocks.

Lines of one event beyond its rate are left out and counted; lines that the
reader does not take in time are dropped and counted. The counts are written as
an event of their own, so that nothing is missing silently.
"""

import logging
import os
import time
from collections import Counter, deque
from dataclasses import dataclass

# Lines of one event in a second, and as many again at once after a quiet time.
LINES_PER_EVENT_S = 60
# Bytes kept for a reader that is behind.
BACKLOG_BYTES = 256 * 1024
# Pause between lines that tell what was left out.
SUMMARY_S = 1.0


@dataclass(slots=True)
class _Allowance:
    lines: float
    at_s: float


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int, summary_event: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._summary_event = summary_event
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._allowances_by_event: dict[int, _Allowance] = {}
        self.left_out_by_event: Counter[int] = Counter()
        self._summary_due_s = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record unless its event has used its allowance."""
        event = getattr(record, 'event', 0)
        now_s = time.monotonic()
        if record.levelno < logging.ERROR and not self._allowed(event, now_s):
            self.left_out_by_event[event] += 1
        else:
            self._append(self.format(record), event)
        self.flush_lines(now_s)

    def _allowed(self, event: int, now_s: float) -> bool:
        allowance = self._allowances_by_event.get(event)
        if allowance is None:
            allowance = _Allowance(LINES_PER_EVENT_S, now_s)
            self._allowances_by_event[event] = allowance
        gained = (now_s - allowance.at_s) * LINES_PER_EVENT_S
        allowance.lines = min(LINES_PER_EVENT_S, allowance.lines + gained)
        allowance.at_s = now_s
        if allowance.lines < 1:
            return False
        allowance.lines -= 1
        return True

    def _append(self, line: str, event: int) -> None:
        data = line.encode() + b'\n'
        if self._backlog_bytes + len(data) > BACKLOG_BYTES:
            self.left_out_by_event[event] += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def flush_lines(self, now_s: float) -> None:
        """Writes what the reader takes, and what was left out since."""
        if self.left_out_by_event and now_s >= self._summary_due_s:
            self._summary_due_s = now_s + SUMMARY_S
            self._append_summary()
        while self._backlog:
            data = self._backlog.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._backlog.appendleft(data)
                return
            except OSError:
                # Nobody reads the log any more; the process serves on.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog.appendleft(data[written:])
                return

    def _append_summary(self) -> None:
        counts = {str(event): n for event, n in self.left_out_by_event.items()}
        record = logging.LogRecord(
            'dandelionknot', logging.WARNING, '', 0, 'lines left out', None, None
        )
        record.event = self._summary_event
        record.lines_by_event = counts
        before = self._backlog_bytes
        self._append(self.format(record), self._summary_event)
        if self._backlog_bytes > before:
            self.left_out_by_event.clear()
