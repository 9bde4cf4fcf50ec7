"""The dispatcher's view of the fleet: configuration, members and hosts."""

from dandelionknot import decisions
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms
from dandelionknot.configuration import Configuration
from dandelionknot.entry._grants import adopt_limits, observe_grants
from dandelionknot.entry._host_health import forget_removed_hosts
from dandelionknot.entry._ownership import observe_ownership
from dandelionknot.entry._state import AcceptanceWaiter, DispatcherState, ReadGap
from dandelionknot.events import Event, log_event
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    AcceptanceQuery,
    ConfigurationOffer,
    HostSilent,
    HostUsage,
    ListedHostState,
    MemberJoined,
    PeerAnswered,
    Ping,
    PlatformView,
    RecordMembership,
    UpdateLinks,
    UpdatePeers,
)

# Number of newest versions whose confirmations are retained. The confirmations of
# versions that exclude a recorded member are retained in addition.
MAX_RETAINED_VERSIONS = 16


def handle_platform_view(state: DispatcherState, view: PlatformView) -> None:
    """Handles a read of the fleet's values on the platform."""
    _record_read(state, view)
    members_changed = (
        state.view is None or state.view.members_revision != view.members_revision
    )
    version = state.configuration.version
    state.view = view
    state.members_by_id = view.members_by_id
    if view.configuration is not None:
        _handle_offer(state, view.configuration, from_platform=True)
    stored_version = view.configuration.version if view.configuration else 0
    decisions.freshness.observe_platform_read(
        state.freshness,
        view.question_sent_ms,
        stored_version,
        view.members_revision,
        frozenset(view.members_by_id),
    )
    own_record = view.members_by_id.get(state.member_id)
    if own_record is not None:
        decisions.freshness.observe_confirmation(
            state.freshness,
            own_record.confirmed_version,
            own_record.confirmed_bounds or state.configuration.bounds,
        )
    _update_peers(state)
    _record_listed_hosts(state, view)
    _record_confirmations(state)
    observe_grants(state, view)
    observe_ownership(state, view)
    answer_acceptance(state)
    if members_changed or state.configuration.version != version:
        record_membership(state)


def _record_read(state: DispatcherState, view: PlatformView) -> None:
    if state.view is not None:
        gap_ms = view.question_sent_ms - state.view.question_sent_ms
        state.read_gaps.append(ReadGap(view.question_sent_ms, gap_ms))
    for member_id in view.alive_ids:
        state.duties.last_seen_alive_by_member[member_id] = view.question_sent_ms
        state.duties.missing_since_by_member.pop(member_id, None)


def _update_peers(state: DispatcherState) -> None:
    addresses_by_member = {
        member_id: member.peer_address
        for member_id, member in state.members_by_id.items()
        if member_id != state.member_id
    }
    state.outboxes.peers.send(UpdatePeers(addresses_by_member=addresses_by_member))


def _record_listed_hosts(state: DispatcherState, view: PlatformView) -> None:
    if state.routing is None:
        return
    for host_id in state.routing.hosts_by_id:
        listed = view.listed_states_by_host.get(host_id)
        decisions.routing.set_excluded(
            state.routing,
            host_id,
            decisions.budgets.UnavailableReason.LEAVING,
            listed is ListedHostState.LEAVING,
        )


def _record_confirmations(state: DispatcherState) -> None:
    """Records when each member was first seen to have confirmed recent versions."""
    now = now_ms()
    state.confirmed_since_by_version.setdefault(state.configuration.version, {})
    for version, seen in list(state.confirmed_since_by_version.items()):
        state.confirmed_since_by_version[version] = (
            decisions.acceptance.observe_confirmations(
                seen, version, state.members_by_id, now
            )
        )
    newest = sorted(state.confirmed_since_by_version)[-MAX_RETAINED_VERSIONS:]
    for version in (
        state.confirmed_since_by_version.keys() - newest - _excluding_versions(state)
    ):
        del state.confirmed_since_by_version[version]
        state.accepted_since_by_version.pop(version, None)
    for version in state.confirmed_since_by_version:
        if version not in state.accepted_since_by_version:
            if unconfirmed_members(state, version) == []:
                state.accepted_since_by_version[version] = now


