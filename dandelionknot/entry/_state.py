"""State that the dispatcher task owns."""

from collections import deque
from dataclasses import dataclass, field

from dandelionknot import decisions
from dandelionknot._mailbox import Call, Mailbox
from dandelionknot.configuration import Configuration
from dandelionknot.context import Context
from dandelionknot.entry._requests import RequestTable
from dandelionknot.messages import (
    HostUsage,
    Member,
    PlatformView,
    StoredList,
    WriteRequest,
)

# Number of gaps between platform reads that are retained; the oldest are dropped.
READ_GAPS_KEPT = 1000


@dataclass(slots=True)
class Outboxes:
    """Mailboxes of the tasks that the dispatcher sends to.

    `inbox` is the dispatcher's own mailbox.
    """

    writer: Mailbox
    peers: Mailbox
    membership: Mailbox
    links: Mailbox
    changes: Mailbox
    inbox: Mailbox


@dataclass(frozen=True, slots=True)
class ReadGap:
    """Time between the sending of two successive platform reads that were answered."""

    end_ms: int
    length_ms: int


@dataclass(frozen=True, slots=True)
class AcceptanceWaiter:
    """A query that waits until a version is in force at every member."""

    call: Call
    version: int
    deadline_ms: int


@dataclass(slots=True)
class DutyState:
    """State of the fleet duties, which any member may carry out.

    `due_since_by_duty` has the time since which each duty is due for this member,
    `in_flight` the keys that this member is writing. `unresolved_map_write` is a
    slice map write whose answer was lost. After a conflict of a map write, a view
    with at least `map_resolved_at_revision` shows who owns the slices that were being
    handed over.
    """

    due_since_by_duty: dict[str, int] = field(default_factory=dict)
    in_flight: set[str] = field(default_factory=set)
    last_seen_alive_by_member: dict[str, int] = field(default_factory=dict)
    missing_since_by_member: dict[str, int] = field(default_factory=dict)
    gone_since_by_member: dict[str, int] = field(default_factory=dict)
    excluded_in_version: dict[str, int] = field(default_factory=dict)
    absent_since_by_holder: dict[str, int] = field(default_factory=dict)
    unresolved_map_write: WriteRequest | None = None
    map_resolved_at_revision: int | None = None
    change_count: int = 0


@dataclass(slots=True)
class DispatcherState:
    """State of the dispatcher; no other task reads or changes it.

    `open_running` is the number of running attempts of requests without a team, and
    `waiting_calls` that of calls to peers and of submissions to be made again.
    `waiting_to_retry` has the time at which each request is queued again, and
    `waiting_to_refuse` the time until which each refusal waits for its closing.
    `listed_epoch` and `listed_work` belong to the take-over of slices in progress.
    """

    context: Context
    member_id: str
    outboxes: Outboxes
    freshness: decisions.freshness.FreshnessState
    claims: decisions.claims.ClaimTable
    work: decisions.work.WorkState
    configuration: Configuration = field(
        default_factory=lambda: Configuration(version=0)
    )
    view: PlatformView | None = None
    members_by_id: dict[str, Member] = field(default_factory=dict)
    requests: RequestTable = field(default_factory=RequestTable)
    queues_by_service: dict[str, decisions.queueing.TeamQueues] = field(
        default_factory=dict
    )
    budgets_by_service: dict[str, decisions.retries.RetryBudget] = field(
        default_factory=dict
    )
    health_by_pool: dict[str, decisions.ejection.HealthTable] = field(
        default_factory=dict
    )
    routing: decisions.routing.RoutingTable | None = None
    zone_ramp: decisions.zones.ZoneRamp = field(
        default_factory=decisions.zones.ZoneRamp
    )
    grants: decisions.limits.LocalGrants = field(
        default_factory=decisions.limits.LocalGrants
    )
    last_grant_written: str = ''
    grants_due: bool = False
    grant_writes: decisions.limits.WriteAllowance = field(
        default_factory=decisions.limits.WriteAllowance
    )
    silent_hosts: set[str] = field(default_factory=set)
    duties: DutyState = field(default_factory=DutyState)
    read_gaps: deque[ReadGap] = field(
        default_factory=lambda: deque(maxlen=READ_GAPS_KEPT)
    )
    joined_ms: int | None = None
    was_fresh: bool = False
    taking_over: bool = False
    listed_epoch: int = 0
    listed_work: StoredList | None = None
    confirmed_since_by_version: dict[int, dict[str, int]] = field(default_factory=dict)
    acceptance_waiters: list[AcceptanceWaiter] = field(default_factory=list)
    accepted_since_by_version: dict[int, int] = field(default_factory=dict)
    usage_by_host: dict[str, HostUsage] = field(default_factory=dict)
    drain_ordered_ms_by_host: dict[str, int] = field(default_factory=dict)
    rebooted_hosts: set[str] = field(default_factory=set)
    waiting_for_claim: set[str] = field(default_factory=set)
    waiting_to_refuse: dict[str, int] = field(default_factory=dict)
    tick_count: int = 0
    open_running: int = 0
    waiting_calls: int = 0
    renew_until_ms: int = 0
    may_renew: bool = True
    waiting_to_retry: dict[str, int] = field(default_factory=dict)
    stopping: bool = False
    excluded: bool = False
    idle_waiters: list[Call] = field(default_factory=list)
    release_waiters: list[Call] = field(default_factory=list)

    @property
    def own_zone(self) -> str:
        """Returns the availability zone of this entry host."""
        return self.context.settings.availability_zone
