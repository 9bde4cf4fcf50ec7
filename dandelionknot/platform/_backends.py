"""Client of one backend server."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dandelionknot._http_connections import HttpConnections, HttpResponse
from dandelionknot.errors import PortError, PortErrorKind
from dandelionknot.events import Event, log_event
from dandelionknot.jobs._generated import (
    HoldReport,
    OrderOutcome,
    StartAnswer,
    StartOrder,
)
from dandelionknot.platform._decode import convert_hold_report, decode
from dandelionknot.platform._generated import WireLists, WireOrderAnswer

OK = 200
CONFLICT = 409
# Status if the process at the address is not the one that `X-Expect-Instance` names.
MISDIRECTED = 421
# Statuses that count as the outcome `UNHEALTHY`.
UNHEALTHY = (429, 503)
# Outcomes by the reason in an answer with status 409.
OUTCOMES_BY_REASON = {
    'fence': OrderOutcome.FENCED,
    'old': OrderOutcome.SUPERSEDED,
    'late': OrderOutcome.TOO_LATE,
    'room': OrderOutcome.NO_ROOM,
    'ticket': OrderOutcome.TICKET_INVALID,
}


@dataclass(slots=True)
class PlatformBackendClient:
    """Calls to one lifetime of a backend server under a fencing token."""

    client: HttpConnections
    backend_id: str
    fencing_token: int

    def use_token(self, fencing_token: int) -> None:
        """Sets the fencing token of all further calls."""
        self.fencing_token = fencing_token

    async def hold(
        self, deadline_ms: int, acknowledged_end: int, wait_ms: int, timeout_ms: int
    ) -> Result[HoldReport, OrderOutcome]:
        """Extends the lease unless `deadline_ms` is 0; returns running and ended runs.

        The backend server may delay its answer by up to `wait_ms` until a run ends.
        """
        body: dict = {'fence': self.fencing_token, 'acked_upto': acknowledged_end}
        if deadline_ms:
            body['deadline_ms'] = deadline_ms
        if wait_ms:
            body['wait_ms'] = wait_ms
        answer = await self._call('/hold', body, timeout_ms + wait_ms)
        if isinstance(answer, Err):
            return Err(_outcome_of_error(answer.err_value))
        if answer.ok_value.status != OK:
            return Err(_outcome_of(answer.ok_value))
        decoded = decode(answer.ok_value.body, WireLists, 'lists')
        if isinstance(decoded, Err):
            self._log_malformed(str(decoded.err_value))
            return Err(OrderOutcome.REFUSED)
        report, problems = convert_hold_report(decoded.ok_value)
        for problem in problems:
            self._log_malformed(problem)
        return Ok(report)

    def _log_malformed(self, problem: str) -> None:
        log_event(
            Event.BACKEND_ANSWER_MALFORMED,
            backend_id=self.backend_id,
            address=self.client.address,
            problem=problem,
        )

    async def start(
        self, order: StartOrder, deadline_ms: int, timeout_ms: int
    ) -> StartAnswer:
        """Starts a run of a task; a repeated start of the same run is accepted."""
        body: dict = {
            'task': order.task_name,
            'run': order.run,
            'spec': order.payload,
            'deadline_ms': deadline_ms,
            'fence': self.fencing_token,
        }
        if order.checkpoint:
            body['checkpoint_data'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        answer = await self._call('/run-start', body, timeout_ms)
        if isinstance(answer, Err):
            return StartAnswer(outcome=_outcome_of_error(answer.err_value))
        clock_ms = -1
        if answer.ok_value.status in (OK, CONFLICT):
            decoded = decode(answer.ok_value.body, WireOrderAnswer, 'order')
            clock_ms = decoded.map_or(-1, lambda stated: stated.clock_ms)
        return StartAnswer(outcome=_outcome_of(answer.ok_value), clock_ms=clock_ms)

    async def stop(self, task_name: str, run: int, timeout_ms: int) -> OrderOutcome:
        """Stops a run, or makes the backend server reject it from now on."""
        body = {'task': task_name, 'run': run, 'fence': self.fencing_token}
        return await self._order('/run-stop', body, timeout_ms)

    async def pace(
        self, task_name: str, run: int, percent: int, timeout_ms: int
    ) -> OrderOutcome:
        """Limits a run to a percentage of its full speed."""
        body = {
            'task': task_name,
            'run': run,
            'percent': percent,
            'fence': self.fencing_token,
        }
        return await self._order('/pace', body, timeout_ms)

    def close(self) -> None:
        """Closes the connections."""
        self.client.close()

    async def _order(self, path: str, body: dict, timeout_ms: int) -> OrderOutcome:
        answer = await self._call(path, body, timeout_ms)
        if isinstance(answer, Err):
            return _outcome_of_error(answer.err_value)
        return _outcome_of(answer.ok_value)

    async def _call(
        self, path: str, body: dict, timeout_ms: int
    ) -> Result[HttpResponse, PortError]:
        headers = {'X-Expect-Instance': self.backend_id}
        return await self.client.call(
            'POST', path, msgspec.json.encode(body), timeout_ms, headers
        )


def _outcome_of_error(error: PortError) -> OrderOutcome:
    if error.kind is PortErrorKind.NOT_SENT:
        return OrderOutcome.NOT_SENT
    return OrderOutcome.NO_ANSWER


def _outcome_of(answer: HttpResponse) -> OrderOutcome:
    if answer.status == OK:
        return OrderOutcome.ACCEPTED
    if answer.status in UNHEALTHY:
        return OrderOutcome.UNHEALTHY
    if answer.status == MISDIRECTED:
        return OrderOutcome.OTHER_LIFETIME
    if answer.status == CONFLICT:
        decoded = decode(answer.body, WireOrderAnswer, 'order')
        if isinstance(decoded, Ok):
            reason = decoded.ok_value.reason
            return OUTCOMES_BY_REASON.get(reason, OrderOutcome.REFUSED)
    return OrderOutcome.REFUSED
