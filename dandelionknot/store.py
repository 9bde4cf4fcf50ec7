"""Interface of the manager to a key-value store with versions, leases and watches.

`dandelionknot.platform` contains the adapter that implements it.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result


@dataclass(slots=True, frozen=True)
class Item:
    """One version of an item; `deleted` is true if this version is its deletion."""

    key: str
    value: bytes
    revision: int
    created: int = 0
    lease_id: int = 0
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class Page:
    """Items in key order; `more` is true if further items follow the last one."""

    items: list[Item]
    more: bool
    store_revision: int


@dataclass(slots=True, frozen=True)
class StoreChanges:
    """Changes after the requested revision, up to `store_revision`."""

    items: list[Item]
    store_revision: int


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store no longer has the changes after the requested revision."""


@dataclass(slots=True, frozen=True)
class Precondition:
    """Condition of a write: the item has this revision; 0 means it does not exist."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """An item to write, bound to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class WriteOutcome(StrEnum):
    """Outcome of a write that the store answered."""

    WRITTEN = 'written'
    PRECONDITION_FAILED = 'precondition_failed'
    LEASE_ENDED = 'lease_ended'


@dataclass(slots=True, frozen=True)
class Written:
    """Answer to a write; `items` has the items that failed a precondition."""

    outcome: WriteOutcome
    revision: int = 0
    items: list[Item] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class LeaseGranted:
    """A lease, and the time after which it expires without renewal."""

    lease_id: int
    duration_ms: int


@dataclass(slots=True, frozen=True)
class StoreError:
    """A call that returned no usable answer.

    If `not_done` is true, a write has not taken effect and never will. Otherwise the
    write may have taken effect or may still do so. If `rejected` is true, the store
    takes no such call, so that it is of no use to repeat it.
    """

    not_done: bool
    message: str
    rejected: bool = False


class Store(Protocol):
    """Calls to the store; each fails after its time limit."""

    async def read_page(
        self, prefix: str, after: str, timeout_ms: int
    ) -> Result[Page, StoreError]:
        """Returns a page of items under a prefix, beginning after the key `after`."""

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int, timeout_ms: int
    ) -> Result[StoreChanges | HistoryLost, StoreError]:
        """Returns changes under a prefix; waits up to `wait_ms` for the first one."""

    async def write(
        self,
        preconditions: list[Precondition],
        puts: list[Put],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Written, StoreError]:
        """Applies all puts and deletes, or none if a precondition fails."""

    async def grant_lease(
        self, duration_ms: int, timeout_ms: int
    ) -> Result[LeaseGranted, StoreError]:
        """Requests a new lease."""

    async def renew_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[bool, StoreError]:
        """Renews a lease; returns False if it has already ended."""

    async def end_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[None, StoreError]:
        """Ends a lease, which deletes the items bound to it."""
