"""Fleet duties: slices, stopped members, host moves and maintenance plans.

Any member may carry out a duty. The active member with the lowest id does it at
once; the others do it only if it stays undone, each after a longer wait, so that
they do not all write at the same time. Every result is written by
compare-and-swap, so two members that act at the same time do no harm.
"""

from dandelionknot import codec, decisions
from dandelionknot._mailbox import Call
from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.entry._fleet_steps import next_fleet_changes, with_excluded_members
from dandelionknot.entry._fleet_view import confirmations_of
from dandelionknot.entry._grants import active_members, update_grants
from dandelionknot.entry._ownership import (
    release_slices,
    repeat_map_write,
    write_slices,
)
from dandelionknot.entry._platform_sync import (
    ALIVE_PREFIX,
    GRANTS_PREFIX,
    MEMBERS_PREFIX,
    SLICES_KEY,
)
from dandelionknot.entry._state import DispatcherState
from dandelionknot.events import Event, log_event
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    ChangeFinished,
    FleetChange,
    FleetStep,
    GrantRecord,
    Member,
    OperatorChangeWritten,
    PlatformView,
    SliceMap,
    WaitUntilReleased,
    WriteRequest,
)

# Added to the wait of a member before a duty, for each active member with a lower id.
TURN_DELAY_MS = 3000
# A member is excluded once its liveness key has been missing for this time.
DEAD_AFTER_MS = 5000
# Wait before this member repeats a duty that is still undone.
RETRY_MS = 5000


def run_duties(state: DispatcherState) -> None:
    """Carries out the duties that are due; called about once a second while fresh."""
    members = active_members(state)
    if state.view is None or state.member_id not in members:
        return
    repeat_map_write(state)
    _record_members(state)
    rank = members.index(state.member_id)
    _assign_slices(state, members, rank)
    _exclude_dead(state, rank)
    _clean_up_excluded(state, rank)

    def is_my_turn(duty: str) -> bool:
        return _is_my_turn(state, duty, rank)

    for change in next_fleet_changes(state, is_my_turn):
        duty = f'{change.step}:{change.subject}:{state.configuration.version}'
        if _is_my_turn(state, duty, rank):
            send_change(state, change)


def _is_my_turn(state: DispatcherState, duty: str, rank: int) -> bool:
    """Returns whether this member should carry out a duty now.

    If so, also records that the duty is due again for this member after `RETRY_MS`.
    """
    now = now_ms()
    since = state.duties.due_since_by_duty.setdefault(duty, now)
    if now - since < rank * TURN_DELAY_MS:
        return False
    state.duties.due_since_by_duty[duty] = now + RETRY_MS
    return now >= since


def send_change(state: DispatcherState, change: FleetChange) -> None:
    """Sends a change of a fleet duty to the task that writes changes."""
    state.context.explain(
        Subject.CHANGE, change.change_id, f'{change.step} by {state.member_id}'
    )
    state.outboxes.changes.send(change)


def new_change_id(state: DispatcherState) -> str:
    """Returns a change id that no other member or lifetime of a member uses."""
    state.duties.change_count += 1
    name = state.member_id.replace('.', '-')
    return f'{name}-{state.duties.change_count}'[-63:].lstrip('-')


def _record_members(state: DispatcherState) -> None:
    """Records when members were first seen missing, gone or without a record.

    Also records the version in which a member was first seen excluded.
    """
    now = now_ms()
    assert state.view is not None
    alive = set(state.view.alive_ids)
    duties = state.duties
    for member_id in state.members_by_id:
        if member_id not in alive:
            duties.missing_since_by_member.setdefault(member_id, now)
    for member_id in state.configuration.excluded_members:
        duties.excluded_in_version.setdefault(member_id, state.configuration.version)
    for member_id in state.configuration.gone_members:
        duties.gone_since_by_member.setdefault(member_id, now)
    for holder in _grant_holders(state.view) - state.members_by_id.keys():
        duties.absent_since_by_holder.setdefault(holder, now)


def _exclude_dead(state: DispatcherState, rank: int) -> None:
    """Excludes members whose liveness key has been missing for `DEAD_AFTER_MS`."""
    now = now_ms()
    excluded = set(state.configuration.excluded_members)
    dead = [
        member_id
        for member_id, since in state.duties.missing_since_by_member.items()
        if member_id in state.members_by_id
        and member_id not in excluded
        and now - since >= DEAD_AFTER_MS
    ]
    if dead and _is_my_turn(state, f'exclude:{",".join(sorted(dead))}', rank):
        send_change(
            state,
            FleetChange(
                change_id=new_change_id(state),
                step=FleetStep.EXCLUDE_MEMBERS,
                subject=','.join(sorted(dead)),
                configuration=with_excluded_members(state.configuration, sorted(dead)),
            ),
        )


