"""A small fleet with its stand-ins in one process on loopback, for demo and tests."""

import contextlib
import itertools
import json
import os
import socket
import uuid
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.httpclient import HTTPRequest

from dandelionknot import codec, decisions
from dandelionknot._http_client import HttpClient, new_http_client
from dandelionknot.cli._operator_client import (
    Endpoint,
    OperatorPort,
    http_operator_port,
)
from dandelionknot.clock import unix_ms
from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    FleetBounds,
    Host,
    Pool,
    QueueAccess,
    Service,
    Team,
)
from dandelionknot.entry import Entry, start_entry
from dandelionknot.messages import ListedHostState
from dandelionknot.operators import ChangeReport, ChangeRequest, Edit, EditKind
from dandelionknot.settings import EntrySettings
from standins.backend import (
    BackendStandin,
    BackendState,
    StartRecord,
    start_backend,
)
from standins.platform import PlatformStandin, start_platform
from standins.relay import Relay, start_relay
from standins.waiting import wait_until

CONFIGURATION_KEY = 'fleet/configuration'
PEER_SECRET = 'loopback-peer-secret'
OPERATOR_ID = 'operator-1'
OPERATOR_TOKEN = 'loopback-operator-token'
OPERATORS_BY_ID = {
    OPERATOR_ID: {'token': OPERATOR_TOKEN, 'role': 'administrator'},
    'operator-2': {'token': 'loopback-second-token', 'role': 'administrator'},
    'maintainer-1': {'token': 'loopback-maintainer-token', 'role': 'maintainer'},
    'viewer-1': {'token': 'loopback-viewer-token', 'role': 'viewer'},
}
REGION = 'region-1'
# Time limit for an entry host to become ready.
READY_TIMEOUT_S = 15
# Limit of the connections of all callers together.
CLIENT_CONNECTIONS = 256
OPERATOR_TIMEOUT_MS = 20_000
FIRST_PORT = 10_000
# First port of Linux's default range for outgoing connections.
FIRST_EPHEMERAL_PORT = 32_768
PORT_BLOCKS = 16
PORTS_PER_BLOCK = (FIRST_EPHEMERAL_PORT - FIRST_PORT) // PORT_BLOCKS
# Time bounds that pass within a few seconds, for tests in real time.
SHORT_BOUNDS = FleetBounds(
    freshness_bound_ms=1000,
    isolation_bound_ms=1500,
    start_token_ms=300,
    task_lease_ms=1500,
    drift_margin_ms=100,
    ramp_ms=2000,
)
# Settings of entry hosts that fit `SHORT_BOUNDS`.
SHORT_INTERVALS: dict[str, object] = {
    'peer_ping_interval_ms': 100,
    'platform_read_interval_ms': 200,
    'member_lease_ms': 1000,
    'read_timeout_ms': 500,
}


_port_numbers = itertools.count()


def free_port(ip: str = '127.0.0.1') -> int:
    """Returns a port that was free at the time of the call.

    Ports in the kernel's range for outgoing connections are not used, since one of
    those may be taken before the caller listens. For the same reason, processes with
    consecutive process ids use different blocks of ports.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    while True:
        port = first + next(_port_numbers) % PORTS_PER_BLOCK
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """HTTP status and decoded JSON body of an answer to a caller."""

    status: int
    body: dict


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Sizes, limits and settings of a small fleet."""

    zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c')
    entries_per_zone: int = 1
    hosts_per_zone: int = 2
    max_unavailable: int = 1
    slots: int = 8
    teams: dict[str, int] = field(default_factory=lambda: {'desk': 20, 'night': 20})
    settings: dict[str, object] = field(default_factory=dict)
    bounds: FleetBounds = field(default_factory=FleetBounds)

    @classmethod
    def with_short_bounds(cls, **fields: Any) -> 'FleetSettings':
        """Returns the settings of a fleet whose bounds pass within a few seconds."""
        short: dict[str, Any] = {'bounds': SHORT_BOUNDS, 'settings': SHORT_INTERVALS}
        return cls(**short | fields)


