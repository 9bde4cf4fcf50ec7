"""What the ends of attempts tell the routing table and the queues."""

from dandelionknot import decisions
from dandelionknot.clock import now_ms
from dandelionknot.entry._requests import RequestEntry
from dandelionknot.entry._state import DispatcherState
from dandelionknot.messages import AttemptEnded, StartRefusal


def note_report(state: DispatcherState, message: AttemptEnded) -> None:
    """Tells the routing table how full a host is."""
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
    """Tells the queue how long a task took from its start order to its answer."""
    queues = state.queues_by_service.get(entry.body.service)
    if queues is None or entry.inherited:
        return
    run_ms = now - entry.start_sent_ms
    decisions.queueing.record_run_time(
        queues, entry.accounting_team, entry.body.priority, run_ms
    )
