"""Non-blocking log handler with rate limits by event type and a bounded buffer.

The event type is the `event` number of a record. Lines of an event type beyond its
rate limit are dropped. Lines are also dropped when the buffer is full because the
reader of the log is too slow. A separate event type reports how many lines of each
event type were dropped.
"""

import logging
import os
import time
from collections import Counter, deque
from dataclasses import dataclass

# Lines per second allowed for each event type, and the largest burst. Lines of level
# ERROR and above are exempt.
MAX_EVENT_LINES_PER_S = 60
# Maximum size of the buffered lines that a slow reader has not read yet.
MAX_BACKLOG_BYTES = 256 * 1024
# Minimum interval between two summaries of the dropped lines.
SUMMARY_INTERVAL_S = 1.0


@dataclass(slots=True)
class _TokenBucket:
    """Rate limit of an event type: a line takes a token; tokens are added over time."""

    tokens: float
    refilled_at_s: float


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor and never waits for its reader."""

    def __init__(self, descriptor: int, summary_event_number: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._summary_event_number = summary_event_number
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._buckets_by_event: dict[int, _TokenBucket] = {}
        self.dropped_by_event: Counter[int] = Counter()
        self._summary_due_at_s = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a record and writes what can be written without blocking.

        The record is dropped and counted if its event exceeds the rate limit or the
        buffer is full. Errors are exempt from the rate limit.
        """
        # Records without an event number share the number 0.
        event_number = getattr(record, 'event', 0)
        now_s = time.monotonic()
        if record.levelno < logging.ERROR and not self._take_token(event_number, now_s):
            self.dropped_by_event[event_number] += 1
        else:
            self._buffer_or_drop(self.format(record), event_number)
        self.flush_lines(now_s)

    def _take_token(self, event_number: int, now_s: float) -> bool:
        bucket = self._buckets_by_event.get(event_number)
        if bucket is None:
            bucket = _TokenBucket(MAX_EVENT_LINES_PER_S, now_s)
            self._buckets_by_event[event_number] = bucket
        refill = (now_s - bucket.refilled_at_s) * MAX_EVENT_LINES_PER_S
        bucket.tokens = min(MAX_EVENT_LINES_PER_S, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _buffer_or_drop(self, line: str, event_number: int) -> None:
        data = line.encode() + b'\n'
        if self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES:
            self.dropped_by_event[event_number] += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def flush_lines(self, now_s: float) -> None:
        """Writes buffered lines until a write would block.

        If a summary of the dropped lines is due, it is buffered first.
        """
        if self.dropped_by_event and now_s >= self._summary_due_at_s:
            self._summary_due_at_s = now_s + SUMMARY_INTERVAL_S
            self._buffer_summary()
        while self._backlog:
            data = self._backlog.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._backlog.appendleft(data)
                return
            except OSError:
                # The reader has closed the log. The buffered lines are discarded and
                # not counted; the handler tries to write again with the next record.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog.appendleft(data[written:])
                return

    def _buffer_summary(self) -> None:
        counts = {str(number): count for number, count in self.dropped_by_event.items()}
        record = logging.LogRecord(
            'dandelionknot', logging.WARNING, '', 0, 'lines left out', None, None
        )
        record.event = self._summary_event_number
        record.lines_by_event = counts
        bytes_before = self._backlog_bytes
        self._buffer_or_drop(self.format(record), self._summary_event_number)
        # The counts are retained if the summary itself did not fit.
        if self._backlog_bytes > bytes_before:
            self.dropped_by_event.clear()