def stopped_since_ms(state: DispatcherState, member_id: str) -> int | None:
    """Returns when this member learned that an excluded member stops, or None.

    The first of these proofs that exists counts: operators declared the member gone,
    it confirmed a version that excludes it, or other members that it knows confirmed
    that version. In the last case, the earliest of these confirmations counts, and the
    excluded member cannot stay fresh without reading the version.
    """
    if member_id in state.configuration.gone_members:
        return state.duties.gone_since_by_member.get(member_id)
    version = state.duties.excluded_in_version.get(member_id)
    member = state.members_by_id.get(member_id)
    if version is None or member is None:
        return None
    seen = confirmations_of(state, version)
    if member_id in seen:
        return seen[member_id]
    times = [
        since
        for witness_id, since in seen.items()
        if _is_known_to(state.members_by_id.get(witness_id), member)
    ]
    return min(times, default=None)


def _is_known_to(witness: Member | None, member: Member) -> bool:
    return witness is not None and (
        0 < witness.joined_revision <= member.members_revision
    )


def _has_stopped(state: DispatcherState, member_id: str) -> bool:
    """Returns whether a slice owner is proven to accept and start no requests."""
    if member_id not in state.members_by_id:
        return True
    since = stopped_since_ms(state, member_id)
    proof_ms = decisions.slices.stop_proof_ms(state.configuration.bounds)
    return since is not None and now_ms() - since > proof_ms


def _assign_slices(state: DispatcherState, members: list[str], rank: int) -> None:
    assert state.view is not None
    current = state.view.slices
    goal = decisions.slices.assign_slices(members, current)
    if current is None:
        if _is_my_turn(state, 'first slices', rank):
            write_slices(state, goal)
        return
    permitted = decisions.slices.permitted_map(
        current, goal, lambda index, owner: _has_stopped(state, owner)
    )
    if permitted.epoch != current.epoch:
        if _is_my_turn(state, f'slices:{current.epoch}', rank):
            write_slices(state, _mark_in_doubt(state, current, permitted))
        return
    if goal.epoch != current.epoch:
        release_slices(state, goal, everything=False)


def _mark_in_doubt(
    state: DispatcherState, current: SliceMap, permitted: SliceMap
) -> SliceMap:
    doubtful = [
        index
        for index, (before, after) in enumerate(
            zip(current.owners, permitted.owners, strict=True)
        )
        if before != after and before and not _trusts_log(state, before)
    ]
    return decisions.slices.mark_in_doubt(permitted, doubtful, unix_ms())


def _trusts_log(state: DispatcherState, former_owner: str) -> bool:
    """Returns whether this member knows that a former owner's claim log is complete.

    This member must have joined before the former owner last renewed its lease. Since
    then, it must have read the platform without a gap so long that the former owner
    may have started requests with claims in memory only.
    """
    seen_ms = state.duties.last_seen_alive_by_member.get(former_owner)
    if seen_ms is None or state.joined_ms is None:
        return False
    renewal_after_ms = seen_ms - state.context.settings.member_lease_ms
    gaps = [gap.length_ms for gap in state.read_gaps if gap.end_ms > renewal_after_ms]
    return decisions.slices.trusts_claim_log(
        member_since_ms=state.joined_ms,
        renewal_after_ms=renewal_after_ms,
        longest_gap_ms=max(gaps, default=0),
        bounds=state.configuration.bounds,
    )


def _clean_up_excluded(state: DispatcherState, rank: int) -> None:
    """Reclaims the grants of stopped holders and deletes their membership records."""
    assert state.view is not None
    _reclaim_grants(state, state.view, rank)
    for member_id in state.configuration.excluded_members:
        if member_id in state.view.alive_ids:
            continue
        if _may_delete_record(state, state.view, member_id) and _is_my_turn(
            state, f'delete:{member_id}', rank
        ):
            _delete_record(state, member_id)


def _grant_holders(view: PlatformView) -> set[str]:
    """Returns all members that a grant record names, with a grant or a request."""
    return {
        holder
        for record in view.grants_by_team.values()
        for holder in (*record.grants_by_member, *record.requests_by_member)
    }


def _reclaim_grants(state: DispatcherState, view: PlatformView, rank: int) -> None:
    now = now_ms()
    bounds = state.configuration.bounds
    for team_id, record in view.grants_by_team.items():
        for holder in {*record.grants_by_member, *record.requests_by_member}:
            since = _holder_stopped_since_ms(state, holder)
            if since is None:
                continue
            freed = decisions.limits.reclaim(record, holder, since, bounds, now)
            if freed is None:
                continue
            if _is_my_turn(state, f'reclaim:{team_id}:{holder}', rank):
                log_event(Event.GRANT_RECLAIMED, team=team_id, holder=holder)
                _write_grants(state, view, freed)


