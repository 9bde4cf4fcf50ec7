"""The task that lists hosts and sends orders about them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, log_unexpected_error
from dandelionknot.jobs._generated import (
    HostOrder,
    HostOrderFinished,
    HostOrderOutcome,
)
from dandelionknot.manager._ports import HostClient

# Pause between reads of the host list while the scheduler needs it.
LIST_PAUSE_MS = 700
# Shortest pause between two reads. An earlier one than usual is made when a backend
# server has been lost, since the list shows whether its host is down.
MIN_LIST_PAUSE_MS = 100
# Pause between checks whether the scheduler needs the list.
IDLE_PAUSE_MS = 300


@dataclass(slots=True)
class HostTask:
    """Owns the connections to the platform's host service.

    `valid_until_ms` returns the local time until which the term allows orders.
    `list_wanted` returns whether the scheduler needs the list.
    """

    hosts: HostClient
    fencing_token: int
    report: Callable[[object], object]
    valid_until_ms: Callable[[], int]
    list_wanted: Callable[[], bool]
    inbox: Mailbox = field(default_factory=lambda: Mailbox(1024))
    # Set if the next list is wanted soon.
    list_soon: asyncio.Event = field(default_factory=asyncio.Event)
    # Asyncio tasks that carry out orders.
    order_tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Carries out orders, and lists hosts while the scheduler needs the list."""
        listing = asyncio.create_task(self._list_forever())
        try:
            while True:
                order = await self.inbox.receive()
                task = asyncio.create_task(self._order(order))
                self.order_tasks.add(task)
                task.add_done_callback(self.order_tasks.discard)
        finally:
            listing.cancel()
            for task in self.order_tasks:
                task.cancel()

    async def _order(self, order: HostOrder) -> None:
        outcome = HostOrderOutcome.NOT_DONE
        valid_until_ms = self.valid_until_ms()
        if now_ms() < valid_until_ms:
            try:
                outcome = await self.hosts.order(
                    order, self.fencing_token, valid_until_ms
                )
            except Exception as error:
                log_unexpected_error('host order', error)
                outcome = HostOrderOutcome.NO_ANSWER
        self.report(HostOrderFinished(order=order, outcome=outcome))

    async def _list_forever(self) -> None:
        reached = True
        while True:
            if not self.list_wanted() and not await self._is_requested_within(
                IDLE_PAUSE_MS
            ):
                continue
            listed = await self.hosts.list_hosts()
            if isinstance(listed, Err):
                if reached:
                    message = listed.err_value.message
                    log_event(Event.HOST_LIST_UNREACHABLE, problem=message)
                reached = False
            else:
                reached = True
                self.report(listed.ok_value)
            await asyncio.sleep(seconds(MIN_LIST_PAUSE_MS))
            await self._is_requested_within(LIST_PAUSE_MS - MIN_LIST_PAUSE_MS)

    async def _is_requested_within(self, wait_ms: int) -> bool:
        """Waits until a list is wanted soon; returns False if none is by then."""
        try:
            async with asyncio.timeout(seconds(wait_ms)):
                await self.list_soon.wait()
        except TimeoutError:
            return False
        finally:
            self.list_soon.clear()
        return True
