"""Commands that query an entry host without changing anything.

These are status, why, confirmed, plan show, voters show and histograms.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from result import Err

from dandelionknot.cli._command_options import (
    REMOTE_OPTIONS,
    CommandCall,
    command,
    endpoint,
)
from dandelionknot.cli._command_outcomes import (
    Outcome,
    change_outcome,
    failed_call,
    failure,
)
from dandelionknot.cli._operator_client import OperatorPort, http_operator_port
from dandelionknot.cli._tables import (
    pool_summaries,
    service_summaries,
    table_lines,
    team_summaries,
    zone_summaries,
)
from dandelionknot.configuration import (
    Configuration,
    Cooperative,
    LimitProposal,
    VotersProposal,
)
from dandelionknot.exit_status import ExitStatus
from dandelionknot.operators import FleetStatus, JournalEntry, WhyKind

Summarise = Callable[[FleetStatus, Configuration], Sequence[Any]]
Query = Callable[[OperatorPort], Awaitable[Outcome]]

SUMMARIES_BY_SUBJECT: dict[str, Summarise] = {
    'pool': pool_summaries,
    'team': team_summaries,
    'zone': zone_summaries,
    'host': lambda status, _: status.hosts,
}
KEY_FIELDS_BY_SUBJECT = {
    'pool': 'pool',
    'team': 'team',
    'zone': 'availability_zone',
    'host': 'host_id',
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Votes:
    """The voters and the open proposals, as shown by `voters show`."""

    cooperatives_by_id: Mapping[str, Cooperative]
    limit_proposals_by_id: Mapping[str, LimitProposal]
    voters_proposals_by_id: Mapping[str, VotersProposal]

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> 'Votes':
        """Returns the voters and the open proposals of a configuration."""
        return cls(
            cooperatives_by_id=configuration.cooperatives_by_id,
            limit_proposals_by_id=configuration.limit_proposals_by_id,
            voters_proposals_by_id=configuration.voters_proposals_by_id,
        )


def _run_query(call: CommandCall, query: Query) -> Outcome:
    target = endpoint(call)
    if isinstance(target, Err):
        return failure(ExitStatus.USAGE, target.err_value)

    async def run() -> Outcome:
        return await query(http_operator_port(target.ok_value))

    return asyncio.run(run())


@command(REMOTE_OPTIONS)
def status(call: CommandCall, subject: str = 'fleet', name: str = '') -> Outcome:
    """Shows the status of the fleet, or of pools, teams, zones, hosts or a task."""
    if subject == 'fleet' and not name:
        return _run_query(call, _fleet_outcome)
    if subject == 'task' and name:
        return _run_query(call, lambda port: _task_outcome(port, name))
    if subject in SUMMARIES_BY_SUBJECT:
        return _run_query(call, lambda port: _summaries_outcome(port, subject, name))
    subjects = ', '.join(['fleet', *SUMMARIES_BY_SUBJECT, 'task ID'])
    return failure(ExitStatus.USAGE, f'status shows one of: {subjects}')


async def _fleet_outcome(port: OperatorPort) -> Outcome:
    fleet, running = await asyncio.gather(port.status(), port.configuration())
    if isinstance(fleet, Err):
        return failed_call(fleet.err_value)
    if isinstance(running, Err):
        return failed_call(running.err_value)
    fleet_status = fleet.ok_value
    lines = [
        f'configuration version: {fleet_status.version}',
        f'last platform contact: {_format_age(fleet_status.platform_age_ms)}',
        '',
        *table_lines(fleet_status.members),
        '',
        *table_lines(service_summaries(fleet_status, running.ok_value)),
        '',
        *table_lines(team_summaries(fleet_status, running.ok_value)),
    ]
    return Outcome(lines=lines, data=fleet_status)


def _format_age(age_ms: int | None) -> str:
    return 'unknown' if age_ms is None else f'{age_ms} ms ago'


async def _summaries_outcome(port: OperatorPort, subject: str, name: str) -> Outcome:
    fleet, running = await asyncio.gather(port.status(), port.configuration())
    if isinstance(fleet, Err):
        return failed_call(fleet.err_value)
    if isinstance(running, Err):
        return failed_call(running.err_value)
    rows = SUMMARIES_BY_SUBJECT[subject](fleet.ok_value, running.ok_value)
    if name:
        key = KEY_FIELDS_BY_SUBJECT[subject]
        rows = [row for row in rows if getattr(row, key) == name]
        if not rows:
            message = f'{subject} {name!r} does not exist'
            return failure(ExitStatus.INVALID_INPUT, message)
    return Outcome(lines=table_lines(rows), data=rows)


async def _task_outcome(port: OperatorPort, task_id: str) -> Outcome:
    report = await port.why(WhyKind.TASK, task_id)
    if isinstance(report, Err):
        return failed_call(report.err_value)
    task = report.ok_value.task
    if task is None:
        message = f'the entry host does not know task {task_id!r}'
        return failure(ExitStatus.INVALID_INPUT, message)
    return Outcome(lines=table_lines([task]), data=task)


@command(REMOTE_OPTIONS)
def why(call: CommandCall, kind: str, name: str) -> Outcome:
    """Shows recent decisions about a task, host, team, service, zone or change."""
    wanted_kind = WhyKind.AVAILABILITY_ZONE.value if kind == 'zone' else kind
    kinds = [known.value for known in WhyKind]
    if wanted_kind not in kinds:
        return failure(ExitStatus.USAGE, f'why explains one of: {", ".join(kinds)}')

    async def query(port: OperatorPort) -> Outcome:
        report = await port.why(WhyKind(wanted_kind), name)
        if isinstance(report, Err):
            return failed_call(report.err_value)
        entries = report.ok_value.entries
        lines = [_journal_line(entry) for entry in entries]
        return Outcome(lines=lines or ['no decisions recorded'], data=report.ok_value)

    return _run_query(call, query)


def _journal_line(entry: JournalEntry) -> str:
    at = datetime.fromtimestamp(entry.at_unix_ms / 1000, UTC)
    timestamp = at.isoformat(timespec='milliseconds').replace('+00:00', 'Z')
    return f'{timestamp} {entry.member_id} [{entry.event}] {entry.text}'


@command(REMOTE_OPTIONS)
def confirmed(call: CommandCall, change_id: str) -> Outcome:
    """Shows whether a change is in force on all entry hosts."""

    async def query(port: OperatorPort) -> Outcome:
        report = await port.change_report(change_id)
        if isinstance(report, Err):
            return failed_call(report.err_value)
        return change_outcome(report.ok_value)

    return _run_query(call, query)


@command(REMOTE_OPTIONS)
def plan_show(call: CommandCall, plan_id: str = '') -> Outcome:
    """Shows all maintenance plans, or the state and the hosts of one."""

    async def query(port: OperatorPort) -> Outcome:
        running = await port.configuration()
        if isinstance(running, Err):
            return failed_call(running.err_value)
        return _plans_outcome(running.ok_value, plan_id)

    return _run_query(call, query)


def _plans_outcome(configuration: Configuration, plan_id: str) -> Outcome:
    plans_by_id = configuration.maintenance_plans_by_id
    if not plan_id:
        lines = [
            f'{name}: {plan.state.value}, {len(plan.done)} of {len(plan.hosts)} done'
            for name, plan in plans_by_id.items()
        ]
        return Outcome(lines=lines or ['(none)'], data=plans_by_id)
    plan = plans_by_id.get(plan_id)
    if plan is None:
        message = f'plan {plan_id!r} does not exist'
        return failure(ExitStatus.INVALID_INPUT, message)
    lines = [f'state: {plan.state.value}']
    for host_id in plan.hosts:
        lines.append(f'{host_id}: {"done" if host_id in plan.done else "waiting"}')
    return Outcome(lines=lines, data=plan)


@command(REMOTE_OPTIONS)
def voters_show(call: CommandCall) -> Outcome:
    """Shows the voters of each co-operative and the open proposals."""

    async def query(port: OperatorPort) -> Outcome:
        running = await port.configuration()
        if isinstance(running, Err):
            return failed_call(running.err_value)
        return _votes_outcome(running.ok_value)

    return _run_query(call, query)


def _votes_outcome(configuration: Configuration) -> Outcome:
    lines = _voters_lines(configuration.cooperatives_by_id) or ['(no voters)']
    for name, limit in configuration.limit_proposals_by_id.items():
        lines.append(
            f'proposal {name}: limit of team {limit.team} '
            f'{limit.base_limit} -> {limit.new_limit}; {_approvals_text(limit)}'
        )
    for name, voters in configuration.voters_proposals_by_id.items():
        lines.append(f'proposal {name}: new voters; {_approvals_text(voters)}')
        proposed = _voters_lines(voters.new_cooperatives_by_id)
        lines += [f'    {line}' for line in proposed]
    return Outcome(lines=lines, data=Votes.from_configuration(configuration))


def _voters_lines(cooperatives_by_id: Mapping[str, Cooperative]) -> list[str]:
    return [
        f'{name}: {", ".join(cooperative.voters)}'
        for name, cooperative in cooperatives_by_id.items()
    ]


def _approvals_text(proposal: LimitProposal | VotersProposal) -> str:
    return f'agreed: {", ".join(proposal.approvals)}'


@command(REMOTE_OPTIONS)
def histograms(call: CommandCall) -> Outcome:
    """Shows the latency histograms of the entry host."""

    async def query(port: OperatorPort) -> Outcome:
        report = await port.histograms()
        if isinstance(report, Err):
            return failed_call(report.err_value)
        rows = report.ok_value.histograms
        return Outcome(lines=table_lines(rows), data=rows)

    return _run_query(call, query)
