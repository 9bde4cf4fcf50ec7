"""Guards against upkeep of links and timers that costs more than it must."""

import unittest
import unittest.mock

from dandelionknot import _backend_link
from dandelionknot._http_client import new_http_client


class PollTest(unittest.TestCase):
    def test_polls_end_at_slots_and_not_later_than_before(self) -> None:
        """Guards against one look at all open connections for each poll."""
        slot_ms = _backend_link.POLL_SLOT_MS
        for now in (0, 5, 1999, 2000, 123_456):
            with unittest.mock.patch.object(_backend_link, 'now_ms', lambda at=now: at):
                wait_ms = _backend_link._until_slot_ms(_backend_link.IDLE_POLL_MS)
            with self.subTest(now=now):
                self.assertEqual((now + wait_ms) % slot_ms, 0)
                self.assertTrue(0 <= _backend_link.IDLE_POLL_MS - wait_ms < slot_ms)


class TimerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_timer_is_set_only_when_none_is_early_enough(self) -> None:
        """Guards against timers without use, and against one that comes too late."""
        client = new_http_client(1)
        self.addCleanup(client.close)
        client._set_timeout(-1)
        self.assertIsNone(client._timeout)
        client._set_timeout(60_000)
        first = client._timeout
        client._set_timeout(90_000)
        self.assertIs(client._timeout, first)
        client._set_timeout(30_000)
        self.assertIsNot(client._timeout, first)
        self.assertTrue(first.cancelled())
        second = client._timeout
        client._set_timeout(-1)
        self.assertIsNone(client._timeout)
        self.assertTrue(second.cancelled())
