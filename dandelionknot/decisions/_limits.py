"""Enforcement of team limits through grants.

The upper limit of a team is divided into grants. The grant of an entry host, its
holder, is the number of the team's tasks that this entry host may run at the same time.

A team's record on the platform states the grant of each holder, how many more slots
each holder requests, and the upper limit that the grants must not exceed. Records are
written by compare-and-swap and never deleted, so revisions only grow.

Four rules keep the number of running tasks within the limit:

- Only the holder itself lowers its grant, and it stops using the difference before it
  sends the write. The exceptions, `reclaim` and `adopt`, require proof that the holder
  has stopped.
- A holder uses a larger grant only after a read or the answer to a write has shown it.
  If the answer to a write was lost, the lower of the old and the new grant counts until
  a newer revision is seen. After that, the lost write cannot take effect, because its
  compare-and-swap expects an older revision.
- The limit in the record carries the configuration version of its writer. After a
  limit was lowered, an entry host starts no task until it has seen a record that states
  the limit of this version or a later one, and whose grants fit that limit. From that
  record on, no holder can increase its grant under the old limit.
- A holder id becomes invalid when its process ends or learns that it was removed from
  the member list. An entry host that restarts or joins again gets a new holder id,
  because tasks of the former holder may still run and a `reclaim` of its grant may be
  in progress.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.decisions._grant_records import (
    adopt,
    excess_of,
    held_by,
    initial_record,
    reclaim,
    with_grant,
    with_limit,
)
from dandelionknot.decisions._grant_sharing import (
    Holder,
    deadband,
    fair_target,
    transfer,
)
from dandelionknot.decisions._grant_writes import (
    WriteAllowance,
    count_write,
    initial_last_written,
    may_write,
    refill,
    writing_order,
)
from dandelionknot.messages import ErrorCode, GrantRecord, Refusal, RunState

__all__ = [
    'TRANSFER_INTERVAL_MS',
    'GrantWrite',
    'LocalGrants',
    'TeamGrant',
    'WriteAllowance',
    'adopt',
    'adopted',
    'count_write',
    'fair_target',
    'finished',
    'initial_last_written',
    'initial_record',
    'may_start',
    'may_write',
    'next_write',
    'observe_record',
    'reclaim',
    'refill',
    'set_limit',
    'set_wanted',
    'try_start',
    'write_conflicted',
    'writing_order',
]

TRANSFER_INTERVAL_MS = 200
"""Minimum time between two writes of one holder to one team's record."""

RESEND_INTERVAL_MS = 1000
"""Minimum time before a write that got no answer is sent again."""


@dataclass(slots=True)
class TeamGrant:
    """Grant state of one team at this holder.

    `granted` is the number of tasks that may run now: the grant in the newest record
    seen, less the part that a write in progress gives up. `running` counts tasks from
    `try_start` until they are known to have ended or not to have run. `wanted` is the
    number of slots that the team could use here now, including those of running tasks.
    `ceiling`, if set, further limits starts so that running tasks decrease to the
    target of the grant.
    """

    granted: int = 0
    running: int = 0
    wanted: int = 0
    upper_limit: int = 0
    limit_version: int = 0
    lowered_version: int = 0
    record: GrantRecord | None = None
    revision: int = 0
    pending: GrantRecord | None = None
    ceiling: int | None = None
    next_write_ms: int = 0
    next_transfer_ms: int = 0
    last_transfer_ms: int | None = None
    previous_transfer_ms: int | None = None
    gained_ms: int | None = None


@dataclass(slots=True)
class LocalGrants:
    """Grants of one holder, by team.

    While `stopping` is set, the holder starts no tasks and gives up unused grants.
    """

    teams_by_id: dict[str, TeamGrant] = field(default_factory=dict)
    stopping: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantWrite:
    """A record to write by compare-and-swap against the expected revision."""

    record: GrantRecord
    expected_revision: int


