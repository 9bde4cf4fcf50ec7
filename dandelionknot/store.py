"""What the product asks of a key-value store: versioned items, leases, watches.

An adapter offers these as async functions; see `dandelionknot.platform`.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result


@dataclass(slots=True, frozen=True)
class Item:
    """A version of an item; `deleted` marks the event of its deletion."""

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease_id: int = 0
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class Page:
    """Items in the order of their keys; `more` follow after the last one."""

    items: list[Item]
    more: bool
    store_revision: int


@dataclass(slots=True, frozen=True)
class StoreChanges:
    """Changes after a revision, up to `store_revision`."""

    items: list[Item]
    store_revision: int


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store does not have the changes asked for any more."""


@dataclass(slots=True, frozen=True)
class Precondition:
    """A write happens only if the item has this revision; 0 means no item."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """An item to write, bound to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class WriteOutcome(StrEnum):
    """What the store did with a write."""

    WRITTEN = 'written'
    PRECONDITION_FAILED = 'precondition_failed'
    LEASE_ENDED = 'lease_ended'


@dataclass(slots=True, frozen=True)
class Written:
    """The answer to a write; `items` holds what did not match a precondition."""

    outcome: WriteOutcome
    revision: int = 0
    items: list[Item] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class LeaseGranted:
    """A lease and how long it lasts without renewal."""

    lease_id: int
    duration_ms: int


@dataclass(slots=True, frozen=True)
class StoreError:
    """A call that gave no usable answer.

    Unless `not_done` is true, a write may have happened or may yet happen.
    """

    not_done: bool
    message: str


class Store(Protocol):
    """Calls to the store; each gives up after its time limit."""

    async def page(
        self, prefix: str, after: str, timeout_ms: int
    ) -> Result[Page, StoreError]:
        """Reads the items under a prefix whose keys follow `after`."""

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int, timeout_ms: int
    ) -> Result[StoreChanges | HistoryLost, StoreError]:
        """Waits up to `wait_ms` for changes under a prefix."""

    async def write(
        self,
        preconditions: list[Precondition],
        puts: list[Put],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Written, StoreError]:
        """Writes all or nothing."""

    async def grant_lease(
        self, duration_ms: int, timeout_ms: int
    ) -> Result[LeaseGranted, StoreError]:
        """Takes a lease."""

    async def keep_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[bool, StoreError]:
        """Renews a lease; the value is False if it has ended."""

    async def end_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[None, StoreError]:
        """Ends a lease, which deletes its items."""
