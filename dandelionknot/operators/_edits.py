"""Applies operators' edits with pure functions, which return a new configuration.

The caller increments the version and records the change id. An edit whose result is
already in the configuration returns an equal configuration.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

from dandelionknot._generated_classes import (
    Configuration,
    Cooperative,
    Edit,
    EditKind,
    Host,
    HostState,
    MaintenancePlan,
    PlanState,
    ZoneState,
)
from dandelionknot.operators._edit_errors import EditError, EditErrorKind, refuse
from dandelionknot.operators._replacement import replace_configuration

__all__ = ['EditError', 'EditErrorKind', 'EditDecisions', 'apply_edit']

MAX_KEYS_PER_TEAM = 100
# Finished maintenance plans that stay in the configuration. If all stayed, 660 hosts
# maintained 17 times a year, each named twice with 25 bytes, would add 0.56 MB a year
# to a document of at most 1 MB.
MAX_FINISHED_PLANS = 20

EditResult = Result[Configuration, EditError]
DecisionResult = Result[Configuration, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class EditDecisions:
    """Functions of other modules that decide about an edit.

    The message of their error becomes the message of the `EditError`.
    `may_drain(configuration, host_id)` and `may_take_zone_out(configuration,
    zone_id)` enforce the availability budgets, which depend on the health of hosts
    and not on the configuration alone.
    """

    begin_move: Callable[[Configuration, str, str], DecisionResult]
    cancel_move: Callable[[Configuration, str], DecisionResult]
    propose_limit: Callable[[Configuration, str, str, int, str], DecisionResult]
    propose_voters: Callable[
        [Configuration, str, Mapping[str, Cooperative], str], DecisionResult
    ]
    cast_vote: Callable[[Configuration, str, str], DecisionResult]
    may_drain: Callable[[Configuration, str], Result[None, Any]]
    may_take_zone_out: Callable[[Configuration, str], Result[None, Any]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _EditContext:
    """An edit with the data that the function of its kind needs."""

    configuration: Configuration
    edit: Edit
    operator_id: str
    decisions: EditDecisions


def apply_edit(
    configuration: Configuration,
    edit: Edit,
    operator_id: str,
    now_ms: int,
    decisions: EditDecisions,
) -> EditResult:
    """Returns the configuration after an edit, or why the edit is refused.

    No kind of edit uses `now_ms` at present.
    """
    problem = _field_problem(edit)
    if problem:
        return refuse(EditErrorKind.MALFORMED, problem)
    context = _EditContext(
        configuration=configuration,
        edit=edit,
        operator_id=operator_id,
        decisions=decisions,
    )
    return RULES_BY_KIND[edit.kind].apply(context)


def _field_problem(edit: Edit) -> str:
    """Returns which fields are missing or unexpected, or an empty string."""
    rule = RULES_BY_KIND[edit.kind]
    needed = set(rule.fields)
    present = {name for name in Edit.__slots__ if _is_set(edit, name)}
    missing = ', '.join(sorted(needed - present))
    if missing:
        return f'{edit.kind.value} is missing the required fields {missing}'
    unexpected = ', '.join(sorted(present - needed - set(rule.optional_fields)))
    if unexpected:
        return f'{edit.kind.value} does not accept the fields {unexpected}'
    return ''


def _is_set(edit: Edit, name: str) -> bool:
    """Returns whether a field is set; 0 counts as set, and a false `force` does not."""
    value = getattr(edit, name)
    return name != 'kind' and value is not None and value is not False


def _apply_configuration(context: _EditContext) -> EditResult:
    assert context.edit.configuration is not None
    return replace_configuration(context.configuration, context.edit.configuration)


def _give_key(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.team and edit.key_id and edit.key_record
    team = context.configuration.teams_by_id.get(edit.team)
    if team is None:
        return _not_found('team', edit.team)
    current = team.keys_by_id.get(edit.key_id)
    if current == edit.key_record:
        return Ok(context.configuration)
    if current is not None:
        return refuse(
            EditErrorKind.ALREADY_EXISTS,
            f'team {edit.team!r} already has a key {edit.key_id!r}',
        )
    if len(team.keys_by_id) >= MAX_KEYS_PER_TEAM:
        return refuse(
            EditErrorKind.WRONG_STATE,
            f'team {edit.team!r} already has {MAX_KEYS_PER_TEAM} keys',
        )
    keys_by_id = team.keys_by_id | {edit.key_id: edit.key_record}
    return _with_keys(context.configuration, edit.team, keys_by_id)


def _withdraw_key(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.team and edit.key_id
    team = context.configuration.teams_by_id.get(edit.team)
    if team is None:
        return _not_found('team', edit.team)
    if edit.key_id not in team.keys_by_id:
        return _not_found(f'key of team {edit.team!r}', edit.key_id)
    keys_by_id = dict(team.keys_by_id)
    del keys_by_id[edit.key_id]
    return _with_keys(context.configuration, edit.team, keys_by_id)


def _with_keys(
    configuration: Configuration, team_id: str, keys_by_id: Mapping[str, Any]
) -> EditResult:
    team = replace(configuration.teams_by_id[team_id], keys_by_id=dict(keys_by_id))
    teams_by_id = configuration.teams_by_id | {team_id: team}
    return Ok(replace(configuration, teams_by_id=teams_by_id))


def _move_host(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.host_id and edit.to_pool
    begin_move = context.decisions.begin_move
    return _as_edit_result(
        begin_move(context.configuration, edit.host_id, edit.to_pool)
    )


def _cancel_move(context: _EditContext) -> EditResult:
    assert context.edit.host_id
    cancel_move = context.decisions.cancel_move
    return _as_edit_result(cancel_move(context.configuration, context.edit.host_id))


def _propose_limit(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.proposal_id and edit.team and edit.new_limit is not None
    return _as_edit_result(
        context.decisions.propose_limit(
            context.configuration,
            edit.proposal_id,
            edit.team,
            edit.new_limit,
            context.operator_id,
        )
    )


def _propose_voters(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.proposal_id and edit.cooperatives_by_id is not None
    return _as_edit_result(
        context.decisions.propose_voters(
            context.configuration,
            edit.proposal_id,
            edit.cooperatives_by_id,
            context.operator_id,
        )
    )


def _vote(context: _EditContext) -> EditResult:
    assert context.edit.proposal_id
    cast_vote = context.decisions.cast_vote
    return _as_edit_result(
        cast_vote(context.configuration, context.edit.proposal_id, context.operator_id)
    )


def _as_edit_result(outcome: Result[Any, Any]) -> Result[Any, EditError]:
    """Converts the error of a decision to an `EditError`; returns an `Ok` unchanged."""
    if isinstance(outcome, Ok):
        return outcome
    error = outcome.err_value
    return refuse(EditErrorKind.NOT_ALLOWED, getattr(error, 'message', str(error)))


def _zone_out(context: _EditContext) -> EditResult:
    zone_id = context.edit.availability_zone
    assert zone_id
    zone = context.configuration.availability_zones_by_id.get(zone_id)
    is_in_service = zone is not None and zone.state is ZoneState.IN_SERVICE
    if is_in_service and not context.edit.force:
        may_take_zone_out = context.decisions.may_take_zone_out
        allowed = _as_edit_result(may_take_zone_out(context.configuration, zone_id))
        if isinstance(allowed, Err):
            return allowed
    return _with_zone_state(context.configuration, zone_id, ZoneState.OUT_OF_SERVICE)


def _zone_back(context: _EditContext) -> EditResult:
    zone_id = context.edit.availability_zone
    assert zone_id
    return _with_zone_state(context.configuration, zone_id, ZoneState.IN_SERVICE)


def _with_zone_state(
    configuration: Configuration, zone_id: str, state: ZoneState
) -> EditResult:
    zones_by_id = configuration.availability_zones_by_id
    if zone_id not in zones_by_id:
        return _not_found('availability zone', zone_id)
    zone = replace(zones_by_id[zone_id], state=state)
    zones_by_id = zones_by_id | {zone_id: zone}
    return Ok(replace(configuration, availability_zones_by_id=zones_by_id))


def _drain_host(context: _EditContext) -> EditResult:
    host_id = context.edit.host_id
    assert host_id
    host = context.configuration.hosts_by_id.get(host_id)
    if host is None:
        return _not_found('host', host_id)
    if host.state is not HostState.ACTIVE:
        return Ok(context.configuration)
    allowed = _as_edit_result(
        context.decisions.may_drain(context.configuration, host_id)
    )
    if isinstance(allowed, Err):
        return allowed
    return _with_host_state(context.configuration, host_id, host, HostState.DRAINING)


def _undrain_host(context: _EditContext) -> EditResult:
    host_id = context.edit.host_id
    assert host_id
    host = context.configuration.hosts_by_id.get(host_id)
    if host is None:
        return _not_found('host', host_id)
    for plan_id, plan in context.configuration.maintenance_plans_by_id.items():
        awaits_maintenance = host_id in plan.hosts and host_id not in plan.done
        if awaits_maintenance and plan.state is PlanState.RUNNING:
            return refuse(
                EditErrorKind.WRONG_STATE,
                f'plan {plan_id!r} is running and lists host {host_id!r}; '
                'pause the plan first',
            )
    return _with_host_state(context.configuration, host_id, host, HostState.ACTIVE)


def _with_host_state(
    configuration: Configuration, host_id: str, host: Host, state: HostState
) -> EditResult:
    hosts_by_id = configuration.hosts_by_id | {host_id: replace(host, state=state)}
    return Ok(replace(configuration, hosts_by_id=hosts_by_id))


def _plan_create(context: _EditContext) -> EditResult:
    edit = context.edit
    assert edit.plan_id and edit.hosts
    plans_by_id = context.configuration.maintenance_plans_by_id
    plan = MaintenancePlan(hosts=edit.hosts)
    if edit.plan_id in plans_by_id:
        if plans_by_id[edit.plan_id] == plan:
            return Ok(context.configuration)
        return refuse(
            EditErrorKind.ALREADY_EXISTS, f'plan {edit.plan_id!r} already exists'
        )
    for host_id in edit.hosts:
        if host_id not in context.configuration.hosts_by_id:
            return _not_found('host', host_id)
    if len(set(edit.hosts)) < len(edit.hosts):
        return refuse(EditErrorKind.MALFORMED, 'the plan lists a host twice')
    with_recent_plans = replace(
        context.configuration, maintenance_plans_by_id=_recent_plans(plans_by_id)
    )
    return _with_plan(with_recent_plans, edit.plan_id, plan)


def _recent_plans(
    plans_by_id: Mapping[str, MaintenancePlan],
) -> dict[str, MaintenancePlan]:
    """Returns the plans with only the newest `MAX_FINISHED_PLANS` finished ones."""
    finished = [
        plan_id
        for plan_id, plan in plans_by_id.items()
        if plan.state is PlanState.FINISHED
    ]
    dropped_plan_ids = set(finished[:-MAX_FINISHED_PLANS])
    return {
        plan_id: plan
        for plan_id, plan in plans_by_id.items()
        if plan_id not in dropped_plan_ids
    }


def _plan_state_setter(state: PlanState) -> Callable[[_EditContext], EditResult]:
    """Returns a function that sets the state of a plan that is not finished."""

    def apply(context: _EditContext) -> EditResult:
        plan_id = context.edit.plan_id
        assert plan_id
        plan = context.configuration.maintenance_plans_by_id.get(plan_id)
        if plan is None:
            return _not_found('plan', plan_id)
        if plan.state is PlanState.FINISHED:
            return refuse(
                EditErrorKind.WRONG_STATE, f'plan {plan_id!r} is already finished'
            )
        return _with_plan(context.configuration, plan_id, replace(plan, state=state))

    return apply


def _with_plan(
    configuration: Configuration, plan_id: str, plan: MaintenancePlan
) -> EditResult:
    plans_by_id = configuration.maintenance_plans_by_id | {plan_id: plan}
    return Ok(replace(configuration, maintenance_plans_by_id=plans_by_id))


def _member_gone(context: _EditContext) -> EditResult:
    return refuse(
        EditErrorKind.NOT_A_CONFIGURATION_EDIT,
        f'member {context.edit.member_id!r} is not part of the configuration, '
        'so an edit of it cannot declare the member gone',
    )


def _not_found(label: str, name: str) -> Err[EditError]:
    return refuse(EditErrorKind.NOT_FOUND, f'{label} {name!r} does not exist')


@dataclass(frozen=True, slots=True)
class _Rule:
    """The function of an edit kind, its required fields and its optional fields."""

    apply: Callable[[_EditContext], EditResult]
    fields: tuple[str, ...]
    optional_fields: tuple[str, ...] = ()


RULES_BY_KIND = {
    EditKind.APPLY_CONFIGURATION: _Rule(_apply_configuration, ('configuration',)),
    EditKind.GIVE_KEY: _Rule(_give_key, ('team', 'key_id', 'key_record')),
    EditKind.WITHDRAW_KEY: _Rule(_withdraw_key, ('team', 'key_id')),
    EditKind.MOVE_HOST: _Rule(_move_host, ('host_id', 'to_pool')),
    EditKind.CANCEL_MOVE: _Rule(_cancel_move, ('host_id',)),
    EditKind.ZONE_OUT: _Rule(_zone_out, ('availability_zone',), ('force',)),
    EditKind.ZONE_BACK: _Rule(_zone_back, ('availability_zone',)),
    EditKind.DRAIN_HOST: _Rule(_drain_host, ('host_id',)),
    EditKind.UNDRAIN_HOST: _Rule(_undrain_host, ('host_id',)),
    EditKind.PROPOSE_LIMIT: _Rule(_propose_limit, ('proposal_id', 'team', 'new_limit')),
    EditKind.PROPOSE_VOTERS: _Rule(
        _propose_voters, ('proposal_id', 'cooperatives_by_id')
    ),
    EditKind.VOTE: _Rule(_vote, ('proposal_id',)),
    EditKind.PLAN_CREATE: _Rule(_plan_create, ('plan_id', 'hosts')),
    EditKind.PLAN_PAUSE: _Rule(_plan_state_setter(PlanState.PAUSED), ('plan_id',)),
    EditKind.PLAN_RESUME: _Rule(_plan_state_setter(PlanState.RUNNING), ('plan_id',)),
    EditKind.MEMBER_GONE: _Rule(_member_gone, ('member_id',)),
}
