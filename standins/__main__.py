"""Runs one stand-in as a process: `python -m standins platform|backend IP:PORT`.

`python -m standins backend IP:PORT COUNT` listens on COUNT consecutive IP addresses,
which share one state.
"""

import asyncio
import signal
import sys
from collections.abc import Callable

from standins.backend import start_backend
from standins.platform import start_platform

START_BY_NAME: dict[str, Callable] = {
    'platform': start_platform,
    'backend': start_backend,
}


async def run(name: str, address: str, *count: str) -> None:
    """Runs a stand-in until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    extra = {'address_count': int(count[0])} if count else {}
    standin = await START_BY_NAME[name](address, **extra)
    print(f'{name} stand-in listens on {standin.address}', flush=True)
    await stop_requested.wait()
    await standin.stop()


if __name__ == '__main__':
    asyncio.run(run(*sys.argv[1:4]))
