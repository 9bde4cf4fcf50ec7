"""The task that keeps a view of a part of the store current."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, log_unexpected_error
from dandelionknot.manager._view import View, ViewEvent, sort_for_view
from dandelionknot.store import HistoryLost, Item, Page, Store, StoreChanges, StoreError

# Prefix of all keys. The leader watches them with a single long-polling call.
ALL_KEYS = ''
# Longest time for which the store may delay its answer to a watch call. It bounds the
# age of the view while nothing changes.
WATCH_WAIT_MS = 600
# Time limit of a watch call, in addition to that delay.
WATCH_TIMEOUT_MS = 500
# Time limit of reading one page; 1 MB over a link of 5 Mbit/s takes two seconds.
READ_TIMEOUT_MS = 4000
# Pause after a failed read or watch call.
RETRY_MS = 100
# Pause between watch calls of a process that is not leader, which bounds the number of
# its calls to the store.
FOLLOWER_PAUSE_MS = 150
# Pause between watch calls of the leader.
LEADER_PAUSE_MS = 8


@dataclass(slots=True)
class Watcher:
    """Updates a view with the items under a prefix and informs subscribers."""

    store: Store
    view: View
    prefix: str = ALL_KEYS
    pause_ms: int = FOLLOWER_PAUSE_MS
    # Whether this watcher sets the age and the revision of the view.
    sets_view_age: bool = True
    subscribers: list[Mailbox] = field(default_factory=list)
    revision: int = 0
    # Local time at which the last answered call was sent; 0 before the first answer.
    # The store held no later changes than it knows when it answers, so the changes in
    # the next answer were written after this time.
    answered_sent_ms: int = 0
    on_progress: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Reads all items, then applies changes; never returns.

        If the store no longer has the next changes, all items are read again.
        """
        loaded = False
        while True:
            sent_ms = now_ms()
            result = await (self._follow() if loaded else self._load())
            if isinstance(result, Err):
                await asyncio.sleep(seconds(RETRY_MS))
                continue
            loaded = result.ok_value
            if not loaded:
                log_event(Event.STORE_HISTORY_LOST, revision=self.revision)
                continue
            self.answered_sent_ms = sent_ms
            if self.sets_view_age:
                self.view.current_as_of_ms = sent_ms
                self.view.revision = self.revision
            self._signal_progress()
            await asyncio.sleep(seconds(self.pause_ms))

    def _signal_progress(self) -> None:
        """Wakes the tasks that wait for a revision."""
        self.on_progress.set()
        self.on_progress = asyncio.Event()

    async def wait_for_revision(self, revision: int) -> None:
        """Waits until the view contains a revision."""
        while self.revision < revision:
            await self.on_progress.wait()

    async def _load(self) -> Result[bool, StoreError]:
        """Reads all pages and publishes items and the deletions of missing ones.

        Watching continues from the revision of the first page, so that no change made
        while the pages were read is missed.
        """
        items: list[Item] = []
        after, first_revision = '', 0
        while True:
            result = await self.store.read_page(self.prefix, after, READ_TIMEOUT_MS)
            if isinstance(result, Err):
                return result
            page: Page = result.ok_value
            first_revision = first_revision or page.store_revision
            items.extend(page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        keys = {item.key for item in items}
        gone = self.view.deletions_of_missing(self.prefix, keys, first_revision)
        # Nothing is known of the age of items that a full read contains.
        self._publish([*sort_for_view(items), *gone], written_after_ms=0)
        self.revision = max(self.revision, first_revision)
        return Ok(True)

    async def _follow(self) -> Result[bool, StoreError]:
        """Applies the next changes; returns False if the store no longer has all."""
        result = await self.store.changes(
            self.prefix, self.revision, WATCH_WAIT_MS, WATCH_TIMEOUT_MS
        )
        if isinstance(result, Err):
            return result
        if isinstance(result.ok_value, HistoryLost):
            return Ok(False)
        changes: StoreChanges = result.ok_value
        self._publish(changes.items, self.answered_sent_ms)
        self.revision = max(self.revision, changes.store_revision)
        return Ok(True)

    def _publish(self, items: list[Item], written_after_ms: int) -> None:
        events: list[ViewEvent] = []
        self.view.applied_written_after_ms = written_after_ms
        for item in items:
            try:
                event = self.view.apply(item)
            except Exception as error:
                log_unexpected_error(
                    'stored item', error, key=item.key, revision=item.revision
                )
                continue
            if event is not None:
                events.append(event)
        for mailbox in self.subscribers:
            for event in events:
                if isinstance(mailbox.send(event), Err):
                    log_event(Event.MESSAGE_DROPPED, message=type(event).__name__)