@dataclass(slots=True)
class LocalFleet:
    """The running stand-ins and entry hosts of a small fleet."""

    plan: FleetSettings
    platform: PlatformStandin
    platform_relay: Relay
    backends_by_host: dict[str, BackendStandin]
    configuration: Configuration
    keys_by_team: dict[str, str]
    entries_by_id: dict[str, Entry] = field(default_factory=dict)
    relays_by_id: dict[str, Relay] = field(default_factory=dict)
    client: HttpClient = field(
        default_factory=lambda: new_http_client(CLIENT_CONNECTIONS)
    )

    def source_ip(self, zone: str) -> str:
        """Returns the loopback address from which a zone's entry hosts connect."""
        return f'127.0.{10 + self.plan.zones.index(zone)}.1'

    def zone_host_ids(self, zone: str) -> list[str]:
        """Returns the ids of the hosts of a zone that run backend servers."""
        return [
            host_id
            for host_id, host in self.configuration.hosts_by_id.items()
            if host.availability_zone == zone
        ]

    def settings_for(self, member_id: str, zone: str) -> EntrySettings:
        """Returns the settings of an entry host in a zone."""
        ip = self.source_ip(zone)
        data = {
            'member_id': member_id,
            'availability_zone': zone,
            'region': REGION,
            'caller_address': f'{ip}:{free_port(ip)}',
            'operator_address': f'{ip}:{free_port(ip)}',
            'peer_address': f'{ip}:{free_port(ip)}',
            'platform_address': self.platform_relay.address,
            'peer_secret': PEER_SECRET,
            'operators_by_id': OPERATORS_BY_ID,
            'source_ip': ip,
        }
        decoded = codec.from_data(data | self.plan.settings, EntrySettings, member_id)
        return decoded.unwrap()

    async def start_entry(self, member_id: str, zone: str) -> Entry:
        """Starts an entry host with a relay in front of its peer address.

        The relay can cut the peer links to the entry host.
        """
        settings = self.settings_for(member_id, zone)
        relay = await start_relay(settings.peer_address)
        settings = replace(settings, advertised_peer_address=relay.address)
        self.relays_by_id[member_id] = relay
        entry = await start_entry(settings)
        self.entries_by_id[member_id] = entry
        return entry

    async def wait_until_ready(self) -> None:
        """Waits until every entry host is ready for callers."""
        for entry in list(self.entries_by_id.values()):
            await wait_until(entry.is_ready, READY_TIMEOUT_S)

    def put_configuration(self, configuration: Configuration) -> None:
        """Writes a configuration to the platform directly, as an entry host would."""
        self.configuration = configuration
        text = codec.encode_json(configuration).decode()
        self.platform.state.put(CONFIGURATION_KEY, text)

    async def submit(self, member_id: str, **fields: object) -> Response:
        """Sends a request to an entry host and waits for its answer.

        `team` selects the key, and `key` replaces it. `task` is the payload. All other
        fields are added to the body.
        """
        body: dict = {
            'request_id': new_request_id(),
            'service': 'quotes',
            'deadline_ms': 5000,
            'idempotent': True,
        }
        team = str(fields.pop('team', 'desk'))
        key = fields.pop('key', self.keys_by_team.get(team))
        body['payload'] = json.dumps(fields.pop('task', {'text': 'answer'}))
        return await self.call(member_id, 'POST', '/v1/requests', key, body | fields)

    async def call(
        self,
        member_id: str,
        method: str,
        path: str,
        key: object = None,
        body: dict | None = None,
    ) -> Response:
        """Makes one HTTP call to the caller address of an entry host."""
        address = self.entries_by_id[member_id].context.settings.caller_address
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        request = HTTPRequest(
            f'http://{address}{path}',
            method=method,
            body=json.dumps(body) if body is not None else None,
            headers=headers,
            request_timeout=60,
            allow_nonstandard_methods=True,
        )
        response = await self.client.fetch(request, raise_error=False)
        return Response(status=response.code, body=json.loads(response.body or b'{}'))

    def count_starts(self, request_id: str) -> int:
        """Returns how often a request was started, on all backend servers together."""
        return sum(
            backend.state.runs_by_request.get(request_id, 0)
            for backend in self.backends_by_host.values()
        )

    def starts(self) -> list[StartRecord]:
        """Returns the starts on all backend servers, ordered by time."""
        starts = [
            start
            for backend in self.backends_by_host.values()
            for start in backend.state.starts
        ]
        return sorted(starts, key=lambda start: start.at_ms)

    def zone_starts(self, zone: str) -> list[StartRecord]:
        """Returns the starts on the backend servers of a zone."""
        return [
            start
            for host_id in self.zone_host_ids(zone)
            for start in self.backends_by_host[host_id].state.starts
        ]

    def operator(self, member_id: str, operator_id: str = OPERATOR_ID) -> OperatorPort:
        """Returns a client of the operator API of an entry host for one operator."""
        settings = self.entries_by_id[member_id].context.settings
        return http_operator_port(
            Endpoint(
                address=settings.operator_address,
                token=OPERATORS_BY_ID[operator_id]['token'],
                timeout_ms=OPERATOR_TIMEOUT_MS,
            )
        )

    async def change(
        self, through: str, kind: EditKind, change_id: str = '', **fields: Any
    ) -> ChangeReport:
        """Makes one edit of the configuration through an entry host, as an operator.

        `expected_version` is the version in force at that entry host unless given.
        `operator_id` selects the operator, by default the administrator `operator-1`.
        """
        port = self.operator(through, fields.pop('operator_id', OPERATOR_ID))
        version = fields.pop('expected_version', None)
        if version is None:
            version = self.entries_by_id[through].state.configuration.version
        request = ChangeRequest(
            change_id=change_id or f'change-{uuid.uuid4().hex[:12]}',
            expected_version=version,
            edit=Edit(kind=kind, **fields),
        )
        return (await port.change(request)).unwrap()

    async def kill(self, member_id: str) -> None:
        """Ends an entry host at once, as in a crash."""
        await self.relays_by_id.pop(member_id).stop()
        await self.entries_by_id.pop(member_id).kill()

    def cut_zone(self, zone: str) -> None:
        """Cuts a zone off from the platform and from the other zones.

        Entry hosts get no answer from backend servers and entry hosts on the other side
        of the cut.
        """
        own_ip = self.source_ip(zone)
        other_ips = {self.source_ip(each) for each in self.plan.zones} - {own_ip}
        self.platform.state.faults.cut_source_ips.add(own_ip)
        for host_id, backend in self.backends_by_host.items():
            inside = host_id in self.zone_host_ids(zone)
            cut = other_ips if inside else {own_ip}
            backend.state.faults.cut_source_ips |= cut
        for member_id, relay in self.relays_by_id.items():
            member_zone = self.entries_by_id[member_id].state.own_zone
            relay.cut(other_ips if member_zone == zone else {own_ip})

    def heal(self) -> None:
        """Ends all cuts."""
        self.platform.state.faults.cut_source_ips.clear()
        for backend in self.backends_by_host.values():
            backend.state.faults.cut_source_ips.clear()
        for relay in self.relays_by_id.values():
            relay.cut(set())

    async def stop(self) -> None:
        """Ends entry hosts, relays and stand-ins without waiting for requests."""
        for entry in self.entries_by_id.values():
            await entry.kill()
        for relay in self.relays_by_id.values():
            await relay.stop()
        for backend in self.backends_by_host.values():
            await backend.stop()
        await self.platform_relay.stop()
        await self.platform.stop()
        self.client.close()


