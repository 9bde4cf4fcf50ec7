"""Stand-in for the platform over HTTP: key-value service and host list.

The host list may be out of date.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

import tornado.web
from result import Err

from dandelionknot import codec
from dandelionknot._http_client import ConnectionHealth, HttpTarget, new_http_client
from dandelionknot.clock import now_ms, seconds
from dandelionknot.entry._platform_http import http_platform_port
from dandelionknot.messages import (
    HostList,
    LeaseGrant,
    ListedHostState,
    StoredList,
    StoredValue,
    WriteOutcome,
    WriteRequest,
    WriteResult,
)
from dandelionknot.ports import PlatformPort
from standins.faults import FaultsHandler, FaultyHandler
from standins.server import Standin, start_standin

MAX_VALUE_BYTES = 1_000_000
# Limit of the time that a watch waits for changes.
MAX_WAIT_MS = 60_000
# Interval of the scans that end expired leases.
LEASE_SCAN_MS = 50
# Time limit of connecting and of reading, for calls made through `platform_port`.
CALL_TIMEOUT_MS = 2000


@dataclass(slots=True)
class PlatformFaults:
    """Faults in effect. Tests and calls to `/v1/faults` set the fields."""

    # Delay of every call.
    delay_ms: int = 0
    # All connections are closed without an answer.
    down: bool = False
    # Number of upcoming writes that are carried out but not answered.
    lost_write_answers: int = 0
    # Only writes to keys with this prefix lose their answers.
    lost_write_prefix: str = ''
    # Callers with these addresses get no answer.
    cut_source_ips: set[str] = field(default_factory=set)
    # Readers see the previous host list until this time after a change.
    list_lag_ms: int = 0


@dataclass(slots=True)
class _Entry:
    revision: int
    value: str
    lease_id: str | None


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int


@dataclass(slots=True)
class PlatformState:
    """Values, leases, host list, faults and call counts of the stand-in."""

    revision: int = 0
    entries_by_key: dict[str, _Entry] = field(default_factory=dict)
    deleted_revisions_by_key: dict[str, int] = field(default_factory=dict)
    leases_by_id: dict[str, _Lease] = field(default_factory=dict)
    listed_states_by_host: dict[str, ListedHostState] = field(default_factory=dict)
    list_changed_ms: int = 0
    previous_states_by_host: dict[str, ListedHostState] = field(default_factory=dict)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls_by_kind: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def count(self, kind: str) -> None:
        """Counts one call of a kind."""
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def wake_watches(self) -> None:
        """Wakes all waiting watches, so that they read the values again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: str | None, lease_id: str | None = None) -> int:
        """Stores a value, or deletes the key for None, and returns the new revision."""
        self.revision += 1
        if value is None:
            self.entries_by_key.pop(key, None)
            self.deleted_revisions_by_key[key] = self.revision
        else:
            self.entries_by_key[key] = _Entry(self.revision, value, lease_id)
            self.deleted_revisions_by_key.pop(key, None)
        self.wake_watches()
        return self.revision

    def expire_leases(self) -> None:
        """Ends the leases that have expired and deletes their values."""
        now = now_ms()
        expired = {
            lease_id
            for lease_id, lease in self.leases_by_id.items()
            if lease.expires_ms <= now
        }
        for lease_id in expired:
            del self.leases_by_id[lease_id]
        keys = [
            key
            for key, entry in self.entries_by_key.items()
            if entry.lease_id in expired
        ]
        for key in keys:
            self.put(key, None)

    def set_listed_state(self, host_id: str, state: ListedHostState) -> None:
        """Changes the host list; readers see it after `list_lag_ms`."""
        self.previous_states_by_host = dict(self.listed_states_by_host)
        self.listed_states_by_host[host_id] = state
        self.list_changed_ms = now_ms()


def compare_and_swap(state: PlatformState, request: WriteRequest) -> WriteResult:
    """Carries out a write if the key still has the expected revision."""
    entry = state.entries_by_key.get(request.key)
    revision = entry.revision if entry else 0
    if revision != request.expected_revision:
        return WriteResult(outcome=WriteOutcome.CONFLICT, revision=revision)
    revision = state.put(request.key, request.value, request.lease_id)
    return WriteResult(outcome=WriteOutcome.WRITTEN, revision=revision)


def values_after(state: PlatformState, prefix: str, after: int) -> StoredList:
    """Returns the values below a prefix written after a revision, and keys deleted.

    With the revision -1, returns all values and no deleted keys.
    """
    values = [
        StoredValue(key=key, revision=entry.revision, value=entry.value)
        for key, entry in sorted(state.entries_by_key.items())
        if key.startswith(prefix) and entry.revision > after
    ]
    deleted = [
        key
        for key, revision in sorted(state.deleted_revisions_by_key.items())
        if key.startswith(prefix) and revision > after >= 0
    ]
    return StoredList(revision=state.revision, values=values, deleted_keys=deleted)


