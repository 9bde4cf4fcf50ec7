"""Test cases in virtual time, which advances only when every task waits.

The fleet of such a test runs in one process over loopback sockets. Its time limits
are exact, and a slow or busy machine only makes the test take longer.
"""

import asyncio
import unittest
from unittest import mock

from emulator.virtual_time import VirtualClock, VirtualLoop

# Real time given to loopback sockets before virtual time advances. Data written to
# one can usually be read at once; this covers deferred delivery by the kernel.
DELIVERY_DELAY_S = 0.0005


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Asynchronous test case whose event loop and clocks use virtual time."""

    def _setupAsyncioRunner(self):  # noqa: N802 - name of the base class
        runner = asyncio.Runner(loop_factory=lambda: VirtualLoop(DELIVERY_DELAY_S))
        self._asyncioRunner = runner
        clock = VirtualClock(runner.get_loop())
        patcher = mock.patch('dandelionknot.clock.time', clock)
        patcher.start()
        self.addCleanup(patcher.stop)
