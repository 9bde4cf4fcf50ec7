"""Guards against logs that block the process, grow without bound or lose silently."""

import json
import logging
import os
import unittest

from dandelionknot.log_stream import BACKLOG_BYTES, LINES_PER_EVENT_S, BoundedHandler

SUMMARY = 99


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = BoundedHandler(self.writer, SUMMARY)
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
        """Guards against lines that are missing without a word."""
        for _ in range(LINES_PER_EVENT_S * 3):
            self.write(7)
        self.write(8)
        self.handler.flush_lines(1e12)
        lines = self.read()
        shown = sum(line['event'] == 7 for line in lines)
        counted = sum(line.get('lines', {}).get('7', 0) for line in lines)
        self.assertLess(shown, LINES_PER_EVENT_S * 2)
        self.assertEqual(shown + counted, LINES_PER_EVENT_S * 3)
        self.assertIn(8, [line['event'] for line in lines])

    def test_errors_are_never_left_out(self):
        """Guards against errors that a burst of them hides."""
        for _ in range(LINES_PER_EVENT_S * 2):
            self.write(7, logging.ERROR)
        self.assertEqual(len(self.read()), LINES_PER_EVENT_S * 2)

    def test_a_reader_that_stands_still_blocks_nothing(self):
        """Guards against a process that waits for its log to be read."""
        for number in range(2000):
            self.write(number, logging.ERROR, 'x' * 1000)
        self.assertTrue(self.handler.left_out_by_event)
        self.assertLessEqual(self.handler._backlog_bytes, BACKLOG_BYTES)


class Formatter(logging.Formatter):
    def format(self, record):
        fields = {'event': record.event, 'text': record.getMessage()}
        fields['lines'] = getattr(record, 'lines_by_event', {})
        return json.dumps(fields)


if __name__ == '__main__':
    unittest.main()