def set_limit(
    local: LocalGrants,
    member_id: str,
    team_id: str,
    upper_limit: int,
    version: int,
    lowered_version: int = 0,
) -> None:
    """Sets the upper limit of a team from a configuration version.

    Call it before the version is confirmed. `lowered_version` is the version in which
    the limit was last lowered. It is needed because an entry host that skipped versions
    cannot see from the values alone that the limit was raised and lowered in between.
    A version older than the known one is ignored.
    """
    team = local.teams_by_id.setdefault(team_id, TeamGrant())
    if version < team.limit_version:
        return
    if upper_limit < team.upper_limit:
        lowered_version = version
    team.lowered_version = max(team.lowered_version, lowered_version)
    team.upper_limit = upper_limit
    team.limit_version = version
    _update_granted(team, member_id)


def set_wanted(local: LocalGrants, team_id: str, wanted: int) -> None:
    """Sets how many slots the team could use here now, including running tasks."""
    local.teams_by_id.setdefault(team_id, TeamGrant()).wanted = wanted


def try_start(local: LocalGrants, team_id: str) -> Result[None, Refusal]:
    """Counts one more running task, or refuses it with `team_limit_reached`."""
    team = local.teams_by_id.get(team_id)
    if team is None or local.stopping or not may_start(team):
        return Err(_limit_refusal(team_id, team))
    team.running += 1
    return Ok(None)


def may_start(team: TeamGrant) -> bool:
    """Returns whether one more task fits into the grant, without counting it."""
    ceiling = team.granted if team.ceiling is None else team.ceiling
    return team.running < min(team.granted, ceiling)


def finished(local: LocalGrants, team_id: str) -> None:
    """Removes one task from the running count.

    Call it when the task has ended, was refused, or its lease has expired.
    """
    team = local.teams_by_id[team_id]
    if team.running == 0:
        raise AssertionError(f'team {team_id!r} has no running task to finish')
    team.running -= 1


def observe_record(
    local: LocalGrants,
    member_id: str,
    record: GrantRecord,
    revision: int,
    now_ms: int,
) -> None:
    """Updates the team from a record returned by a read, a watch or a write.

    A record that is not newer than the newest one seen is ignored. A newer record
    resolves a pending write whose answer was lost.
    """
    team = local.teams_by_id.setdefault(record.team, TeamGrant())
    if revision <= team.revision:
        return
    if held_by(record, member_id) > held_by(team.record, member_id):
        team.gained_ms = now_ms
    team.record = record
    team.revision = revision
    if team.pending is not None:
        team.next_write_ms = team.next_transfer_ms
    team.pending = None
    team.ceiling = None
    _update_granted(team, member_id)


def next_write(
    local: LocalGrants,
    member_id: str,
    team_id: str,
    now_ms: int,
    live_members: Collection[str],
    interval_ms: int = TRANSFER_INTERVAL_MS,
    resend_ms: int = RESEND_INTERVAL_MS,
) -> GrantWrite | None:
    """Returns the write to send now, if any, and stops using the grant it gives up.

    Call it after each observed record, each finished task, each change of demand and
    once a second. Send the write at once and pass its answer to `observe_record`. After
    a conflict or a lost answer, pass the result of a read instead. A write that is
    still unresolved after `resend_ms` is returned again unchanged. A longer
    `interval_ms` reduces the number of writes while the platform is slow.
    """
    team = local.teams_by_id[team_id]
    if now_ms < team.next_write_ms:
        return None
    if team.pending is None:
        holder = _holder(team, member_id, live_members, now_ms)
        team.pending = _plan_record(local, team, team_id, holder)
    if team.pending is None:
        return None
    team.next_write_ms = now_ms + max(interval_ms, resend_ms)
    team.next_transfer_ms = now_ms + interval_ms
    team.previous_transfer_ms = team.last_transfer_ms
    team.last_transfer_ms = now_ms
    _update_granted(team, member_id)
    return GrantWrite(record=team.pending, expected_revision=team.revision)


