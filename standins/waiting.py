"""Waits for a condition that another task makes true."""

import asyncio
import inspect
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.01


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]], timeout_s: float
) -> None:
    """Waits until the condition holds; raises `TimeoutError` after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while True:
            holds = condition()
            if inspect.isawaitable(holds):
                holds = await holds
            if holds:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
