"""Updates the routing table and the queues from the ends of attempts."""

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.entry._requests import RequestEntry
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import AttemptEnded, StartRefusal


def record_report(state: DispatcherState, message: AttemptEnded) -> None:
    """Records in the routing table how many tasks a host runs and if it is full."""
    report = message.report
    assert state.routing is not None
    if report is None:
        return
    if report.running is not None:
        decisions.routing.host_reported(
            state.routing, message.host_id, report.running, now_ms()
        )
    if report.refusal is StartRefusal.BUSY:
        decisions.routing.host_busy(state.routing, message.host_id, now_ms())


def record_run_time(state: DispatcherState, entry: RequestEntry, now: int) -> None:
    """Records in the queue the time from the start order of a task to its answer."""
    queues = state.queues_by_service.get(entry.body.service)
    if queues is None or entry.inherited:
        return
    run_ms = now - entry.start_sent_ms
    decisions.queueing.record_run_time(
        queues, entry.accounting_team, entry.body.priority, run_ms
    )