def new_request_id() -> str:
    """Returns a new request id with the current time."""
    return decisions.slices.new_request_id(unix_ms(), os.urandom(10))


async def start_fleet(fleet_settings: FleetSettings | None = None) -> LocalFleet:
    """Starts a fleet and waits until every entry host is ready for callers."""
    fleet_settings = fleet_settings or FleetSettings()
    platform = await start_platform()
    platform_relay = await start_relay(platform.address)
    backends_by_host: dict[str, BackendStandin] = {}
    hosts_by_id: dict[str, Host] = {}
    for zone in fleet_settings.zones:
        for number in range(fleet_settings.hosts_per_zone):
            host_id = f'{zone}-host-{number}'
            backend = await start_backend(
                state=BackendState(
                    slots=fleet_settings.slots,
                    start_token_ms=fleet_settings.bounds.start_token_ms,
                )
            )
            backends_by_host[host_id] = backend
            platform.state.listed_states_by_host[host_id] = ListedHostState.LIVE
            hosts_by_id[host_id] = Host(
                availability_zone=zone,
                rack=f'{zone}-rack-{number}',
                pool='quotes',
                address=backend.address,
                slots=fleet_settings.slots,
            )
    keys_by_team: dict[str, str] = {}
    teams_by_id: dict[str, Team] = {}
    for team_id, limit in fleet_settings.teams.items():
        issued = decisions.keys.issue_key(team_id, 'key-1', os.urandom(48)).unwrap()
        keys_by_team[team_id] = issued.key
        teams_by_id[team_id] = Team(
            upper_limit=limit, keys_by_id={'key-1': issued.record}
        )
    configuration = Configuration(
        version=1,
        bounds=fleet_settings.bounds,
        availability_zones_by_id={
            zone: AvailabilityZone(region=REGION) for zone in fleet_settings.zones
        },
        pools_by_id={'quotes': Pool()},
        hosts_by_id=hosts_by_id,
        services_by_id={
            'quotes': Service(
                pool='quotes', max_unavailable=fleet_settings.max_unavailable
            ),
            'bulletin': Service(
                pool='quotes',
                access=QueueAccess.OPEN,
                max_unavailable=fleet_settings.max_unavailable,
            ),
        },
        teams_by_id=teams_by_id,
    )
    fleet = LocalFleet(
        fleet_settings,
        platform,
        platform_relay,
        backends_by_host,
        configuration,
        keys_by_team,
    )
    fleet.put_configuration(configuration)
    for zone in fleet_settings.zones:
        for number in range(fleet_settings.entries_per_zone):
            await fleet.start_entry(f'{zone}-entry-{number}', zone)
    await fleet.wait_until_ready()
    return fleet