def write_conflicted(local: LocalGrants, team_id: str, retry_at_ms: int) -> None:
    """Schedules the next write for `retry_at_ms` after a compare-and-swap conflict.

    The conflicting write does not count as the last transfer. Choose `retry_at_ms` at
    random within a few hundred milliseconds, so that holders that were in conflict do
    not collide again.
    """
    team = local.teams_by_id[team_id]
    team.next_write_ms = retry_at_ms
    team.last_transfer_ms = team.previous_transfer_ms


def adopted(local: LocalGrants, team_id: str, count: int) -> None:
    """Adds tasks taken over from another holder to the running count.

    Call it once the record shows their grant at this holder. Renew the leases of these
    tasks only after this call. Otherwise the tasks could still run after a `reclaim` of
    their former holder's grant.
    """
    local.teams_by_id[team_id].running += count


def _holder(
    team: TeamGrant, member_id: str, live_members: Collection[str], now_ms: int
) -> Holder:
    return Holder(
        member_id=member_id,
        running=team.running,
        wanted=team.wanted,
        live_members=live_members,
        now_ms=now_ms,
        gained_ms=team.gained_ms,
        last_transfer_ms=team.last_transfer_ms,
    )


def _plan_record(
    local: LocalGrants, team: TeamGrant, team_id: str, holder: Holder
) -> GrantRecord | None:
    if team.record is None:
        return _first_record(team, team_id, holder)
    if local.stopping:
        return _give_up_unused(team.record, holder)
    return _plan_transfer(team, team.record, holder)


def _first_record(team: TeamGrant, team_id: str, holder: Holder) -> GrantRecord | None:
    if team.limit_version == 0:
        return None
    members = {*holder.live_members, holder.member_id}
    return initial_record(team_id, members, team.upper_limit, team.limit_version)


def _give_up_unused(record: GrantRecord, holder: Holder) -> GrantRecord | None:
    retained = min(holder.running, held_by(record, holder.member_id))
    changed = with_grant(record, holder.member_id, retained, 0)
    return None if changed == record else changed


def _plan_transfer(
    team: TeamGrant, record: GrantRecord, holder: Holder
) -> GrantRecord | None:
    updated = with_limit(
        record, team.upper_limit, team.limit_version, team.lowered_version
    )
    if updated is record and _is_satisfied(record, holder):
        team.ceiling = None
        return None
    band = deadband(updated, holder)
    target = fair_target(updated, holder, band)
    # Without the ceiling, a holder that refills each slot at once would never have an
    # unused slot to give up.
    team.ceiling = target if target < held_by(updated, holder.member_id) else None
    return transfer(record, updated, holder, target, band)


def _is_satisfied(record: GrantRecord, holder: Holder) -> bool:
    """Returns whether no transfer can be needed.

    This is the case if no holder has an open request, this holder's grant covers its
    demand, and the grants fit the limit. It avoids the cost of computing a target.
    """
    return (
        not record.requests_by_member
        and holder.wanted <= held_by(record, holder.member_id)
        and excess_of(record) <= 0
    )


def _update_granted(team: TeamGrant, member_id: str) -> None:
    record = team.record
    if record is None or _has_outdated_limit(team, record) or excess_of(record) > 0:
        team.granted = 0
        return
    team.granted = held_by(record, member_id)
    if team.pending is not None:
        team.granted = min(team.granted, held_by(team.pending, member_id))


def _has_outdated_limit(team: TeamGrant, record: GrantRecord) -> bool:
    return record.limit_version < team.lowered_version


def _limit_refusal(team_id: str, team: TeamGrant | None) -> Refusal:
    granted = team.granted if team else 0
    running = team.running if team else 0
    return Refusal(
        code=ErrorCode.TEAM_LIMIT_REACHED,
        message=(
            f'team {team_id!r} runs {running} tasks of {granted} '
            'granted to this entry host'
        ),
        run_state=RunState.NOT_RUN,
        retry_after_ms=TRANSFER_INTERVAL_MS,
    )
