"""Bounded mailboxes through which asyncio tasks exchange messages."""

import asyncio
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from result import Err, Ok, Result

M = TypeVar('M')


@dataclass(frozen=True, slots=True)
class MailboxFull:
    """The message was not sent because the mailbox is full.

    `capacity` is the maximum number of queued messages.
    """

    capacity: int


@dataclass(frozen=True, slots=True)
class Call:
    """A message whose sender waits for a reply."""

    message: Any
    reply: asyncio.Future

    def answer(self, value: Any) -> None:
        """Sets the reply unless the sender has stopped waiting."""
        if not self.reply.done():
            self.reply.set_result(value)


class Mailbox(Generic[M]):
    """Message queue of one task; only that task receives from it."""

    __slots__ = ('_queue',)

    def __init__(self, capacity: int):
        self._queue: asyncio.Queue[M] = asyncio.Queue(capacity)

    def send(self, message: M) -> Result[None, MailboxFull]:
        """Sends a message without waiting; fails if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            return Err(MailboxFull(self._queue.maxsize))
        return Ok(None)

    async def deliver(self, message: M) -> None:
        """Sends a message, waiting for space if the mailbox is full."""
        await self._queue.put(message)

    async def ask(self, message: Any) -> Result[Any, MailboxFull]:
        """Sends a message as a `Call` and waits for its reply."""
        reply = asyncio.get_running_loop().create_future()
        sent = self.send(Call(message, reply))  # type: ignore[arg-type]
        if isinstance(sent, Err):
            return sent
        return Ok(await reply)

    async def receive(self) -> M:
        """Waits for the next message."""
        return await self._queue.get()

    def take_all(self) -> list[M]:
        """Removes and returns all queued messages, without waiting for more."""
        return [self._queue.get_nowait() for _ in range(len(self))]

    def __len__(self) -> int:
        """Returns the number of queued messages."""
        return self._queue.qsize()
