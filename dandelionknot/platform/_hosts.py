"""Client of the platform's host service."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dandelionknot._http_connections import HttpConnections, HttpResponse
from dandelionknot.clock import now_ms
from dandelionknot.errors import PortError, PortErrorKind
from dandelionknot.events import Event, log_event
from dandelionknot.jobs._generated import (
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
)
from dandelionknot.platform._decode import convert_rows, decode, host
from dandelionknot.platform._generated import WireMachines, WireOrderAnswer

OK = 200
CONFLICT = 409
# Status if the platform does not know the host of an order.
UNKNOWN = 400
# If the platform answers an order with one of these statuses, it has not carried it
# out.
NOT_DONE = (429, 503)
# Time limit of one call.
TIMEOUT_MS = 1500
# Outcomes by the reason that the platform states with status 409.
OUTCOMES_BY_REASON = {
    'fence': HostOrderOutcome.FENCED,
    'busy': HostOrderOutcome.BUSY,
    'wave': HostOrderOutcome.OTHER_WAVE,
}


@dataclass(slots=True)
class PlatformHostClient:
    """Lists hosts, and orders maintenance and moves of hosts on behalf of a member."""

    client: HttpConnections
    member_id: str

    async def list_hosts(self) -> Result[HostsListed, PortError]:
        """Reads all pages of the host list."""
        sent_ms = now_ms()
        complete = True
        hosts: list[Host] = []
        token: str | None = ''
        while token is not None:
            path = f'/machines?page_token={token}' if token else '/machines'
            answer = await self.client.call('GET', path, None, TIMEOUT_MS)
            if isinstance(answer, Err):
                return answer
            decoded = decode(answer.ok_value.body, WireMachines, 'hosts')
            if answer.ok_value.status != OK or isinstance(decoded, Err):
                message = f'host list not read: HTTP status {answer.ok_value.status}'
                return Err(PortError(kind=PortErrorKind.REJECTED, message=message))
            listed, problems = convert_rows(decoded.ok_value.machines, host)
            hosts.extend(listed)
            complete = complete and not problems
            for problem in problems:
                log_event(Event.HOST_ROW_MALFORMED, problem=problem)
            token = decoded.ok_value.next_token or None
        return Ok(HostsListed(hosts=hosts, sent_ms=sent_ms, complete=complete))

    async def order(
        self, order: HostOrder, fencing_token: int, valid_until_ms: int
    ) -> HostOrderOutcome:
        """Sends an order; a repeated order that was already carried out is accepted.

        An order with a pool moves the host; any other takes it down for maintenance.
        The order is not sent after the local time `valid_until_ms`, since the platform
        may not compare fencing tokens.
        """
        if not order.pool:
            path = '/machine-upkeep'
            body: dict = {'machine': order.host_id, 'wave': order.wave_number}
        else:
            path = '/machine-move'
            body = {'machine': order.host_id, 'pool': order.pool}
        headers = {
            'X-Duty-Holder': self.member_id,
            'X-Fence-Token': str(fencing_token),
        }
        answer = await self.client.call(
            'POST',
            path,
            msgspec.json.encode(body),
            TIMEOUT_MS,
            headers,
            valid_until_ms=valid_until_ms,
        )
        if isinstance(answer, Err):
            if answer.err_value.kind is PortErrorKind.NOT_SENT:
                return HostOrderOutcome.NOT_DONE
            return HostOrderOutcome.NO_ANSWER
        return _outcome_of(answer.ok_value)


def _outcome_of(answer: HttpResponse) -> HostOrderOutcome:
    if answer.status == OK:
        return HostOrderOutcome.ACCEPTED
    if answer.status == UNKNOWN:
        return HostOrderOutcome.UNKNOWN_HOST
    if answer.status in NOT_DONE:
        return HostOrderOutcome.NOT_DONE
    if answer.status == CONFLICT:
        decoded = decode(answer.body, WireOrderAnswer, 'host order')
        if isinstance(decoded, Ok):
            reason = decoded.ok_value.reason
            return OUTCOMES_BY_REASON.get(reason, HostOrderOutcome.NO_ANSWER)
    return HostOrderOutcome.NO_ANSWER
