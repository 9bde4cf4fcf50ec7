"""Tests the times at which backend links poll idle servers."""

import unittest
import unittest.mock

from dandelionknot.entry import _backend_link


class PollTest(unittest.TestCase):
    def test_polls_end_at_slots_and_not_later_than_before(self) -> None:
        """Guards against polls at separate times.

        Each would make libcurl check all open connections.
        """
        slot_ms = _backend_link.POLL_SLOT_MS
        for now in (0, 5, 1999, 2000, 123_456):
            with unittest.mock.patch.object(_backend_link, 'now_ms', lambda at=now: at):
                wait_ms = _backend_link._wait_until_slot_ms(_backend_link.IDLE_POLL_MS)
            with self.subTest(now=now):
                self.assertEqual((now + wait_ms) % slot_ms, 0)
                self.assertTrue(0 <= _backend_link.IDLE_POLL_MS - wait_ms < slot_ms)
