"""What the dispatcher knows of the fleet: configuration, members, hosts."""

from dandelionknot._state import DispatcherState
from dandelionknot.clock import now_ms
from dandelionknot.configuration import Configuration
from dandelionknot.events import Event, log_event
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    ConfigurationOffer,
    HostSilent,
    HostUsage,
    MemberJoined,
    PeerAnswered,
    Ping,
    PlatformView,
    Pong,
    RecordMembership,
    UpdateLinks,
    UpdatePeers,
)


def platform_view(state: DispatcherState, view: PlatformView) -> None:
    """Adopts what the platform holds."""
    state.platform_read_sent_ms = view.question_sent_ms
    members_changed = (
        state.view is None or state.view.members_revision != view.members_revision
    )
    state.view = view
    state.members_by_id = view.members_by_id
    version = state.configuration.version
    if view.configuration is not None and view.configuration.version > version:
        adopt_configuration(state, view.configuration)
    state.outboxes.peers.send(
        UpdatePeers(
            addresses_by_member={
                member_id: member.peer_address
                for member_id, member in view.members_by_id.items()
                if member_id != state.member_id
            }
        )
    )
    if members_changed or state.configuration.version != version:
        record_membership(state)


def adopt_configuration(state: DispatcherState, configuration: Configuration) -> None:
    """Puts a newer configuration in force."""
    state.configuration = configuration
    log_event(Event.CONFIGURATION_ADOPTED, version=configuration.version)
    state.context.explain(
        Subject.CHANGE, str(configuration.version), 'adopted by this entry host'
    )
    state.outboxes.links.send(
        UpdateLinks(
            addresses_by_host={
                host_id: host.address
                for host_id, host in configuration.hosts_by_id.items()
            },
            polled_hosts=[
                host_id
                for host_id, host in configuration.hosts_by_id.items()
                if host.availability_zone == state.own_zone
            ],
            lease_ms=configuration.bounds.task_lease_ms,
            token_ms=configuration.bounds.start_token_ms,
        )
    )


def record_membership(state: DispatcherState) -> None:
    """Has this member's record say what is in force here."""
    state.outboxes.membership.send(
        RecordMembership(
            confirmed_version=state.configuration.version,
            members_revision=state.view.members_revision if state.view else 0,
        )
    )


def member_joined(state: DispatcherState, message: MemberJoined) -> None:
    """Notes that this member is recorded."""
    state.joined = True


def config_offered(state: DispatcherState, message: ConfigurationOffer) -> None:
    """Adopts a newer configuration that a peer sent."""
    if message.configuration.version > state.configuration.version:
        adopt_configuration(state, message.configuration)
        record_membership(state)


def peer_answered(state: DispatcherState, message: PeerAnswered) -> None:
    """Notes what a peer knows."""


def answer_ping(state: DispatcherState, message: Ping) -> list[object]:
    """Tells a peer what this member knows, with a newer configuration if it has one."""
    now = now_ms()
    sent_ms = state.platform_read_sent_ms
    pong = Pong(
        configuration_version=state.configuration.version,
        members_revision=state.view.members_revision if state.view else 0,
        platform_age_ms=None if sent_ms is None else now - sent_ms,
    )
    if message.configuration_version >= state.configuration.version:
        return [pong]
    return [ConfigurationOffer(configuration=state.configuration), pong]


def host_usage(state: DispatcherState, message: HostUsage) -> None:
    """Notes that a backend server answers."""
    state.silent_hosts.discard(message.host_id)


def host_silent(state: DispatcherState, message: HostSilent) -> None:
    """Notes that a backend server does not answer."""
    state.silent_hosts.add(message.host_id)


def is_ready(state: DispatcherState) -> bool:
    """Tells whether callers should be sent to this entry host."""
    return state.configuration.version > 0 and state.joined and not state.stopping
