"""Which connections stay open and which requests are read, without a network."""

import unittest

from dandelionknot._request_limits import (
    COPIES_OF_BODY,
    MAX_CHUNK_WAIT_MS,
    STALLED_MS,
    LimitReason,
    Phase,
    RequestLimits,
    RequestTable,
)
from dandelionknot.jobs._generated import ManagerLimits
from dandelionknot.manager._limits import caller_connections

BUDGET = 1_000_000
LARGE = 200_000
MAX_BODY = 300_000


class RequestTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RequestTable(
            RequestLimits(budget_bytes=BUDGET, stalled_timeout_ms=20_000)
        )
        self.port = self.table.add_port('callers', 100, MAX_BODY)
        self.now_ms = 1000

    def connect(self):
        connection, _ = self.table.open(self.port, None, self.now_ms)
        return connection

    def begin(self, announced):
        """Opens a connection with the headers of a request."""
        connection = self.connect()
        self.table.received(connection, 100, 100, self.now_ms)
        reason, closed = self.table.headers_received(
            connection, announced, 0, self.now_ms
        )
        return connection, reason, closed

    def send(self, connection, size, wire=None):
        closed = self.table.received(connection, wire or size, size, self.now_ms)
        reason, more = self.table.body_received(connection, size, 0, self.now_ms)
        return reason, closed + more

    def fill(self):
        """Opens large bodies until there is no room for another one."""
        held = []
        while True:
            connection, reason, _ = self.begin(LARGE)
            if reason is not None:
                return held
            held.append(connection)

    def test_a_body_over_the_limit_is_refused_at_its_headers(self):
        """Guards against reading a body that cannot be used."""
        _, reason, _ = self.begin(MAX_BODY + 1)
        self.assertIs(reason, LimitReason.BODY_TOO_LARGE)

    def test_a_chunked_body_is_refused_once_it_exceeds_the_limit(self):
        """Guards against a body that is read without end."""
        connection, _, _ = self.begin(None)
        self.assertEqual(self.send(connection, MAX_BODY), (None, []))
        self.assertIs(self.send(connection, 1)[0], LimitReason.BODY_TOO_LARGE)

    def test_tiny_chunks_are_refused(self):
        """Guards against framing that costs far more processor time than its bytes."""
        connection, _, _ = self.begin(None)
        reason, _ = self.send(connection, 20_000, wire=120_000)
        self.assertIs(reason, LimitReason.CHUNKS_TOO_SMALL)

    def test_without_room_a_large_body_is_refused_and_a_small_one_is_read(self):
        """Guards against large bodies that keep out ordinary submissions."""
        held = self.fill()
        self.assertEqual(len(held), 1)
        small, reason, _ = self.begin(2000)
        self.assertIsNone(reason)
        self.assertEqual(self.send(small, 2000), (None, []))
        self.assertTrue(held[0].is_open)

    def test_the_body_that_has_stalled_longest_makes_room(self):
        """Guards against clients that keep the memory by doing nothing."""
        held = self.fill()
        self.now_ms += STALLED_MS
        _, reason, closed = self.begin(LARGE)
        self.assertIsNone(reason)
        self.assertEqual(closed, held[:1])

    def test_small_bodies_beyond_the_budget_close_the_oldest(self):
        """Guards against many small unfinished bodies that use up the memory."""
        self.port.max_connections = 1000
        opened = []
        for _ in range(BUDGET // (COPIES_OF_BODY * 16_000) + 2):
            self.now_ms += 1
            connection, _, _ = self.begin(16_000)
            opened.append(connection)
            self.send(connection, 16_000)
        self.assertFalse(opened[0].is_open)
        self.assertTrue(opened[-1].is_open)
        self.assertLessEqual(self.table.charged_bytes, BUDGET)

    def test_a_request_that_is_handled_is_never_closed(self):
        """Guards against the loss of an answer that is ready or will be."""
        handled, _, _ = self.begin(LARGE)
        self.send(handled, LARGE)
        self.table.completed(handled, self.now_ms)
        self.now_ms += 10**7
        self.assertEqual(self.table.expired(self.now_ms), [])
        for _ in range(200):
            self.connect()
        self.assertTrue(handled.is_open)

    def test_all_memory_is_free_after_the_answers(self):
        """Guards against a budget that shrinks with each request."""
        for size in (10, LARGE, None):
            connection, _, _ = self.begin(size)
            self.send(connection, 10)
            self.table.completed(connection, self.now_ms)
            self.table.answered(connection, 0, self.now_ms)
        connection, _, _ = self.begin(LARGE)
        self.table.closed(connection)
        self.table.closed(connection)
        self.assertEqual((self.table.charged_bytes, self.table.large_bytes), (0, 0))

    def test_a_new_connection_replaces_the_one_without_progress(self):
        """Guards against idle connections that keep out callers."""
        first = self.connect()
        for _ in range(100):
            self.now_ms += 1
            last = self.connect()
        self.assertFalse(first.is_open)
        self.assertTrue(last.is_open)
        self.assertLessEqual(len(self.port.connections), 100)

    def test_small_chunks_wait_for_their_turn(self):
        """Guards against an event loop that parses chunks until its lease expires."""
        rate = self.table.limits.chunks_per_s
        waits, reason = [], None
        while reason is None:
            connection, _, _ = self.begin(None)
            reason, wait_ms = self.table.wait_for_chunks(connection, 2000, self.now_ms)
            waits.append(wait_ms)
        self.assertIs(reason, LimitReason.CHUNKS)
        self.assertEqual(waits[:-1], sorted(waits[:-1]))
        self.assertLessEqual(len(waits) * 900, rate * (2 + MAX_CHUNK_WAIT_MS / 1000))
        small, _, _ = self.begin(None)
        self.assertEqual(self.table.wait_for_chunks(small, 8, self.now_ms), (None, 0))

    def test_time_limits(self):
        """Guards against connections that stay open for good."""
        limits = self.table.limits
        idle = self.connect()
        headers = self.connect()
        self.table.received(headers, 10, 10, self.now_ms)
        body, _, _ = self.begin(1000)
        unread, _, _ = self.begin(0)
        self.table.completed(unread, self.now_ms)
        self.table.answer_waits(unread, 10, self.now_ms)
        for connection, limit_ms in (
            (headers, limits.header_timeout_ms),
            (body, limits.stalled_timeout_ms),
            (unread, limits.answer_timeout_ms),
            (idle, limits.idle_timeout_ms),
        ):
            with self.subTest(phase=Phase(connection.phase).name):
                self.table.expired(self.now_ms + limit_ms)
                self.assertTrue(connection.is_open)
                self.table.expired(self.now_ms + limit_ms + 1)
                self.assertFalse(connection.is_open)

    def test_single_bytes_are_no_progress(self):
        """Guards against clients that keep a body open with a byte now and then."""
        connection, _, _ = self.begin(LARGE)
        for _ in range(21):
            self.now_ms += 1000
            self.send(connection, 1)
        self.assertEqual(self.table.expired(self.now_ms), [connection])

    def test_callers_leave_descriptors_for_other_uses(self):
        """Guards against callers that use up the descriptors of the other ports."""
        for max_fds in (512, 4100, 8192):
            limits = ManagerLimits(max_fds=max_fds)
            callers = caller_connections(limits, max_fds)
            others = limits.readiness_connections + limits.metrics_connections
            self.assertLessEqual(callers + others + limits.file_fds, max_fds)


if __name__ == '__main__':
    unittest.main()
