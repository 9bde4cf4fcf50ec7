"""Outlier ejection: ejects backend servers that fail too often and probes them."""

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.configuration import HostState
from dandelionknot.entry._requests import RequestEntry
from dandelionknot.entry._state import DispatcherState
from dandelionknot.events import Event, log_event
from dandelionknot.journal import Subject
from dandelionknot.messages import AttemptEnd, AttemptEnded, HostList, TaskState

FAILURE_ENDS = frozenset({AttemptEnd.NO_ANSWER, AttemptEnd.LEASE_LOST})


def ejected_hosts(state: DispatcherState) -> frozenset[str]:
    """Returns the hosts that this entry host has ejected."""
    return frozenset(
        host_id
        for table in state.health_by_pool.values()
        for host_id in table.health_by_host
        if not decisions.ejection.is_routable(table, host_id)
    )


def fleet_health(state: DispatcherState) -> decisions.budgets.FleetHealth:
    """Returns the hosts that this entry host knows to be unavailable."""
    listed = state.view.listed_states_by_host if state.view else {}
    return decisions.budgets.FleetHealth.from_host_list(
        HostList(states_by_host=listed), state.silent_hosts, ejected_hosts(state)
    )


def forget_removed_hosts(state: DispatcherState) -> None:
    """Drops the state of hosts that are no longer in the configuration."""
    known = state.configuration.hosts_by_id.keys()
    state.silent_hosts &= known
    for host_id in state.usage_by_host.keys() - known:
        del state.usage_by_host[host_id]
    for table in state.health_by_pool.values():
        decisions.ejection.retain_hosts(table, known)


def _health_table_of(
    state: DispatcherState, host_id: str
) -> decisions.ejection.HealthTable | None:
    load = state.routing.hosts_by_id.get(host_id) if state.routing else None
    if load is None:
        return None
    pool = load.choice.pool
    table = state.health_by_pool.get(pool)
    if table is None:
        table = decisions.ejection.HealthTable()
        state.health_by_pool[pool] = table
    return table


def record_attempt(
    state: DispatcherState, entry: RequestEntry, message: AttemptEnded
) -> None:
    """Records the end of an attempt for its host, and ejects or returns the host.

    Ends that say nothing about the host are not counted, nor are those of tasks
    that another owner of the request has started.
    """
    table = _health_table_of(state, message.host_id)
    if table is None or entry.inherited:
        return
    now = now_ms()
    report = message.report
    if message.end is AttemptEnd.ANSWERED and report is not None:
        failed = report.state is TaskState.FAILED
    else:
        failed = message.end in FAILURE_ENDS
        if not failed:
            return
    was_routable = decisions.ejection.is_routable(table, message.host_id)
    if failed:
        decisions.ejection.record_failure(table, message.host_id, entry.request_id, now)
        _eject_if_failing(state, table, message.host_id, now)
        return
    decisions.ejection.record_success(table, message.host_id, entry.request_id, now)
    if not was_routable and decisions.ejection.is_routable(table, message.host_id):
        _set_ejected(state, message.host_id, False)
        log_event(Event.HOST_RETURNED, host_id=message.host_id)
        state.context.explain(Subject.HOST, message.host_id, 'returned after probes')


def _eject_if_failing(
    state: DispatcherState,
    table: decisions.ejection.HealthTable,
    host_id: str,
    now: int,
) -> None:
    if not decisions.ejection.is_routable(table, host_id):
        return
    unavailable, allowed = _tightest_budget(state, host_id)
    if not decisions.ejection.should_eject(table, host_id, unavailable, allowed, now):
        return
    decisions.ejection.eject(table, host_id, now)
    _set_ejected(state, host_id, True)
    log_event(Event.HOST_EJECTED, host_id=host_id)
    state.context.explain(
        Subject.HOST,
        host_id,
        'ejected',
        'its failure rate is far above that of its pool',
    )


def _tightest_budget(state: DispatcherState, host_id: str) -> tuple[int, int]:
    """Returns the tightest availability budget among the services of a host's pool.

    The result is the number of unavailable hosts and the highest allowed number.
    """
    pool = state.configuration.hosts_by_id[host_id].pool
    counted = decisions.budgets.unavailable_by_service(
        state.configuration, fleet_health(state)
    )
    budgets = [
        (len(each.reasons_by_host), each.max_unavailable)
        for service_id, each in counted.items()
        if state.configuration.services_by_id[service_id].pool == pool
    ]
    return min(budgets, key=lambda each: each[1] - each[0], default=(0, 0))


def _set_ejected(state: DispatcherState, host_id: str, ejected: bool) -> None:
    if state.routing is not None:
        reason = decisions.budgets.UnavailableReason.EJECTED
        decisions.routing.set_excluded(state.routing, host_id, reason, ejected)


def choose_probe(
    state: DispatcherState, entry: RequestEntry
) -> decisions.routing.HostChoice | None:
    """Returns an ejected host to be probed by this request, if one is due.

    Only the first attempt of an idempotent request is used as a probe.
    """
    if not entry.body.idempotent or entry.history.tried_hosts or not state.routing:
        return None
    service = state.configuration.services_by_id.get(entry.body.service)
    table = state.health_by_pool.get(service.pool) if service else None
    if table is None:
        return None
    for host_id in table.health_by_host:
        host = state.configuration.hosts_by_id.get(host_id)
        load = state.routing.hosts_by_id.get(host_id)
        usable = (
            host is not None
            and load is not None
            and host.state is HostState.ACTIVE
            and load.configured_reason is None
            and host_id not in state.silent_hosts
        )
        if usable and decisions.ejection.begin_probe(
            table, host_id, entry.request_id, now_ms()
        ):
            return load.choice if load else None
    return None
