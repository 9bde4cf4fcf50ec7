"""Client of the platform's store."""

import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from dandelionknot._http_connections import HttpConnections, HttpResponse
from dandelionknot.errors import PortErrorKind
from dandelionknot.platform._decode import decode
from dandelionknot.platform._generated import (
    WireEvents,
    WireItem,
    WireItems,
    WireLease,
    WireTransaction,
)
from dandelionknot.store import (
    HistoryLost,
    Item,
    LeaseGranted,
    Page,
    Precondition,
    Put,
    StoreChanges,
    StoreError,
    WriteOutcome,
    Written,
)

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
# If the store answers a call with one of these statuses, it has not carried it out.
NOT_DONE = (429, 503)
# With one of these, it would not carry out the same call later either.
REJECTED = (400, 403, 413)


@dataclass(slots=True)
class PlatformStore:
    """Calls to the platform's key-value store."""

    client: HttpConnections

    async def read_page(
        self, prefix: str, after: str, timeout_ms: int
    ) -> Result[Page, StoreError]:
        """Reads one page of the items under a prefix whose keys follow `after`."""
        path = f'/kv-range?prefix={quote(prefix, safe="")}'
        if after:
            path += f'&after={quote(after, safe="")}'
        answer = await self._call('GET', path, None, timeout_ms)
        if isinstance(answer, Err):
            return answer
        decoded = decode(answer.ok_value.body, WireItems, path)
        if isinstance(decoded, Err):
            return Err(_malformed_error(str(decoded.err_value)))
        wire = decoded.ok_value
        items = [_item(item) for item in wire.items]
        return Ok(Page(items, wire.truncated, wire.store_revision))

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int, timeout_ms: int
    ) -> Result[StoreChanges | HistoryLost, StoreError]:
        """Waits up to `wait_ms` for changes under a prefix after a revision.

        Returns `HistoryLost` if the store no longer has all of them.
        """
        path = (
            f'/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={after_revision}&wait_ms={wait_ms}'
        )
        answer = await self._call('GET', path, None, timeout_ms + wait_ms, (OK, GONE))
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == GONE:
            return Ok(HistoryLost())
        decoded = decode(answer.ok_value.body, WireEvents, path)
        if isinstance(decoded, Err):
            return Err(_malformed_error(str(decoded.err_value)))
        wire = decoded.ok_value
        return Ok(StoreChanges([_item(e) for e in wire.events], wire.store_revision))

    async def write(
        self,
        preconditions: list[Precondition],
        puts: list[Put],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Written, StoreError]:
        """Writes and deletes all items if every precondition holds, otherwise none."""
        body = {
            'precondition': [{'key': p.key, 'rev': p.revision} for p in preconditions],
            'set_keys': [
                {
                    'key': put.key,
                    'value': base64.b64encode(put.value).decode('ascii'),
                    'lease': put.lease_id,
                }
                for put in puts
            ],
            'delete_keys': deletes,
        }
        wanted = (OK, PRECONDITION_FAILED, NOT_FOUND)
        answer = await self._call(
            'POST', '/kv-txn', msgspec.json.encode(body), timeout_ms, wanted
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == NOT_FOUND:
            return Ok(Written(WriteOutcome.LEASE_ENDED))
        decoded = decode(answer.ok_value.body, WireTransaction, 'transaction')
        if isinstance(decoded, Err):
            return Err(_malformed_error(str(decoded.err_value)))
        wire = decoded.ok_value
        if answer.ok_value.status == PRECONDITION_FAILED:
            items = [_item(item) for item in wire.items]
            return Ok(Written(WriteOutcome.PRECONDITION_FAILED, items=items))
        return Ok(Written(WriteOutcome.WRITTEN, revision=wire.rev))

    async def grant_lease(
        self, duration_ms: int, timeout_ms: int
    ) -> Result[LeaseGranted, StoreError]:
        """Requests a lease; the store may grant another duration."""
        body = msgspec.json.encode({'ttl_ms': duration_ms})
        answer = await self._call('POST', '/kv-lease', body, timeout_ms)
        if isinstance(answer, Err):
            return answer
        decoded = decode(answer.ok_value.body, WireLease, 'lease')
        if isinstance(decoded, Err):
            return Err(_malformed_error(str(decoded.err_value)))
        wire = decoded.ok_value
        return Ok(LeaseGranted(wire.lease, wire.ttl_ms))

    async def renew_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[bool, StoreError]:
        """Renews a lease; the value is False if it has ended."""
        path = f'/kv-keep/{lease_id}'
        answer = await self._call('POST', path, b'', timeout_ms, (OK, NOT_FOUND))
        if isinstance(answer, Err):
            return answer
        return Ok(answer.ok_value.status == OK)

    async def end_lease(
        self, lease_id: int, timeout_ms: int
    ) -> Result[None, StoreError]:
        """Ends a lease, which deletes its items."""
        path = f'/kv-lease-end/{lease_id}'
        wanted = (OK, NO_CONTENT, NOT_FOUND)
        answer = await self._call('DELETE', path, None, timeout_ms, wanted)
        return answer.map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        wanted: tuple[int, ...] = (OK,),
    ) -> Result[HttpResponse, StoreError]:
        """Makes a call; an answer whose status is not in `wanted` is an error."""
        answer = await self.client.call(method, path, body, timeout_ms)
        if isinstance(answer, Err):
            problem = answer.err_value
            not_done = problem.kind is PortErrorKind.NOT_SENT
            return Err(StoreError(not_done=not_done, message=problem.message))
        status = answer.ok_value.status
        if status in wanted:
            return answer
        message = f'{path.split("?")[0]}: HTTP status {status}'
        rejected = status in REJECTED
        not_done = rejected or status in NOT_DONE
        return Err(StoreError(not_done=not_done, message=message, rejected=rejected))


def _malformed_error(problem: str) -> StoreError:
    return StoreError(not_done=False, message=problem)


def _item(wire: WireItem) -> Item:
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError:
        # Another writer has stored a value that is not base64.
        value = b''
    return Item(
        key=wire.key,
        value=value,
        revision=wire.rev,
        created=wire.created,
        lease_id=wire.lease,
        deleted=wire.tombstone,
    )
