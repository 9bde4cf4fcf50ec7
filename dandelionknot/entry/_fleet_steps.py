"""Next steps of host moves and maintenance plans, from this member's view."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from result import Err, Ok

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import (
    Configuration,
    HostState,
    MovePhase,
    PlanState,
)
from dandelionknot.entry._host_health import fleet_health
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import (
    DrainOrder,
    FleetChange,
    FleetStep,
    RebootOrder,
)

# Least time between two drain orders to the same backend server.
DRAIN_INTERVAL_MS = 1000

IsMyTurn = Callable[[str], bool]


def drain_evidence(
    state: DispatcherState, host_id: str, since_version: int
) -> decisions.pools.DrainEvidence | None:
    """Returns what this member knows about a drain that `since_version` began.

    Returns None if there is no usage report of the host, or if that version has not
    been accepted yet.
    """
    usage = state.usage_by_host.get(host_id)
    accepted_since_ms = state.accepted_since_by_version.get(since_version)
    if usage is None or accepted_since_ms is None:
        return None
    confirmed = state.confirmed_since_by_version.get(since_version, {})
    stopped = len(state.members_by_id.keys() - confirmed.keys())
    return decisions.pools.DrainEvidence(
        accepted_version=since_version,
        accepted_since_ms=accepted_since_ms,
        report=usage.usage,
        asked_ms=usage.asked_ms,
        stopped_members=stopped,
    )


def next_fleet_changes(
    state: DispatcherState, is_my_turn: IsMyTurn
) -> list[FleetChange]:
    """Returns the next change of a host move or maintenance plan, if there is one.

    At most one is written at a time, since each is derived from the version in
    force. The others follow once that change has been adopted.
    """
    for change in _changes(state, is_my_turn):
        return [change]
    return []


def _changes(state: DispatcherState, is_my_turn: IsMyTurn) -> Iterator[FleetChange]:
    _order_drains(state)
    yield from _move_changes(state)
    yield from _plan_changes(state, is_my_turn)


def _order_drains(state: DispatcherState) -> None:
    """Orders backend servers to refuse or accept tasks as configured."""
    now = now_ms()
    configuration = state.configuration
    for host_id, host in configuration.hosts_by_id.items():
        draining = (
            host.state is HostState.DRAINING or host_id in configuration.moves_by_host
        )
        usage = state.usage_by_host.get(host_id)
        reported = usage is not None and usage.usage.draining
        if not draining and not (reported and host.state is HostState.ACTIVE):
            continue
        if now - state.drain_ordered_ms_by_host.get(host_id, 0) < DRAIN_INTERVAL_MS:
            continue
        state.drain_ordered_ms_by_host[host_id] = now
        state.outboxes.links.send(DrainOrder(host_id=host_id, draining=draining))


def _change(
    state: DispatcherState, step: FleetStep, subject: str, following: Configuration
) -> FleetChange:
    change_id = f'v{state.configuration.version + 1}-{step.replace("_", "-")}-{subject}'
    return FleetChange(
        change_id=change_id[:63],
        step=step,
        subject=subject,
        configuration=following,
    )


def _move_changes(state: DispatcherState) -> Iterator[FleetChange]:
    configuration = state.configuration
    for host_id, move in configuration.moves_by_host.items():
        if move.phase is MovePhase.DRAINED:
            allowed = decisions.budgets.may_assign(
                configuration, fleet_health(state), host_id
            )
            assigned = decisions.pools.assign(
                configuration, host_id, move.drain_version
            )
            if isinstance(assigned, Ok) and isinstance(allowed, Ok):
                yield _change(state, FleetStep.ASSIGN_MOVE, host_id, assigned.ok_value)
            continue
        evidence = drain_evidence(state, host_id, move.drain_version)
        if evidence is None:
            continue
        drained = decisions.pools.confirm_drained(configuration, host_id, evidence)
        if isinstance(drained, Ok):
            yield _change(state, FleetStep.CONFIRM_DRAINED, host_id, drained.ok_value)


def _plan_changes(
    state: DispatcherState, is_my_turn: IsMyTurn
) -> Iterator[FleetChange]:
    configuration = state.configuration
    health = fleet_health(state)
    for plan_id, plan in configuration.maintenance_plans_by_id.items():
        if plan.state is not PlanState.RUNNING:
            continue
        for host_id in plan.hosts:
            if host_id not in plan.done:
                yield from _stop_changes(state, health, plan_id, host_id, is_my_turn)
        wave = decisions.budgets.next_wave(plan, configuration, health)
        if wave.host_ids:
            following = configuration
            for host_id in wave.host_ids:
                following = decisions.budgets.with_host_state(
                    following, host_id, HostState.DRAINING
                )
            yield _change(state, FleetStep.DRAIN, plan_id, following)


def _stop_changes(
    state: DispatcherState,
    health: decisions.budgets.FleetHealth,
    plan_id: str,
    host_id: str,
    is_my_turn: IsMyTurn,
) -> Iterator[FleetChange]:
    """Yields the next step of a host that is draining or in maintenance."""
    configuration = state.configuration
    host = configuration.hosts_by_id.get(host_id)
    if host is None or host.state is HostState.ACTIVE:
        return
    rebooted = host_id in state.rebooted_hosts
    if host.state is HostState.MAINTENANCE and not rebooted:
        if is_my_turn(f'reboot:{plan_id}:{host_id}'):
            state.outboxes.links.send(RebootOrder(host_id=host_id))
        return
    advice = decisions.budgets.planned_stop_step(
        configuration,
        health,
        host_id,
        drain_evidence(state, host_id, configuration.version),
        rebooted,
    )
    if isinstance(advice, Err):
        return
    step = advice.ok_value.step
    if step is decisions.budgets.StopStep.STOP:
        state.rebooted_hosts.discard(host_id)
        yield _state_change(state, FleetStep.MAINTAIN, host_id, HostState.MAINTENANCE)
    elif step is decisions.budgets.StopStep.RETURN and rebooted:
        following = decisions.budgets.return_host(configuration, host_id, plan_id)
        yield _change(state, FleetStep.RETURN_HOST, host_id, following)
    elif step is decisions.budgets.StopStep.RETURN:
        yield _state_change(state, FleetStep.RETURN_HOST, host_id, HostState.ACTIVE)


def _state_change(
    state: DispatcherState, step: FleetStep, host_id: str, host_state: HostState
) -> FleetChange:
    following = decisions.budgets.with_host_state(
        state.configuration, host_id, host_state
    )
    return _change(state, step, host_id, following)


def with_member_gone(configuration: Configuration, member_id: str) -> Configuration:
    """Returns the configuration after operators have declared a member gone.

    The operators must make sure that its process has ended, since no member can
    prove that.
    """
    gone = [*configuration.gone_members, member_id]
    excluded = with_excluded_members(configuration, [member_id])
    return replace(excluded, gone_members=gone[-256:])


def with_excluded_members(
    configuration: Configuration, members: list[str]
) -> Configuration:
    """Returns the configuration with more members excluded; retains the newest 256."""
    excluded = [*configuration.excluded_members, *members]
    return replace(configuration, excluded_members=excluded[-256:])