def _excluding_versions(state: DispatcherState) -> set[int]:
    """Returns the versions whose confirmations prove that a member has stopped.

    If they were dropped, the proof would restart whenever more than
    `MAX_RETAINED_VERSIONS` versions were written during it, and the member would
    never be replaced.
    """
    return {
        version
        for member_id, version in state.duties.excluded_in_version.items()
        if member_id in state.members_by_id
    }


def _handle_offer(
    state: DispatcherState, offered: Configuration, *, from_platform: bool
) -> None:
    """Adopts a newer configuration, or has an older stored one overwritten."""
    known = state.configuration if state.configuration.version else None
    decision = decisions.versions.adopt(known, offered)
    if isinstance(decision, decisions.versions.Adopt):
        adopt_configuration(state, offered)
    elif isinstance(decision, decisions.versions.Republish) and from_platform:
        log_event(
            Event.CONFIGURATION_REVERSION_REFUSED,
            known=state.configuration.version,
            offered=offered.version,
        )
        state.outboxes.changes.send(
            ConfigurationOffer(configuration=state.configuration)
        )


def adopt_configuration(state: DispatcherState, configuration: Configuration) -> None:
    """Puts a newer configuration in force on this entry host.

    Limits are adopted first, so that nothing starts under an older limit after
    the version is confirmed.
    """
    now = now_ms()
    adopt_limits(state, configuration)
    state.configuration = configuration
    state.claims.bounds = configuration.bounds
    decisions.freshness.observe_adoption(state.freshness, configuration.version)
    decisions.zones.observe_zones(state.zone_ramp, configuration, now)
    state.routing = decisions.routing.RoutingTable.from_configuration(
        configuration, state.own_zone, state.routing, state.zone_ramp
    )
    forget_removed_hosts(state)
    if state.member_id in configuration.excluded_members:
        state.excluded = True
        state.stopping = True
        decisions.claims.drop_ownership(state.claims)
    log_event(Event.CONFIGURATION_ADOPTED, version=configuration.version)
    state.context.explain(
        Subject.CHANGE, str(configuration.version), 'adopted by this entry host'
    )
    _update_links(state)


def _update_links(state: DispatcherState) -> None:
    hosts = state.configuration.hosts_by_id
    state.outboxes.links.send(
        UpdateLinks(
            addresses_by_host={
                host_id: host.address for host_id, host in hosts.items()
            },
            polled_hosts=[
                host_id
                for host_id, host in hosts.items()
                if host.availability_zone == state.own_zone
            ],
            lease_ms=state.configuration.bounds.task_lease_ms,
            token_ms=state.configuration.bounds.start_token_ms,
        )
    )


def record_membership(state: DispatcherState) -> None:
    """Sends what is in force here to the task that writes this member's record."""
    state.outboxes.membership.send(
        RecordMembership(
            confirmed_version=state.configuration.version,
            confirmed_bounds=state.configuration.bounds,
            members_revision=state.view.members_revision if state.view else 0,
            may_renew=state.may_renew,
            stopping=state.stopping,
        )
    )


def update_membership(state: DispatcherState) -> None:
    """Suspends renewals of this member's lease while claims are in memory only."""
    may_renew = decisions.claims.may_renew_membership(state.claims)
    if may_renew != state.may_renew:
        state.may_renew = may_renew
        record_membership(state)


def handle_member_joined(state: DispatcherState, message: MemberJoined) -> None:
    """Records that this member's record is on the platform."""
    state.joined_ms = now_ms()
    record_membership(state)


def handle_config_offered(state: DispatcherState, message: ConfigurationOffer) -> None:
    """Adopts a newer configuration that a peer sent."""
    version = state.configuration.version
    _handle_offer(state, message.configuration, from_platform=False)
    if state.configuration.version != version:
        record_membership(state)


def handle_peer_answered(state: DispatcherState, message: PeerAnswered) -> None:
    """Records what a peer's answer to a ping says about the platform."""
    decisions.freshness.observe_pong(
        state.freshness, message.member_id, message.question_sent_ms, message.pong
    )


def answer_ping(state: DispatcherState, message: Ping) -> list[object]:
    """Returns the pong for a peer's ping, preceded by a newer configuration if any."""
    pong = decisions.freshness.answer_ping(state.freshness, now_ms())
    if pong is None:
        return []
    if message.configuration_version >= state.configuration.version:
        return [pong]
    return [ConfigurationOffer(configuration=state.configuration), pong]