def _write_grants(
    state: DispatcherState, view: PlatformView, record: GrantRecord
) -> None:
    state.outboxes.writer.send(
        WriteRequest(
            key=GRANTS_PREFIX + record.team,
            expected_revision=view.grant_revisions_by_team[record.team],
            value=codec.encode_json(record).decode(),
        )
    )


def _may_delete_record(
    state: DispatcherState, view: PlatformView, member_id: str
) -> bool:
    """Returns whether an excluded member has stopped and has no grants or slices.

    For a member that operators declared gone or that confirmed its exclusion, the
    proof of `_has_stopped` is sufficient. For any other member, the wait also includes
    the time for which it serves open queues while it cannot reach the platform.
    """
    member = state.members_by_id.get(member_id)
    version = state.duties.excluded_in_version.get(member_id)
    if member is None or version is None:
        return False
    holds_grants = member_id in _grant_holders(view)
    owns_slices = view.slices is not None and member_id in view.slices.owners
    is_gone = member_id in state.configuration.gone_members
    if is_gone or member.confirmed_version >= version:
        is_free = not holds_grants and not owns_slices
        return is_free and _has_stopped(state, member_id)
    observed = decisions.acceptance.Observation(
        version=version,
        members_by_id=state.members_by_id,
        first_seen_confirmed_ms_by_member=confirmations_of(state, version),
        bounds=state.configuration.bounds,
        now_ms=now_ms(),
    )
    return decisions.acceptance.may_delete_record(
        observed, member_id, holds_grants=holds_grants, owns_slices=owns_slices
    ).is_ok()


def _holder_stopped_since_ms(state: DispatcherState, holder: str) -> int | None:
    if holder in state.members_by_id:
        return stopped_since_ms(state, holder)
    return state.duties.absent_since_by_holder.get(holder)


def _delete_record(state: DispatcherState, member_id: str) -> None:
    log_event(Event.MEMBER_RECORD_DELETED, member_id=member_id)
    assert state.view is not None
    for prefix in (MEMBERS_PREFIX, ALIVE_PREFIX):
        revision = state.view.member_revisions_by_key.get(prefix + member_id, 0)
        if revision:
            state.outboxes.writer.send(
                WriteRequest(
                    key=prefix + member_id, expected_revision=revision, value=None
                )
            )


def handle_change_finished(state: DispatcherState, message: ChangeFinished) -> None:
    """Records in the journal how a change of a fleet duty ended.

    A duty that is still undone is due again after `RETRY_MS`.
    """
    state.context.explain(
        Subject.CHANGE,
        message.report.change_id,
        f'{message.step.step} {message.report.outcome}',
        message.report.message,
    )
    state.context.explain(
        Subject.HOST,
        message.step.subject,
        f'{message.step.step} {message.report.outcome}',
        message.report.message,
    )


def handle_operator_change(
    state: DispatcherState, message: OperatorChangeWritten
) -> None:
    """Records in the journal who made a change, under its id and its zone."""
    edit = message.change.edit
    what = f'{edit.kind.value} by operator {message.operator_id}'
    for subject_id in (message.change.change_id, edit.availability_zone):
        if subject_id:
            state.context.explain(Subject.CHANGE, subject_id, what, message.note)


def release_all_slices(state: DispatcherState) -> None:
    """Releases all slices to the other active members while this one stops."""
    if SLICES_KEY in state.duties.in_flight:
        return
    repeat_map_write(state)
    if state.view is None or state.view.slices is None or not state.claims.owned_slices:
        return
    others = [each for each in active_members(state) if each != state.member_id]
    if others:
        goal = decisions.slices.assign_slices(others, state.view.slices)
        release_slices(state, goal, everything=True)


def begin_release_everything(
    state: DispatcherState, call: Call, message: WaitUntilReleased
) -> None:
    """Starts to release all slices and grants; answers the call once none are left."""
    state.grants.stopping = True
    state.release_waiters.append(call)
    release_all_slices(state)
    update_grants(state)


def answer_released(state: DispatcherState) -> None:
    """Answers the waiting calls once this member has no grants and no slices."""
    granted = any(team.granted for team in state.grants.teams_by_id.values())
    if granted or state.claims.owned_slices:
        return
    for waiter in state.release_waiters:
        waiter.answer(True)
    state.release_waiters.clear()
