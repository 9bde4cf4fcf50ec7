"""Grants of this entry host: adopts limits, reads and writes grant records."""

from dandelionknot import codec, decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import Configuration
from dandelionknot.entry._platform_sync import GRANTS_PREFIX
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import (
    GrantRecord,
    PlatformView,
    ReadFinished,
    ReadRequest,
    WriteFinished,
    WriteOutcome,
    WriteRequest,
)
from dandelionknot.metrics import Counter

# Upper limit of the random wait before a write that conflicted is repeated.
CONFLICT_RETRY_MS = 300
# Limits the grant writes of all members together. The platform accepts several
# hundred writes per second, and claims need most of them.
FLEET_GRANT_WRITES_PER_SECOND = 100


def adopt_limits(state: DispatcherState, configuration: Configuration) -> None:
    """Puts the upper limits of a configuration in force for starts made here."""
    for team_id, team in configuration.teams_by_id.items():
        decisions.limits.set_limit(
            state.grants,
            state.member_id,
            team_id,
            team.upper_limit,
            configuration.version,
            team.limit_lowered_version,
        )
    for team_id in state.grants.teams_by_id.keys() - configuration.teams_by_id.keys():
        decisions.limits.set_limit(
            state.grants, state.member_id, team_id, 0, configuration.version
        )


def observe_grants(state: DispatcherState, view: PlatformView) -> None:
    """Updates the grants of this member from the grant records of a view."""
    now = now_ms()
    for team_id, record in view.grants_by_team.items():
        revision = view.grant_revisions_by_team[team_id]
        decisions.limits.observe_record(
            state.grants, state.member_id, record, revision, now
        )
    state.grants_due = True


def live_members(state: DispatcherState) -> list[str]:
    """Returns the members that may be given grants."""
    if state.view is None:
        return []
    excluded = set(state.configuration.excluded_members)
    alive = set(state.view.alive_ids) & state.members_by_id.keys()
    return sorted(
        member_id
        for member_id in alive - excluded
        if state.members_by_id[member_id].joined_revision > 0
    )


def active_members(state: DispatcherState) -> list[str]:
    """Returns the live members that are not stopping.

    They may be given slices and carry out the fleet duties.
    """
    return [
        member_id
        for member_id in live_members(state)
        if not state.members_by_id[member_id].stopping
    ]


def update_grants(state: DispatcherState, may_create: bool = True) -> None:
    """Writes the records of teams whose grant to this member should change.

    Called once a second, and at the next tick after demand, a record or a running
    task has changed. Only the call once a second may create records: a member that
    has just joined does not see members that start at the same time, and would take
    the whole limit. All members together write at most `FLEET_GRANT_WRITES_PER_SECOND`.
    """
    state.grants_due = False
    now = now_ms()
    members = live_members(state)
    if state.member_id not in members:
        return
    wanted_by_team = wanted_slots(state)
    allowance = state.grant_writes
    decisions.limits.refill(
        allowance, FLEET_GRANT_WRITES_PER_SECOND / len(members), now
    )
    for team_id in _writing_order(state):
        if not may_create and not _has_record(state, team_id):
            continue
        if not decisions.limits.may_write(allowance):
            state.grants_due = True
            return
        decisions.limits.set_wanted(
            state.grants, team_id, wanted_by_team.get(team_id, 0)
        )
        write = decisions.limits.next_write(
            state.grants, state.member_id, team_id, now, members
        )
        if write is None:
            continue
        decisions.limits.count_write(allowance)
        state.last_grant_written = team_id
        state.context.metrics.count(Counter.GRANT_WRITES)
        state.outboxes.writer.send(
            WriteRequest(
                key=GRANTS_PREFIX + team_id,
                expected_revision=write.expected_revision,
                value=codec.encode_json(write.record).decode(),
            )
        )


def _has_record(state: DispatcherState, team_id: str) -> bool:
    team = state.grants.teams_by_id.get(team_id)
    return team is not None and team.record is not None


def _writing_order(state: DispatcherState) -> list[str]:
    team_ids = list(state.configuration.teams_by_id)
    if not state.last_grant_written:
        state.last_grant_written = decisions.limits.initial_last_written(
            team_ids, state.member_id
        )
    return decisions.limits.writing_order(team_ids, state.last_grant_written)


def wanted_slots(state: DispatcherState) -> dict[str, int]:
    """Returns per team the number of running tasks and of waiting requests."""
    wanted = {
        team_id: grant.running for team_id, grant in state.grants.teams_by_id.items()
    }
    for queues in state.queues_by_service.values():
        for team_id in queues.teams_by_id:
            waiting = decisions.queueing.counts(queues, team_id)
            count = waiting.urgent + waiting.overnight
            wanted[team_id] = wanted.get(team_id, 0) + count
    return wanted


def handle_grant_written(state: DispatcherState, message: WriteFinished) -> None:
    """Adopts a record that was written; after a conflict or lost answer, reads it."""
    team_id = message.request.key.removeprefix(GRANTS_PREFIX)
    if message.outcome is WriteOutcome.WRITTEN:
        decoded = codec.decode_json(
            message.request.value or '', GrantRecord, message.request.key
        )
        decisions.limits.observe_record(
            state.grants,
            state.member_id,
            decoded.unwrap(),
            message.revision,
            now_ms(),
        )
        return
    if message.outcome is WriteOutcome.CONFLICT:
        retry_at_ms = now_ms() + int(CONFLICT_RETRY_MS * state.context.random())
        decisions.limits.write_conflicted(state.grants, team_id, retry_at_ms)
    state.outboxes.writer.send(ReadRequest(key=message.request.key))


def handle_grant_read(state: DispatcherState, message: ReadFinished) -> None:
    """Adopts a record that was read back after a conflict or a lost answer."""
    if message.found is None or message.found.revision == 0:
        return
    decoded = codec.decode_json(message.found.value, GrantRecord, message.key)
    if decoded.is_ok():
        decisions.limits.observe_record(
            state.grants,
            state.member_id,
            decoded.unwrap(),
            message.found.revision,
            now_ms(),
        )