def handle_host_usage(state: DispatcherState, message: HostUsage) -> None:
    """Records a usage report of a backend server, which may be routed to again."""
    state.usage_by_host[message.host_id] = message
    state.silent_hosts.discard(message.host_id)
    if state.routing is None:
        return
    host_id = message.host_id
    reason = decisions.budgets.UnavailableReason.FAILED
    decisions.routing.set_excluded(state.routing, host_id, reason, False)
    own = decisions.routing.own_running(state.routing, host_id)
    decisions.routing.set_usage(state.routing, host_id, message.usage, own)
    decisions.routing.host_reported(
        state.routing, host_id, message.usage.running, now_ms()
    )


def handle_host_silent(state: DispatcherState, message: HostSilent) -> None:
    """Excludes a backend server that does not answer from routing."""
    state.silent_hosts.add(message.host_id)
    if state.routing is not None:
        reason = decisions.budgets.UnavailableReason.FAILED
        decisions.routing.set_excluded(state.routing, message.host_id, reason, True)


def is_fresh(state: DispatcherState, now: int) -> bool:
    """Returns whether requests with a key may start, and logs when this changes."""
    bounds = state.configuration.bounds
    fresh = not state.excluded and decisions.freshness.is_fresh(
        state.freshness, bounds, now
    )
    if fresh != state.was_fresh:
        state.was_fresh = fresh
        log_event(Event.FRESHNESS_REGAINED if fresh else Event.FRESHNESS_LOST)
    return fresh


def renew_until_ms(state: DispatcherState) -> int:
    """Returns until when the leases of running tasks may be renewed.

    A member that cannot reach the platform continues to renew them for the isolation
    bound. The reclaim of its grants waits for the same time.
    """
    bounds = state.configuration.bounds
    as_of_ms = decisions.freshness.fresh_as_of_ms(
        state.freshness,
        state.configuration.version,
        state.view.members_revision if state.view else 0,
    )
    if as_of_ms is not None and not state.excluded:
        until_ms = as_of_ms + bounds.freshness_bound_ms + bounds.isolation_bound_ms
        state.renew_until_ms = max(state.renew_until_ms, until_ms)
    return state.renew_until_ms


def is_ready(state: DispatcherState) -> bool:
    """Returns whether callers should be sent to this entry host."""
    has_joined = state.joined_ms is not None and state.claims.slice_map is not None
    return state.configuration.version > 0 and has_joined and not state.stopping


def confirmations_of(state: DispatcherState, version: int) -> dict[str, int]:
    """Returns when each member was first seen to have confirmed a version."""
    seen = state.confirmed_since_by_version.get(version)
    if seen is None:
        seen = decisions.acceptance.observe_confirmations(
            {}, version, state.members_by_id, now_ms()
        )
        state.confirmed_since_by_version[version] = seen
    return seen


def unconfirmed_members(state: DispatcherState, version: int) -> list[str] | None:
    """Returns the members that may still act on an older version.

    Returns None if this entry host has not adopted the version yet or has no view.
    """
    if version > state.configuration.version or state.view is None:
        return None
    seen = confirmations_of(state, version)
    gone = set(state.configuration.gone_members)
    members_by_id = {
        member_id: member
        for member_id, member in state.members_by_id.items()
        if member_id not in gone
    }
    observed = decisions.acceptance.Observation(
        version=version,
        members_by_id=members_by_id,
        first_seen_confirmed_ms_by_member=seen,
        bounds=state.configuration.bounds,
        now_ms=now_ms(),
    )
    outcome = decisions.acceptance.acceptance(observed)
    if isinstance(outcome, decisions.acceptance.Accepted):
        return []
    return list(outcome.names)


def query_acceptance(
    state: DispatcherState, call: Call, message: AcceptanceQuery
) -> None:
    """Answers a query for the members that have not confirmed a version.

    Waits up to `wait_ms` of the message for all of them to confirm it.
    """
    deadline_ms = now_ms() + message.wait_ms
    state.acceptance_waiters.append(
        AcceptanceWaiter(call, message.version, deadline_ms)
    )
    answer_acceptance(state)


def answer_acceptance(state: DispatcherState) -> None:
    """Answers the queries whose version is accepted or whose wait has ended."""
    now = now_ms()
    waiting = []
    for waiter in state.acceptance_waiters:
        names = unconfirmed_members(state, waiter.version)
        if names == [] or now >= waiter.deadline_ms:
            waiter.call.answer(names if names is not None else ['not known'])
        else:
            waiting.append(waiter)
    state.acceptance_waiters = waiting
