"""Bounded freshness: how recently this host's configuration was the latest one.

The age is counted from the time at which a question was sent, never from the time
at which its answer arrived, so answers that were delayed by a pause of the process
do not make it younger. Every time is a reading of the entry host's own monotonic
clock, in milliseconds, which also advances while the machine is suspended.
"""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import ErrorCode, Pong, Refusal, RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformRead:
    """A read of the platform: when it was sent and which version it returned."""

    question_sent_ms: int
    configuration_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerAnswer:
    """A peer's pong and when its ping was sent."""

    question_sent_ms: int
    pong: Pong


@dataclass(slots=True, kw_only=True)
class FreshnessState:
    """Evidence of freshness that one entry host has; only this module changes it.

    `confirmed_version` and `confirmed_bounds` are stored in this host's membership
    record on the platform. `newest_read_version` is the newest version that any
    read returned, adopted or not.
    """

    member_id: str
    configuration_version: int | None = None
    confirmed_version: int | None = None
    confirmed_bounds: FleetBounds | None = None
    member_ids: frozenset[str] = frozenset()
    members_revision: int = 0
    newest_read_version: int = 0
    platform_read: PlatformRead | None = None
    answers_by_member: dict[str, PeerAnswer] = field(default_factory=dict)


def observe_adoption(state: FreshnessState, configuration_version: int) -> None:
    """Records that the entry host now acts on this version; older ones are ignored."""
    known = state.configuration_version
    if known is None or configuration_version > known:
        state.configuration_version = configuration_version


def observe_confirmation(
    state: FreshnessState, configuration_version: int, bounds: FleetBounds
) -> None:
    """Records that the platform stored these values in this host's record."""
    state.confirmed_version = configuration_version
    state.confirmed_bounds = bounds


def observe_platform_read(
    state: FreshnessState,
    question_sent_ms: int,
    configuration_version: int,
    members_revision: int,
    member_ids: frozenset[str],
) -> None:
    """Records a read of the member list followed by one of the configuration.

    The list must be read first, and `question_sent_ms` is when its read was sent: a
    list without a departed member must not be paired with a version older than the
    one that this member had confirmed. A newer version must be passed to
    `observe_adoption` first.

    A version older than this host's shows that the platform was reset to an older
    state or that the answer is old. It is no evidence of freshness, but the member
    list is still used.
    """
    state.newest_read_version = max(state.newest_read_version, configuration_version)
    if members_revision > state.members_revision:
        state.members_revision = members_revision
        state.member_ids = frozenset(member_ids)
        _drop_departed(state)
    if configuration_version < (state.configuration_version or 0):
        return
    known = state.platform_read
    if known is None or question_sent_ms > known.question_sent_ms:
        state.platform_read = PlatformRead(
            question_sent_ms=question_sent_ms,
            configuration_version=configuration_version,
        )


def observe_pong(
    state: FreshnessState, member_id: str, question_sent_ms: int, pong: Pong
) -> None:
    """Records a peer's answer; answers to older questions are ignored."""
    known = state.answers_by_member.get(member_id)
    if known is not None and known.question_sent_ms >= question_sent_ms:
        return
    answer = PeerAnswer(question_sent_ms=question_sent_ms, pong=pong)
    state.answers_by_member[member_id] = answer


def answer_ping(state: FreshnessState, now_ms: int) -> Pong | None:
    """Returns the answer to a peer's ping, or None before any configuration.

    The age stays None until this incarnation has read the platform itself: a
    restarted member may have confirmed a newer version than the one that it
    received from a peer.
    """
    if state.configuration_version is None:
        return None
    read_ms = _platform_as_of_ms(state, state.configuration_version)
    known = read_ms is not None and read_ms <= now_ms
    return Pong(
        configuration_version=state.configuration_version,
        members_revision=state.members_revision,
        platform_age_ms=now_ms - read_ms if known and read_ms is not None else None,
    )


def fresh_as_of_ms(
    state: FreshnessState, configuration_version: int, members_revision: int
) -> int | None:
    """Returns the latest time at which this version is known to have been current.

    None means never. It is also returned for an entry host that is not in the
    member list that it read, since no change would wait for it.
    """
    if state.member_id not in state.member_ids:
        return None
    times_ms = [
        _platform_as_of_ms(state, configuration_version),
        _peer_as_of_ms(state, configuration_version),
        _full_round_as_of_ms(state, configuration_version, members_revision),
    ]
    return max((time_ms for time_ms in times_ms if time_ms is not None), default=None)


