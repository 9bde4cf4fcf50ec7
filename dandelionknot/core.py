"""Runs the entry host daemon."""

import asyncio
import signal

from dandelionknot.entry import start_entry
from dandelionknot.events import set_up_logging
from dandelionknot.exit_status import ExitStatus
from dandelionknot.settings import EntrySettings


def run_entry(settings: EntrySettings) -> ExitStatus:
    """Runs an entry host until SIGTERM or SIGINT, then stops it gracefully.

    If a task of the entry host fails, the entry host is killed and the status is
    `ERROR`.
    """
    set_up_logging(settings.log_level)
    return asyncio.run(_run_entry(settings))


async def _run_entry(settings: EntrySettings) -> ExitStatus:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    entry = await start_entry(settings)
    stop_waiter = asyncio.create_task(stop_requested.wait())
    failure_waiter = asyncio.create_task(entry.wait_until_failed())
    await asyncio.wait(
        {stop_waiter, failure_waiter}, return_when=asyncio.FIRST_COMPLETED
    )
    if stop_requested.is_set():
        failure_waiter.cancel()
        await entry.stop()
        return ExitStatus.SUCCESS
    stop_waiter.cancel()
    await entry.kill()
    return ExitStatus.ERROR
