"""Moves of hosts between pools.

A move has three steps:

- `begin_move` records the move, after which entry hosts start no tasks on the host.
- `confirm_drained` records that no task runs there and none can start any more.
- `assign` gives the host its new pool.

Each function returns a new `Configuration`, which the caller writes by
compare-and-swap as exactly the next version and with its own change id. If nothing
has to change, for example when a call is repeated after a lost answer, the function
returns the very configuration that was passed in, and nothing needs to be written.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from result import Err, Ok, Result

from dandelionknot.configuration import (
    Configuration,
    Host,
    HostMove,
    HostState,
    MovePhase,
    QueueAccess,
)
from dandelionknot.messages import UsageReport


class MoveErrorKind(StrEnum):
    """Why a step of a move is refused."""

    HOST_NOT_FOUND = 'host_not_found'
    POOL_NOT_FOUND = 'pool_not_found'
    SAME_POOL = 'same_pool'
    HOST_NOT_ACTIVE = 'host_not_active'
    ALREADY_MOVING = 'already_moving'
    NOT_MOVING = 'not_moving'
    OTHER_MOVE = 'other_move'
    NOT_ACCEPTED = 'not_accepted'
    START_MAY_ARRIVE = 'start_may_arrive'
    STILL_RUNNING = 'still_running'
    NOT_DRAINED = 'not_drained'
    HOST_CHANGED = 'host_changed'


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveError:
    """A refused step of a move, which leaves the configuration unchanged."""

    kind: MoveErrorKind
    host_id: str
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainEvidence:
    """What an entry host knows about a drain, with times of its own clock.

    `accepted_version` is the newest configuration version known to be accepted,
    and `accepted_since_ms` is when this entry host learned of that.
    `stopped_members` is the number of members that did not confirm this version
    but have provably stopped acting on older ones. `asked_ms` is when the request
    for `report` was sent.
    """

    accepted_version: int
    accepted_since_ms: int
    report: UsageReport
    asked_ms: int
    stopped_members: int = 0


def _error(kind: MoveErrorKind, host_id: str, message: str) -> Err[MoveError]:
    return Err(MoveError(kind=kind, host_id=host_id, message=message))


def begin_move(
    configuration: Configuration, host_id: str, to_pool: str
) -> Result[Configuration, MoveError]:
    """Records the move of a host, after which no new tasks start on it.

    The caller must check the availability budget with `may_stop` on the same
    configuration. The move of a host that is not active is refused, since the host
    would count against the budget of the new pool as soon as it is assigned.
    """
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return _not_found(host_id)
    if to_pool not in configuration.pools_by_id:
        message = f'pool {to_pool!r} does not exist'
        return _error(MoveErrorKind.POOL_NOT_FOUND, host_id, message)
    move = configuration.moves_by_host.get(host_id)
    if move is not None:
        return _repeated_begin(configuration, host_id, move, to_pool)
    if host.pool == to_pool:
        message = f'host {host_id!r} already belongs to pool {to_pool!r}'
        return _error(MoveErrorKind.SAME_POOL, host_id, message)
    if host.state is not HostState.ACTIVE:
        message = f'host {host_id!r} is in state {host.state.value!r}, not active'
        return _error(MoveErrorKind.HOST_NOT_ACTIVE, host_id, message)
    new_move = HostMove(
        from_pool=host.pool,
        to_pool=to_pool,
        phase=MovePhase.DRAINING,
        from_epoch=host.pool_epoch,
        drain_version=configuration.version + 1,
    )
    return Ok(_with_move(configuration, host_id, new_move))


def confirm_drained(
    configuration: Configuration, host_id: str, evidence: DrainEvidence
) -> Result[Configuration, MoveError]:
    """Records that no task runs on a moving host and none can start there."""
    move = configuration.moves_by_host.get(host_id)
    if move is None:
        return _not_moving(host_id)
    if move.phase is MovePhase.DRAINED:
        return Ok(configuration)
    drained = check_drained(configuration, host_id, move.drain_version, evidence)
    if isinstance(drained, Err):
        return drained
    return Ok(
        _with_move(configuration, host_id, replace(move, phase=MovePhase.DRAINED))
    )


def check_drained(
    configuration: Configuration,
    host_id: str,
    drain_version: int,
    evidence: DrainEvidence,
) -> Result[None, MoveError]:
    """Checks that no task runs on a host and that no start order can still arrive.

    A member may have checked an older version just before it confirmed the drain,
    and its start order may still be in transit. The backend server accepts that
    order only until its start token, which is valid for `start_token_ms`, has
    expired. The usage report therefore counts only if it describes a later moment.
    An isolated member may start requests of open queues for up to
    `isolation_bound_ms` longer.
    """
    if evidence.accepted_version < drain_version:
        message = (
            f'version {drain_version} is not accepted yet; '
            f'the newest accepted version is {evidence.accepted_version}'
        )
        return _error(MoveErrorKind.NOT_ACCEPTED, host_id, message)
    bounds = configuration.bounds
    wait_ms = bounds.start_token_ms + bounds.drift_margin_ms
    if evidence.stopped_members and _serves_open_queue(configuration, host_id):
        wait_ms += bounds.isolation_bound_ms
    state_of_ms = evidence.asked_ms - evidence.report.age_ms
    missing_ms = evidence.accepted_since_ms + wait_ms - state_of_ms
    if missing_ms > 0:
        message = (
            f'a start order sent before the drain may still arrive; '
            f'the usage report is {missing_ms} ms too early'
        )
        return _error(MoveErrorKind.START_MAY_ARRIVE, host_id, message)
    if evidence.report.running:
        message = f'{evidence.report.running} tasks still run on host {host_id!r}'
        return _error(MoveErrorKind.STILL_RUNNING, host_id, message)
    return Ok(None)


def assign(
    configuration: Configuration, host_id: str, drain_version: int | None = None
) -> Result[Configuration, MoveError]:
    """Gives a drained host its new pool and the next pool epoch.

    If `drain_version` is given, a move that began with another version is refused.
    The assignment of a host that is no longer active is refused too, because it
    would join its new pool as an unavailable host.
    """
    found = _find_move(configuration, host_id, drain_version)
    if isinstance(found, Err):
        return found
    move = found.ok_value
    host = configuration.hosts_by_id.get(host_id)
    if host is None:
        return _not_found(host_id)
    checked = _check_assignable(configuration, host_id, host, move)
    if isinstance(checked, Err):
        return checked
    assigned = replace(host, pool=move.to_pool, pool_epoch=move.from_epoch + 1)
    hosts = _with_entry(configuration.hosts_by_id, host_id, assigned)
    return Ok(replace(_without_move(configuration, host_id), hosts_by_id=hosts))


def cancel_move(
    configuration: Configuration, host_id: str, drain_version: int | None = None
) -> Result[Configuration, MoveError]:
    """Cancels a move in either phase; the host keeps its pool and pool epoch."""
    found = _find_move(configuration, host_id, drain_version)
    return found.map(lambda _: _without_move(configuration, host_id))


def _check_assignable(
    configuration: Configuration, host_id: str, host: Host, move: HostMove
) -> Result[None, MoveError]:
    if move.phase is not MovePhase.DRAINED:
        message = f'host {host_id!r} is not confirmed as drained'
        return _error(MoveErrorKind.NOT_DRAINED, host_id, message)
    if (host.pool, host.pool_epoch) != (move.from_pool, move.from_epoch):
        message = (
            f'host {host_id!r} is in pool {host.pool!r} epoch {host.pool_epoch}; '
            f'the move began in pool {move.from_pool!r} epoch {move.from_epoch}'
        )
        return _error(MoveErrorKind.HOST_CHANGED, host_id, message)
    if move.to_pool not in configuration.pools_by_id:
        message = f'pool {move.to_pool!r} does not exist'
        return _error(MoveErrorKind.POOL_NOT_FOUND, host_id, message)
    if host.state is not HostState.ACTIVE:
        message = f'host {host_id!r} is in state {host.state.value!r}, not active'
        return _error(MoveErrorKind.HOST_NOT_ACTIVE, host_id, message)
    return Ok(None)


def _repeated_begin(
    configuration: Configuration, host_id: str, move: HostMove, to_pool: str
) -> Result[Configuration, MoveError]:
    if move.to_pool == to_pool:
        return Ok(configuration)
    message = f'host {host_id!r} already moves to pool {move.to_pool!r}'
    return _error(MoveErrorKind.ALREADY_MOVING, host_id, message)


def _find_move(
    configuration: Configuration, host_id: str, drain_version: int | None
) -> Result[HostMove, MoveError]:
    move = configuration.moves_by_host.get(host_id)
    if move is None:
        return _not_moving(host_id)
    if drain_version is not None and move.drain_version != drain_version:
        message = (
            f'host {host_id!r} has a move that began with version '
            f'{move.drain_version}, not {drain_version}'
        )
        return _error(MoveErrorKind.OTHER_MOVE, host_id, message)
    return Ok(move)


def _serves_open_queue(configuration: Configuration, host_id: str) -> bool:
    pool = configuration.hosts_by_id[host_id].pool
    return any(
        service.pool == pool and service.access is QueueAccess.OPEN
        for service in configuration.services_by_id.values()
    )


def _not_found(host_id: str) -> Err[MoveError]:
    message = f'host {host_id!r} does not exist'
    return _error(MoveErrorKind.HOST_NOT_FOUND, host_id, message)


def _not_moving(host_id: str) -> Err[MoveError]:
    message = f'host {host_id!r} has no move'
    return _error(MoveErrorKind.NOT_MOVING, host_id, message)


def _with_entry(mapping: Mapping, key: str, value: object) -> dict:
    return {**mapping, key: value}


def _with_move(
    configuration: Configuration, host_id: str, move: HostMove
) -> Configuration:
    moves = _with_entry(configuration.moves_by_host, host_id, move)
    return replace(configuration, moves_by_host=moves)


def _without_move(configuration: Configuration, host_id: str) -> Configuration:
    moves = dict(configuration.moves_by_host)
    moves.pop(host_id)
    return replace(configuration, moves_by_host=moves)