def is_fresh(state: FreshnessState, bounds: FleetBounds, now_ms: int) -> bool:
    """Returns whether keyed requests may start on this host's configuration.

    `bounds` are those of this host's configuration. Longer bounds apply only once
    this host's record contains them, since other members wait only as long as the
    record says. A clock that went backwards makes the state not fresh.
    """
    age_ms = _age_ms(state, now_ms)
    return age_ms is not None and 0 <= age_ms < _freshness_limit_ms(state, bounds)


def may_start(
    state: FreshnessState,
    bounds: FleetBounds,
    is_open_queue: bool,
    is_own_zone: bool,
    now_ms: int,
) -> Result[None, Refusal]:
    """Decides whether freshness permits a start now.

    Open queues in this host's zone continue for `isolation_bound_ms` beyond the
    freshness bound, on a version that this host's record confirms. A member whose
    record names an older version may have been deleted from the member list, after
    which changes are accepted without waiting for it.
    """
    if is_fresh(state, bounds, now_ms):
        return Ok(None)
    if is_open_queue and is_own_zone and _is_within_isolation(state, bounds, now_ms):
        return Ok(None)
    message = 'this entry host cannot confirm that its configuration is current'
    return Err(
        Refusal(
            code=ErrorCode.CONFIGURATION_NOT_FRESH,
            message=message,
            run_state=RunState.NOT_RUN,
        )
    )


def _is_within_isolation(
    state: FreshnessState, bounds: FleetBounds, now_ms: int
) -> bool:
    if state.confirmed_version != state.configuration_version:
        return False
    age_ms = _age_ms(state, now_ms)
    return age_ms is not None and 0 <= age_ms < _isolation_limit_ms(state, bounds)


def _freshness_limit_ms(state: FreshnessState, bounds: FleetBounds) -> int:
    confirmed = state.confirmed_bounds or bounds
    return min(bounds.freshness_bound_ms, confirmed.freshness_bound_ms)


def _isolation_limit_ms(state: FreshnessState, bounds: FleetBounds) -> int:
    confirmed = state.confirmed_bounds or bounds
    isolation_ms = min(bounds.isolation_bound_ms, confirmed.isolation_bound_ms)
    return _freshness_limit_ms(state, bounds) + isolation_ms


def _age_ms(state: FreshnessState, now_ms: int) -> int | None:
    version = state.configuration_version
    if version is None:
        return None
    as_of_ms = fresh_as_of_ms(state, version, state.members_revision)
    return None if as_of_ms is None else now_ms - as_of_ms


def _platform_as_of_ms(state: FreshnessState, version: int) -> int | None:
    read = state.platform_read
    if read is None or read.configuration_version > version:
        return None
    return read.question_sent_ms


def _peer_as_of_ms(state: FreshnessState, version: int) -> int | None:
    times_ms = [
        answer.question_sent_ms - answer.pong.platform_age_ms
        for answer in state.answers_by_member.values()
        if answer.pong.platform_age_ms is not None
        and answer.pong.configuration_version <= version
    ]
    return max(times_ms, default=None)


def _full_round_as_of_ms(
    state: FreshnessState, version: int, members_revision: int
) -> int | None:
    """Returns when the oldest question of a full round of answers was sent.

    In a full round, every peer has read the platform and answered, and no answer names
    a newer configuration version or member list. None means that there is no full
    round, for example because the member has no peers.
    """
    peer_ids = state.member_ids - {state.member_id}
    answers = state.answers_by_member
    if not peer_ids or not peer_ids <= answers.keys():
        return None
    if state.newest_read_version > version:
        return None
    for answer in answers.values():
        if answer.pong.configuration_version > version:
            return None
        if answer.pong.members_revision > members_revision:
            return None
    if any(answers[peer_id].pong.platform_age_ms is None for peer_id in peer_ids):
        return None
    return min(answers[peer_id].question_sent_ms for peer_id in peer_ids)


def _drop_departed(state: FreshnessState) -> None:
    departed = state.answers_by_member.keys() - state.member_ids
    for member_id in departed:
        del state.answers_by_member[member_id]
