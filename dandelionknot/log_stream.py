"""Log handler that never blocks and bounds the volume of the log.

Lines of one event beyond its rate limit are dropped. Lines for which there is no
space, because the reader of the log is too slow, are dropped too. The number of
dropped lines of each event is logged as an event of its own.
"""

import logging
import os
import time
from collections import Counter, deque
from dataclasses import dataclass

# Rate limit of each event below level ERROR, and also the size of a burst.
MAX_EVENT_LINES_PER_S = 60
# Limit of the bytes buffered for a slow reader.
MAX_BACKLOG_BYTES = 256 * 1024
# Shortest time between two lines that count dropped lines.
SUMMARY_INTERVAL_S = 1.0


@dataclass(slots=True)
class _TokenBucket:
    """Rate limit of one event: a line takes a token, tokens refill with time."""

    tokens: float
    refilled_s: float


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int, summary_event: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._summary_event = summary_event
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._buckets_by_event: dict[int, _TokenBucket] = {}
        self.dropped_by_event: Counter[int] = Counter()
        self._summary_due_s = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops and counts it if its event exceeds the rate limit.

        Errors are exempt from the rate limit.
        """
        event = getattr(record, 'event', 0)
        now_s = time.monotonic()
        if record.levelno < logging.ERROR and not self._take_token(event, now_s):
            self.dropped_by_event[event] += 1
        else:
            self._append(self.format(record), event)
        self.flush_lines(now_s)

    def _take_token(self, event: int, now_s: float) -> bool:
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            bucket = _TokenBucket(MAX_EVENT_LINES_PER_S, now_s)
            self._buckets_by_event[event] = bucket
        refill = (now_s - bucket.refilled_s) * MAX_EVENT_LINES_PER_S
        bucket.tokens = min(MAX_EVENT_LINES_PER_S, bucket.tokens + refill)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _append(self, line: str, event: int) -> None:
        data = line.encode() + b'\n'
        if self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES:
            self.dropped_by_event[event] += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def flush_lines(self, now_s: float) -> None:
        """Writes buffered lines until a write would block.

        A line with the counts of dropped lines is added first, if one is due.
        """
        if self.dropped_by_event and now_s >= self._summary_due_s:
            self._summary_due_s = now_s + SUMMARY_INTERVAL_S
            self._append_summary()
        while self._backlog:
            data = self._backlog.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._backlog.appendleft(data)
                return
            except OSError:
                # The reader has closed the log; the process continues without it.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog.appendleft(data[written:])
                return

    def _append_summary(self) -> None:
        counts = {str(event): n for event, n in self.dropped_by_event.items()}
        record = logging.LogRecord(
            'dandelionknot', logging.WARNING, '', 0, 'lines left out', None, None
        )
        record.event = self._summary_event
        record.lines_by_event = counts
        before = self._backlog_bytes
        self._append(self.format(record), self._summary_event)
        if self._backlog_bytes > before:
            self.dropped_by_event.clear()
