"""Starts the processes of a cost measurement on loopback.

These are entry hosts and stand-ins. Relays in this process count the bytes that they
exchange.
"""

import asyncio
import json
import os
import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from tornado.httpclient import HTTPError, HTTPRequest

from dandelionknot import codec
from dandelionknot._http_client import HttpClient
from measure.cost_sizes import Size, configuration_of, zone_of
from standins.backend import following_ips
from standins.fleet import (
    CONFIGURATION_KEY,
    OPERATOR_TOKEN,
    PEER_SECRET,
    free_port,
)
from standins.relay import Relay, start_relay
from standins.waiting import wait_until

BACKEND_FIRST_IP = '127.30.0.1'
RELAY_FIRST_IP = '127.20.0.1'
MEMBER_FIRST_IP = '127.10.0.1'
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 10
# Removed from the environment, so that measured processes use cached bytecode as in a
# deployment.
NO_BYTECODE_VARIABLE = 'PYTHONDONTWRITEBYTECODE'
RUN_ENTRY = """import sys; from pathlib import Path; from dandelionknot import core
from dandelionknot import settings
sys.exit(core.run_entry(settings.load_entry_settings(Path(sys.argv[1])).unwrap()))"""


@dataclass(slots=True)
class Bench:
    """Test bench: running processes, the relays in front of them and an HTTP client."""

    directory: Path
    client: HttpClient
    processes_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    platform_address: str = ''
    platform_relay: Relay | None = None
    peer_relays: list[Relay] = field(default_factory=list)
    backend_relays: list[Relay] = field(default_factory=list)
    operator_addresses: list[str] = field(default_factory=list)
    caller_addresses: list[str] = field(default_factory=list)

    def member_pids(self) -> list[int]:
        """Returns the process ids of the entry hosts, in the order of their member ids.

        The first one carries out the fleet duties.
        """
        return [
            process.pid
            for name, process in self.processes_by_name.items()
            if name.startswith('entry-')
        ]

    async def stop(self) -> None:
        """Kills every process of the bench, and closes the relays and the client."""
        for process in reversed(list(self.processes_by_name.values())):
            process.kill()
            process.wait(STOP_TIMEOUT_S)
        relays = [*self.peer_relays, *self.backend_relays]
        if self.platform_relay is not None:
            relays.append(self.platform_relay)
        for relay in relays:
            await relay.stop()
        self.client.close()


def _environment(directory: Path) -> dict[str, str]:
    # All benches of one run share the bytecode cache.
    cache = directory.parent / 'bytecode'
    inherited = {
        key: value for key, value in os.environ.items() if key != NO_BYTECODE_VARIABLE
    }
    return inherited | {'PYTHONPYCACHEPREFIX': str(cache)}


def start_process(bench: Bench, name: str, arguments: list[str]) -> subprocess.Popen:
    """Starts a Python process of the bench; its standard output is a pipe."""
    log = (bench.directory / f'{name}.log').open('w')
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=log,
        text=True,
        env=_environment(bench.directory),
    )
    log.close()
    bench.processes_by_name[name] = process
    return process


def _start_standin(bench: Bench, name: str, arguments: list[str]) -> str:
    process = start_process(bench, name, ['-m', 'standins', name, *arguments])
    assert process.stdout is not None
    return process.stdout.readline().split()[-1]


async def call_json(
    bench: Bench, address: str, path: str, body: object = None, token: str = ''
) -> dict:
    """Sends a POST with a JSON body, or a GET without one; returns the JSON answer."""
    request = HTTPRequest(
        f'http://{address}{path}',
        method='GET' if body is None else 'POST',
        body=None if body is None else codec.encode_json(body),
        headers={'Authorization': f'Bearer {token}'} if token else {},
        request_timeout=READY_TIMEOUT_S,
    )
    response = await bench.client.fetch(request, raise_error=False)
    return json.loads(response.body or b'{}')


async def _is_ready(bench: Bench, address: str) -> bool:
    url = f'http://{address}/readyz'
    try:
        await bench.client.fetch(url)
    except HTTPError:
        return False
    return True


async def _start_member(bench: Bench, size: Size, number: int, ip: str) -> None:
    addresses = {
        name: f'{ip}:{free_port(ip)}'
        for name in ('caller_address', 'operator_address', 'peer_address')
    }
    relay = await start_relay(addresses['peer_address'])
    assert bench.platform_relay is not None
    settings = {
        # The member with the lowest id carries out the fleet duties.
        'member_id': f'entry-{number:02}',
        'availability_zone': zone_of(size, number),
        'region': 'region-1',
        'platform_address': bench.platform_relay.address,
        'advertised_peer_address': relay.address,
        'peer_secret': PEER_SECRET,
        'operator_tokens_by_id': {'operator-1': OPERATOR_TOKEN},
        'source_ip': ip,
        **addresses,
    }
    path = bench.directory / f'entry-{number:02}.yaml'
    path.write_text(json.dumps(settings))
    bench.peer_relays.append(relay)
    bench.operator_addresses.append(addresses['operator_address'])
    bench.caller_addresses.append(addresses['caller_address'])
    start_process(bench, f'entry-{number:02}', ['-c', RUN_ENTRY, str(path)])


async def start_bench(size: Size, bench: Bench) -> str:
    """Starts stand-ins, relays and entry hosts; returns the key of the first team.

    It returns once every entry host is ready.
    """
    backend = await asyncio.to_thread(
        _start_standin, bench, 'backend', [f'{BACKEND_FIRST_IP}:0', str(size.hosts)]
    )
    backend_port = backend.rpartition(':')[2]
    relay_ips = following_ips(RELAY_FIRST_IP, size.hosts)
    backend_ips = following_ips(BACKEND_FIRST_IP, size.hosts)
    for relay_ip, ip in zip(relay_ips, backend_ips, strict=True):
        relay = await start_relay(f'{ip}:{backend_port}', f'{relay_ip}:0')
        bench.backend_relays.append(relay)
    bench.platform_address = await asyncio.to_thread(
        _start_standin, bench, 'platform', ['127.0.0.1:0']
    )
    bench.platform_relay = await start_relay(bench.platform_address)
    addresses = [relay.address for relay in bench.backend_relays]
    configuration, key = configuration_of(size, addresses)
    listed = {host_id: 'live' for host_id in configuration.hosts_by_id}
    await call_json(bench, bench.platform_address, '/v1/hosts', listed)
    written = {
        'key': CONFIGURATION_KEY,
        'expected_revision': 0,
        'value': codec.encode_json(configuration).decode(),
    }
    await call_json(bench, bench.platform_address, '/v1/values', written)
    for number, ip in enumerate(following_ips(MEMBER_FIRST_IP, size.members)):
        await _start_member(bench, size, number, ip)
    for address in bench.caller_addresses:
        await wait_until(partial(_is_ready, bench, address), READY_TIMEOUT_S)
    return key


def fill_bytecode_cache(directory: Path) -> None:
    """Compiles the modules of the measured processes into the shared bytecode cache.

    Otherwise the first bench would also measure their compilation.
    """
    modules = 'dandelionknot.core, dandelionknot.cli, measure.load, standins.__main__'
    subprocess.run(
        [sys.executable, '-c', f'import {modules}'],
        env=_environment(directory / 'any'),
        check=True,
    )
