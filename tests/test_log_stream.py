"""Guards against a log that blocks, grows without bound or loses lines silently."""

import json
import logging
import os
import unittest

from dandelionknot.log_stream import (
    MAX_BACKLOG_BYTES,
    MAX_EVENT_LINES_PER_S,
    RateLimitedHandler,
)

SUMMARY_EVENT_NUMBER = 99


class RateLimitedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = RateLimitedHandler(self.writer, SUMMARY_EVENT_NUMBER)
        self.addCleanup(os.close, self.writer)
        self.handler.setFormatter(Formatter())

    def write(self, event, level=logging.INFO, text=''):
        record = logging.LogRecord('x', level, '', 0, text, None, None)
        record.event = event
        self.handler.emit(record)

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            data = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines() if line.endswith(b'}')]

    def test_lines_beyond_the_rate_are_counted(self):
        """Guards against lines that are dropped without being counted."""
        for _ in range(MAX_EVENT_LINES_PER_S * 3):
            self.write(7)
        self.write(8)
        # A time so late that a summary is due.
        self.handler.flush_lines(1e12)
        lines = self.read()
        shown = sum(line['event'] == 7 for line in lines)
        counted = sum(line.get('lines', {}).get('7', 0) for line in lines)
        self.assertLess(shown, MAX_EVENT_LINES_PER_S * 2)
        self.assertEqual(shown + counted, MAX_EVENT_LINES_PER_S * 3)
        self.assertIn(8, [line['event'] for line in lines])

    def test_errors_are_exempt_from_the_rate_limit(self):
        """Guards against errors that are dropped in a burst of errors."""
        for _ in range(MAX_EVENT_LINES_PER_S * 2):
            self.write(7, logging.ERROR)
        self.assertEqual(len(self.read()), MAX_EVENT_LINES_PER_S * 2)

    def test_a_stalled_reader_does_not_block_the_process(self):
        """Guards against a process that waits for the reader of its log.

        The buffer stays within its limit, and the lines beyond it are counted.
        """
        for number in range(2000):
            self.write(number, logging.ERROR, 'x' * 1000)
        self.assertTrue(self.handler.dropped_by_event)
        self.assertLessEqual(self.handler._backlog_bytes, MAX_BACKLOG_BYTES)


class Formatter(logging.Formatter):
    def format(self, record):
        fields = {'event': record.event, 'text': record.getMessage()}
        fields['lines'] = getattr(record, 'lines_by_event', {})
        return json.dumps(fields)


if __name__ == '__main__':
    unittest.main()
