"""An event loop in virtual time, which advances only when every task waits.

Minutes of virtual time take about a second of real time. Time limits are exact, and
the speed of the machine does not influence a verdict.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from unittest import mock

# Virtual time at which every loop starts.
START_S = 1_000_000.0
# Longest real time to wait for another thread or process, if sockets are used.
EXTERNAL_WAIT_S = 20.0


class VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the virtual time instead of waiting for a timer."""

    def __init__(self, delivery_s: float) -> None:
        super().__init__()
        self.now_s = START_S
        self._delivery_s = delivery_s

    def select(self, timeout: float | None = None) -> list:
        """Returns the ready files; advances the time by `timeout` if there are none."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(self._delivery_s)
        if not ready and timeout is None:
            # Another thread or process may still send something.
            ready = super().select(EXTERNAL_WAIT_S if self._delivery_s else 0)
        if not ready and timeout is None:
            raise RuntimeError(
                'deadlock in virtual time: every task waits, and no timer is set'
            )
        if not ready and timeout is not None:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the virtual time of its selector."""

    def __init__(self, delivery_s: float = 0.0) -> None:
        """Waits `delivery_s` of real time for sockets before the time advances."""
        self.time_selector = VirtualTimeSelector(delivery_s)
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.time_selector.now_s


class VirtualClock:
    """Replaces the `time` module that `dandelionknot.clock` uses."""

    CLOCK_BOOTTIME = 7

    def __init__(self, loop: VirtualLoop):
        self._loop = loop

    def clock_gettime_ns(self, clock: int) -> int:
        """Returns the virtual monotonic time in nanoseconds."""
        return int(self._loop.time() * 1e9)

    def time_ns(self) -> int:
        """Returns the virtual time of day in nanoseconds."""
        return int(self._loop.time() * 1e9)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine in virtual time and cancels the tasks that remain."""
    loop = VirtualLoop()
    with mock.patch('dandelionknot.clock.time', VirtualClock(loop)):
        try:
            return loop.run_until_complete(main)
        finally:
            loop.run_until_complete(_cancel_remaining_tasks())
            loop.close()


async def _cancel_remaining_tasks() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
