"""State of the dispatcher task."""

from collections import deque
from dataclasses import dataclass, field

from dandelionknot._mailbox import Call, Mailbox
from dandelionknot._requests import RequestTable
from dandelionknot.configuration import Configuration
from dandelionknot.context import Context
from dandelionknot.messages import Member, PlatformView


@dataclass(slots=True)
class Outboxes:
    """Mailboxes of the tasks that the dispatcher sends to."""

    writer: Mailbox
    peers: Mailbox
    membership: Mailbox
    links: Mailbox


@dataclass(slots=True)
class DispatcherState:
    """All that the dispatcher knows; no other task reads or changes it."""

    context: Context
    incarnation: str
    outboxes: Outboxes
    configuration: Configuration = field(
        default_factory=lambda: Configuration(version=0)
    )
    view: PlatformView | None = None
    members_by_id: dict[str, Member] = field(default_factory=dict)
    requests: RequestTable = field(default_factory=RequestTable)
    queues_by_service: dict[str, deque[str]] = field(default_factory=dict)
    running_by_host: dict[str, int] = field(default_factory=dict)
    silent_hosts: set[str] = field(default_factory=set)
    joined: bool = False
    stopping: bool = False
    idle_waiters: list[Call] = field(default_factory=list)
    platform_read_sent_ms: int | None = None

    @property
    def member_id(self) -> str:
        """Id of this entry host."""
        return self.context.settings.member_id

    @property
    def own_zone(self) -> str:
        """Availability zone of this entry host."""
        return self.context.settings.availability_zone
