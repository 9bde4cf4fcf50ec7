"""Answers to operators' queries about the fleet."""

from dandelionknot import decisions
from dandelionknot.clock import now_ms, unix_ms
from dandelionknot.configuration import Configuration, Host
from dandelionknot.entry._host_health import fleet_health
from dandelionknot.entry._state import DispatcherState
from dandelionknot.journal import Subject
from dandelionknot.messages import (
    ConfigurationQuery,
    HistogramQuery,
    StatusQuery,
    WhyQuery,
)
from dandelionknot.operators import (
    FleetStatus,
    HistogramReport,
    HistogramSummary,
    HostCondition,
    HostStatus,
    JournalEntry,
    MemberStatus,
    TaskStatus,
    WhyKind,
    WhyReport,
)

SUBJECT_BY_KIND = {
    WhyKind.TASK: Subject.REQUEST,
    WhyKind.HOST: Subject.HOST,
    WhyKind.TEAM: Subject.TEAM,
    WhyKind.CHANGE: Subject.CHANGE,
    WhyKind.SERVICE: Subject.PLAN,
    WhyKind.AVAILABILITY_ZONE: Subject.CHANGE,
}


def configuration_in_force(
    state: DispatcherState, message: ConfigurationQuery
) -> Configuration:
    """Returns the configuration in force on this entry host."""
    return state.configuration


def fleet_status(state: DispatcherState, message: StatusQuery) -> FleetStatus:
    """Returns the state of the fleet as known to this entry host."""
    now = now_ms()
    read = state.freshness.platform_read
    health = fleet_health(state)
    unavailable = decisions.budgets.unavailable_by_service(state.configuration, health)
    return FleetStatus(
        version=state.configuration.version,
        members=_members(state, now),
        platform_age_ms=now - read.question_sent_ms if read else None,
        hosts=[
            host_status(state, health, host_id, host)
            for host_id, host in sorted(state.configuration.hosts_by_id.items())
        ],
        unavailable_by_service={
            service_id: len(availability.reasons_by_host)
            for service_id, availability in unavailable.items()
        },
        running_by_team={
            team_id: grant.running
            for team_id, grant in state.grants.teams_by_id.items()
        },
        queued_by_service={
            service_id: len(queues.requests_by_id)
            for service_id, queues in state.queues_by_service.items()
        },
    )


def _members(state: DispatcherState, now: int) -> list[MemberStatus]:
    alive = set(state.view.alive_ids) if state.view else set()
    answers = state.freshness.answers_by_member
    members = []
    for member_id, member in sorted(state.members_by_id.items()):
        answer = answers.get(member_id)
        age_ms = None
        if member_id == state.member_id:
            as_of_ms = decisions.freshness.fresh_as_of_ms(
                state.freshness,
                state.configuration.version,
                state.view.members_revision if state.view else 0,
            )
            age_ms = None if as_of_ms is None else max(0, now - as_of_ms)
        elif answer is not None and answer.pong.platform_age_ms is not None:
            age_ms = now - answer.question_sent_ms + answer.pong.platform_age_ms
        members.append(
            MemberStatus(
                member_id=member_id,
                availability_zone=member.availability_zone,
                confirmed_version=member.confirmed_version,
                freshness_age_ms=age_ms,
                alive=member_id in alive,
            )
        )
    return members


def host_status(
    state: DispatcherState,
    health: decisions.budgets.FleetHealth,
    host_id: str,
    host: Host,
) -> HostStatus:
    """Returns the state of a host as known to this entry host."""
    reason = decisions.budgets.unavailable_reason(
        state.configuration, health, host_id, host
    )
    usage = state.usage_by_host.get(host_id)
    running = usage.usage.running if usage else 0
    if usage is None and state.routing is not None:
        running = decisions.routing.own_running(state.routing, host_id)
    return HostStatus(
        host_id=host_id,
        availability_zone=host.availability_zone,
        pool=host.pool,
        condition=HostCondition(reason.value) if reason else HostCondition.AVAILABLE,
        running=running,
        slots=host.slots,
        usage_age_ms=now_ms() - usage.asked_ms if usage else None,
    )


def why(state: DispatcherState, message: WhyQuery) -> WhyReport:
    """Returns the recorded decisions about a subject, oldest first, and its state."""
    subject_id = message.subject_id
    found = state.context.journal.why(SUBJECT_BY_KIND[message.kind], subject_id)
    entries = [
        JournalEntry(
            at_unix_ms=decision.unix_ms,
            member_id=state.member_id,
            event=0,
            text=f'{decision.what}: {decision.reason}'
            if decision.reason
            else decision.what,
        )
        for decision in found
    ]
    if message.kind is WhyKind.SERVICE:
        entries += _routing_entries(state, subject_id)
    host = state.configuration.hosts_by_id.get(subject_id)
    is_host = message.kind is WhyKind.HOST and host is not None
    return WhyReport(
        kind=message.kind,
        id=subject_id,
        entries=entries,
        task=_task_status(state, subject_id) if message.kind is WhyKind.TASK else None,
        host=host_status(state, fleet_health(state), subject_id, host)
        if is_host and host
        else None,
    )


def _routing_entries(state: DispatcherState, service_id: str) -> list[JournalEntry]:
    """Returns for each host of a service why it may or may not be chosen now."""
    if state.routing is None:
        return []
    views = decisions.routing.host_views(state.routing, service_id, now_ms())
    return [
        JournalEntry(
            at_unix_ms=unix_ms(), member_id=state.member_id, event=0, text=str(view)
        )
        for view in views
    ]


def _task_status(state: DispatcherState, request_id: str) -> TaskStatus | None:
    entry = state.requests.by_id.get(request_id)
    if entry is None:
        return None
    outcome = entry.outcome
    return TaskStatus(
        task_id=entry.task_id,
        request_id=request_id,
        service=entry.body.service,
        team=entry.team_id,
        host_id=entry.host_id,
        phase=entry.phase,
        run_state=outcome.run_state if outcome else 'unknown',  # type: ignore[arg-type]
        attempt=entry.attempt,
    )


def histograms(state: DispatcherState, message: HistogramQuery) -> HistogramReport:
    """Returns the quantiles of every histogram of this entry host."""
    summaries = []
    for key, histogram in state.context.metrics.histograms_by_key.items():
        summaries.append(
            HistogramSummary(
                name=key.measure,
                team=key.team,
                priority=key.priority,  # type: ignore[arg-type]
                count=histogram.get_total_count(),
                p50_ms=histogram.get_value_at_percentile(50),
                p90_ms=histogram.get_value_at_percentile(90),
                p99_ms=histogram.get_value_at_percentile(99),
                max_ms=histogram.get_max_value(),
            )
        )
    return HistogramReport(histograms=summaries)
