"""An event loop whose time advances only when every task waits.

Runs of minutes take a second, bounds are exact, and the machine's speed has no
part in a verdict.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from unittest import mock

START_S = 1_000_000.0
# Real time for what happens outside the loop, if sockets are used.
OUTSIDE_S = 20.0


class JumpingSelector(selectors.SelectSelector):
    """Advances the time instead of waiting for it."""

    def __init__(self, delivery_s: float) -> None:
        super().__init__()
        self.now_s = START_S
        self._delivery_s = delivery_s

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready; jumps to the next timer if nothing is."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(self._delivery_s)
        if not ready and timeout is None:
            # Another thread or process may have something to say.
            ready = super().select(OUTSIDE_S if self._delivery_s else 0)
        if not ready and timeout is None:
            raise RuntimeError('every task waits for something that cannot happen')
        if not ready and timeout is not None:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on the time of its selector."""

    def __init__(self, delivery_s: float = 0.0) -> None:
        """Gives sockets `delivery_s` of real time to deliver before each jump."""
        self.jumping = JumpingSelector(delivery_s)
        super().__init__(self.jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.jumping.now_s


class VirtualClock:
    """Stands in for the `time` module behind the clocks of a process."""

    CLOCK_BOOTTIME = 7

    def __init__(self, loop: VirtualLoop):
        self._loop = loop

    def clock_gettime_ns(self, clock: int) -> int:
        """Returns the virtual monotonic time."""
        return int(self._loop.time() * 1e9)

    def time_ns(self) -> int:
        """Returns the virtual time of day."""
        return int(self._loop.time() * 1e9)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    with mock.patch('dandelionknot.clock.time', VirtualClock(loop)):
        try:
            return loop.run_until_complete(main)
        finally:
            loop.run_until_complete(_cancel_rest())
            loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