class _Handler(FaultyHandler):
    state: PlatformState


class _ValueHandler(_Handler):
    def get(self, key: str) -> None:
        self.state.count('read')
        entry = self.state.entries_by_key.get(key)
        if entry is None:
            self.send(StoredValue(key=key, revision=0, value=''))
            return
        self.send(StoredValue(key=key, revision=entry.revision, value=entry.value))


class _ValuesHandler(_Handler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after', '-1'))
        wait_ms = min(int(self.get_query_argument('wait_ms', '0')), MAX_WAIT_MS)
        self.state.count('watch' if wait_ms else 'list')
        deadline_ms = now_ms() + wait_ms
        found = values_after(self.state, prefix, after)
        while not found.values and not found.deleted_keys:
            remaining_ms = deadline_ms - now_ms()
            if remaining_ms <= 0 or self.state.faults.down:
                break
            changed = self.state.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), seconds(remaining_ms))
            found = values_after(self.state, prefix, after)
        self.send(found)

    def post(self) -> None:
        self.state.count('write')
        decoded = codec.decode_json(self.request.body, WriteRequest, 'write')
        if isinstance(decoded, Err):
            self.set_status(400)
            self.finish({'message': str(decoded.err_value)})
            return
        request = decoded.ok_value
        if len((request.value or '').encode()) > MAX_VALUE_BYTES:
            self.set_status(413)
            self.finish({'message': 'value is larger than 1 MB; nothing was written'})
            return
        outcome = compare_and_swap(self.state, request)
        faults = self.state.faults
        has_lost_prefix = request.key.startswith(faults.lost_write_prefix)
        if faults.lost_write_answers > 0 and has_lost_prefix:
            faults.lost_write_answers -= 1
            self.drop()
            return
        self.send(outcome)


class _LeasesHandler(_Handler):
    def post(self) -> None:
        self.state.count('lease')
        ttl_ms = int(json.loads(self.request.body)['ttl_ms'])
        lease_id = (
            f'lease-{self.state.revision}-{len(self.state.leases_by_id)}-{now_ms()}'
        )
        self.state.leases_by_id[lease_id] = _Lease(ttl_ms, now_ms() + ttl_ms)
        self.send(LeaseGrant(lease_id=lease_id, ttl_ms=ttl_ms))


class _RenewHandler(_Handler):
    def post(self, lease_id: str) -> None:
        self.state.count('renew')
        self.state.expire_leases()
        lease = self.state.leases_by_id.get(lease_id)
        if lease is None:
            self.set_status(404)
            self.finish({'message': f'lease {lease_id} has expired or is unknown'})
            return
        lease.expires_ms = now_ms() + lease.ttl_ms
        self.send(LeaseGrant(lease_id=lease_id, ttl_ms=lease.ttl_ms))


class _HostsHandler(_Handler):
    def get(self) -> None:
        self.state.count('list_hosts')
        age_ms = now_ms() - self.state.list_changed_ms
        lagging = age_ms < self.state.faults.list_lag_ms
        states = (
            self.state.previous_states_by_host
            if lagging
            else self.state.listed_states_by_host
        )
        self.send(HostList(states_by_host=dict(states), age_ms=0))

    def post(self) -> None:
        for host_id, state in json.loads(self.request.body).items():
            self.state.set_listed_state(host_id, ListedHostState(state))


class _CallsHandler(tornado.web.RequestHandler):
    """Returns the call counts. Calls of this handler are not counted."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    def get(self) -> None:
        self.write(self.state.calls_by_kind)


PlatformStandin = Standin[PlatformState]


async def start_platform(address: str = '127.0.0.1:0') -> PlatformStandin:
    """Starts the stand-in on `IP:PORT`; port 0 selects a free port."""
    state = PlatformState()
    arguments = {'state': state}
    routes: list = [
        (r'/v1/values/(.+)', _ValueHandler, arguments),
        (r'/v1/values', _ValuesHandler, arguments),
        (r'/v1/leases', _LeasesHandler, arguments),
        (r'/v1/leases/([^/]+)/renew', _RenewHandler, arguments),
        (r'/v1/hosts', _HostsHandler, arguments),
        (r'/v1/calls', _CallsHandler, arguments),
        (r'/v1/faults', FaultsHandler, {'faults': state.faults}),
    ]
    scan = PlatformState.expire_leases
    return start_standin(state, address, routes, scan, LEASE_SCAN_MS)


def platform_port(address: str) -> PlatformPort:
    """Returns a client of a stand-in for use outside of an entry host."""
    return http_platform_port(
        HttpTarget(
            client=new_http_client(1),
            address=address,
            connect_timeout_ms=CALL_TIMEOUT_MS,
            read_timeout_ms=CALL_TIMEOUT_MS,
            source_ip=None,
            health=ConnectionHealth(),
        )
    )
