"""Test cases in virtual time, which advances only when every task waits.

Fleets of such a test run in one process over loopback sockets. Time limits are exact,
and a slow or busy machine only makes the test take longer.
"""

import asyncio
import unittest
from unittest import mock

from emulator.virtual_time import VirtualClock, VirtualLoop

# Real time to wait for sockets before virtual time advances. Data written to a loopback
# socket can be read at once; this only covers a kernel that delivers it in the
# background.
DELIVERY_S = 0.0005


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """An asynchronous test case in virtual time.

    Also replaces the clocks of `dandelionknot.clock` by the virtual one.
    """

    def _setupAsyncioRunner(self):  # noqa: N802 - the name of the base class
        runner = asyncio.Runner(loop_factory=lambda: VirtualLoop(DELIVERY_S))
        self._asyncioRunner = runner
        clock = VirtualClock(runner.get_loop())
        patched = mock.patch('dandelionknot.clock.time', clock)
        patched.start()
        self.addCleanup(patched.stop)
