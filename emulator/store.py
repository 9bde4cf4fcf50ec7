"""In-memory store with leases and watches that can lose answers and delay writes."""

import asyncio
import random
from bisect import bisect_right
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.store import (
    HistoryLost,
    Item,
    LeaseGranted,
    Page,
    Precondition,
    Put,
    StoreChanges,
    StoreError,
    WriteOutcome,
    Written,
)

# Time from a call to its answer when the store is not slowed down.
NETWORK_DELAY_MS = 4
MAX_PAGE_ITEMS = 500
# Interval at which a waiting watch looks for changes.
POLL_INTERVAL_MS = 8
# Largest total number of conditions, puts and deletes in one write.
MAX_ENTRIES = 32
# Delay of a write that is carried out late.
LATE_DELAY_RANGE_MS = (1000, 6000)
# Size above which the store rejects a value.
MAX_VALUE_BYTES = 1_048_576


@dataclass(slots=True)
class MemoryStore:
    """Items, leases and history of the store. Each write raises the revision by one."""

    rng: random.Random
    items_by_key: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    revision: int = 1
    # Changes up to this revision have been deleted from the history.
    forgotten_revision: int = 0
    lease_ends_by_id: dict[int, int] = field(default_factory=dict)
    lease_ms_by_id: dict[int, int] = field(default_factory=dict)
    down: bool = False
    # Share of the writes that are not answered.
    lost_share: float = 0.0
    # Share of the unanswered writes that are carried out late.
    late_share: float = 0.0
    # Items of the last write that was not answered.
    unanswered_puts: list[Put] = field(default_factory=list)
    # Additional delay of every call.
    slow_ms: int = 0
    # Size above which the store rejects a value.
    max_value_bytes: int = MAX_VALUE_BYTES
    # Number of items above which it rejects a write.
    max_puts: int = MAX_ENTRIES
    # Number of calls that clients have made.
    calls: int = 0
    # Watches that wait for a change of an item under a prefix.
    waiting_watches: list[tuple[str, asyncio.Future]] = field(default_factory=list)

    def changes_after(self, revision: int, prefix: str) -> list[Item]:
        """Returns the changes of items under a prefix after a revision."""
        start = bisect_right(self.history, revision, key=lambda item: item.revision)
        return [item for item in self.history[start:] if item.key.startswith(prefix)]

    async def wait_for_change(self, prefix: str, timeout_ms: int) -> None:
        """Waits until an item under a prefix changes, or for the given time."""
        changed = asyncio.get_running_loop().create_future()
        self.waiting_watches.append((prefix, changed))
        await asyncio.wait([changed], timeout=seconds(timeout_ms))
        changed.cancel()

    def _record(self, item: Item) -> None:
        self.history.append(item)
        still_waiting = []
        for prefix, changed in self.waiting_watches:
            if changed.done():
                continue
            if item.key.startswith(prefix):
                changed.set_result(None)
            else:
                still_waiting.append((prefix, changed))
        self.waiting_watches = still_waiting

    def expire(self) -> None:
        """Ends the leases that have expired, unless the store is down."""
        if self.down:
            return
        now = now_ms()
        for lease_id in [i for i, end in self.lease_ends_by_id.items() if end <= now]:
            self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its items."""
        self.lease_ends_by_id.pop(lease_id, None)
        for item in list(self.items_by_key.values()):
            if item.lease_id == lease_id:
                self.delete(item.key)

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Writes one item under a new revision and returns the revision."""
        self.revision += 1
        self._put(key, value, lease_id)
        return self.revision

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        known = self.items_by_key.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease_id)
        self.items_by_key[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Deletes one item, if it exists, under a new revision."""
        if key in self.items_by_key:
            self.revision += 1
            self._delete(key)

    def _delete(self, key: str) -> None:
        if self.items_by_key.pop(key, None) is not None:
            self._record(Item(key, b'', self.revision, deleted=True))

    def forget_history(self) -> None:
        """Deletes the history, so that watches from an older revision fail."""
        self.forgotten_revision = self.revision
        self.history.clear()

    def write(
        self, conditions: list[Precondition], puts: list[Put], deletes: list[str]
    ) -> Written:
        """Carries out all changes if every condition holds, and none otherwise."""
        assert len(conditions) + len(puts) + len(deletes) <= MAX_ENTRIES
        self.expire()
        failed = False
        for condition in conditions:
            known = self.items_by_key.get(condition.key)
            failed = failed or (known.revision if known else 0) != condition.revision
        if failed:
            items = [
                self.items_by_key.get(c.key, Item(c.key, b'', 0)) for c in conditions
            ]
            return Written(WriteOutcome.PRECONDITION_FAILED, items=items)
        if any(p.lease_id and p.lease_id not in self.lease_ends_by_id for p in puts):
            return Written(WriteOutcome.LEASE_ENDED)
        # All changes of one call share one revision.
        self.revision += 1
        for put in puts:
            self._put(put.key, put.value, put.lease_id)
        for key in deletes:
            self._delete(key)
        return Written(WriteOutcome.WRITTEN, revision=self.revision)


@dataclass(slots=True)
class StoreClient:
    """Client of the store for one process."""

    store: MemoryStore
    # While `cut[0]` is set, every call waits until it times out.
    cut: list[bool]

    async def _deliver_call(self, timeout_ms: int) -> StoreError | None:
        self.store.calls += 1
        if self.cut[0]:
            await asyncio.sleep(seconds(timeout_ms))
            return StoreError(not_done=False, message='no answer')
        delay = NETWORK_DELAY_MS + self.store.slow_ms
        if delay > timeout_ms:
            await asyncio.sleep(seconds(timeout_ms))
            return StoreError(not_done=False, message='no answer')
        await asyncio.sleep(seconds(delay))
        if self.store.down:
            return StoreError(not_done=True, message='HTTP status 503')
        self.store.expire()
        return None

    async def read_page(
        self, prefix: str, after: str, timeout_ms: int
    ) -> Result[Page, StoreError]:
        """Reads one page of the items below a prefix, after a key."""
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        keys = sorted(
            k for k in self.store.items_by_key if k.startswith(prefix) and k > after
        )
        items = [self.store.items_by_key[key] for key in keys[:MAX_PAGE_ITEMS]]
        return Ok(Page(items, len(keys) > MAX_PAGE_ITEMS, self.store.revision))

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int, timeout_ms: int
    ) -> Result[StoreChanges | HistoryLost, StoreError]:
        """Waits up to `wait_ms` for changes after a revision and returns them."""
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        end = now_ms() + wait_ms
        while True:
            if self.cut[0]:
                await asyncio.sleep(seconds(timeout_ms))
                return Err(StoreError(not_done=False, message='no answer'))
            if self.store.down:
                return Err(StoreError(not_done=True, message='HTTP status 503'))
            self.store.expire()
            if after_revision < self.store.forgotten_revision:
                return Ok(HistoryLost())
            found = self.store.changes_after(after_revision, prefix)
            if found or now_ms() >= end:
                return Ok(StoreChanges(found, self.store.revision))
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))

    async def write(
        self,
        preconditions: list[Precondition],
        puts: list[Put],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Written, StoreError]:
        """Writes in one transaction.

        The answer is lost with the probability `lost_share`. The write is then
        carried out at once, or late with the probability `late_share`.
        """
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        store = self.store
        is_large = any(len(put.value) > store.max_value_bytes for put in puts)
        if is_large or len(puts) > store.max_puts:
            message = 'HTTP status 400'
            return Err(StoreError(not_done=True, message=message, rejected=True))
        if store.rng.random() < store.lost_share:
            store.unanswered_puts = puts
            if store.rng.random() < store.late_share:
                delay_s = seconds(store.rng.randint(*LATE_DELAY_RANGE_MS))
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, store.write, preconditions, puts, deletes)
            else:
                store.write(preconditions, puts, deletes)
            await asyncio.sleep(seconds(timeout_ms))
            return Err(StoreError(not_done=False, message='no answer'))
        return Ok(store.write(preconditions, puts, deletes))

    async def grant_lease(
        self, duration_ms: int, timeout_ms: int
    ) -> Result[LeaseGranted, StoreError]:
        """Grants a lease."""
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        self.store.revision += 1
        lease_id = self.store.revision
        self.store.lease_ends_by_id[lease_id] = now_ms() + duration_ms
        self.store.lease_ms_by_id[lease_id] = duration_ms
        return Ok(LeaseGranted(lease_id, duration_ms))

    async def renew_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[bool, StoreError]:
        """Renews a lease and returns whether it still existed."""
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        if lease_id not in self.store.lease_ends_by_id:
            return Ok(False)
        duration = self.store.lease_ms_by_id[lease_id]
        self.store.lease_ends_by_id[lease_id] = now_ms() + duration
        return Ok(True)

    async def end_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[None, StoreError]:
        """Ends a lease, which deletes its items."""
        problem = await self._deliver_call(timeout_ms)
        if problem:
            return Err(problem)
        self.store.end_lease(lease_id)
        return Ok(None)
