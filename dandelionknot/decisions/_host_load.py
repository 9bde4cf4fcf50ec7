"""Load of one host as an entry host sees it.

A host is in the free list of its group while it can run another task. It is added to
or removed from the list in constant time.
"""

from dataclasses import dataclass, field

from dandelionknot.decisions._budgets import UnavailableReason

# Upper bound of `Host.slots` in the schema, used until a host has reported its slots.
MAX_SLOTS = 1024


@dataclass(frozen=True, slots=True)
class TaskSize:
    """Processor cores and memory that a task declares."""

    cores: int = 1
    memory_mb: int = 1


SMALLEST_TASK = TaskSize()


@dataclass(frozen=True, slots=True, kw_only=True)
class HostChoice:
    """The host to which a task is sent, with the fields for its start message."""

    host_id: str
    address: str
    availability_zone: str
    pool: str
    pool_epoch: int


@dataclass(slots=True, eq=False)
class HostGroup:
    """Hosts of one pool, zone and size that have a free slot, in any order."""

    size: TaskSize
    free: list['HostLoad'] = field(default_factory=list)


@dataclass(slots=True, eq=False, kw_only=True)
class HostLoad:
    """Load of one host as this entry host sees it.

    `own_running` counts tasks of this entry host, `other_running` those of all others.
    `position` is the index in the free list of the group, or -1 if not in the list.
    """

    choice: HostChoice
    group: HostGroup
    slots: int
    configured_slots: int
    reported_slots: int
    configured_reason: UnavailableReason | None
    own_running: int = 0
    other_running: int = 0
    busy_until_ms: int | None = None
    full_until_ms: int | None = None
    exclusions: set[UnavailableReason] = field(default_factory=set)
    position: int = -1


def copy_load(source: HostLoad, target: HostLoad) -> None:
    """Copies the load of a host to its entry in the table of a newer version."""
    target.own_running = source.own_running
    target.other_running = source.other_running
    target.busy_until_ms = source.busy_until_ms
    target.full_until_ms = source.full_until_ms
    target.exclusions = source.exclusions
    target.reported_slots = source.reported_slots
    target.slots = min(target.configured_slots, target.reported_slots)


def update_placement(load: HostLoad) -> None:
    """Adds a host to its free list or removes it, depending on its state."""
    is_free = (
        load.configured_reason is None
        and not load.exclusions
        and load.busy_until_ms is None
        and load.own_running + load.other_running < load.slots
    )
    if is_free and load.position < 0:
        insert(load)
    elif not is_free and load.position >= 0:
        remove(load)


def insert(load: HostLoad) -> None:
    """Appends a host to the free list of its group."""
    load.position = len(load.group.free)
    load.group.free.append(load)


def remove(load: HostLoad) -> None:
    """Removes a host from the free list of its group; the last host fills its place."""
    last = load.group.free.pop()
    if last is not load:
        load.group.free[load.position] = last
        last.position = load.position
    load.position = -1
