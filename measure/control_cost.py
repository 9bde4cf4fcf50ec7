"""Measures what one entry host costs, at several sizes of the fleet.

`run()` starts the stand-ins and entry hosts as processes on loopback, with a
generated configuration, and returns samples and straight-line fits.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from pathlib import Path
from statistics import median

import msgspec
from tornado.httpclient import HTTPError, HTTPRequest

from dandelionknot import codec, decisions
from dandelionknot._http_client import HttpClient, new_http_client
from dandelionknot.clock import now_ms, seconds
from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    Pool,
    Service,
    Team,
)
from measure.load import LoadPlan
from measure.processes import (
    Line,
    cpu_seconds,
    fit_line,
    proportional_mb,
    resident_mb,
)
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
SETTLE_S = 4
IDLE_S = 10.5
CHANGES = 6
CHANGE_GAP_S = 0.2
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 10
LOAD_RATE_PER_S = 500
LOAD_S = 10
CLAIM_RATES_PER_S = (50, 200)
CLAIM_S = 5
MEMORY_LIMIT_MB = 1900
COMMANDS = (['status', 'pool'], ['status', 'host'], ['zone', 'out', 'zone-0'])
# Measured processes use cached bytecode, as a deployment does.
UNCACHED_VARIABLE = 'PYTHONDONTWRITEBYTECODE'
RUN_ENTRY = """import sys; from pathlib import Path; from dandelionknot import core
from dandelionknot import settings
sys.exit(core.run_entry(settings.load_entry_settings(Path(sys.argv[1])).unwrap()))"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """How many of each; every pool has one service."""

    hosts: int = 80
    members: int = 3
    pools: int = 36
    teams: int = 4
    zones: int = 3


SCALED = (
    Size(),
    Size(hosts=160, members=6, pools=71, teams=8),
    Size(hosts=330, members=12, pools=142, teams=16),
    Size(hosts=660, members=24, pools=284, teams=33),
)
TODAY = Size(hosts=40, members=9, pools=5, teams=6, zones=4)
IN_TWO_YEARS = Size(hosts=660, members=24, pools=284, teams=33, zones=6)
SIZES_WITH_LOAD = (SCALED[0], TODAY, IN_TWO_YEARS)
ALONE = {
    'hosts': (Size(hosts=160), Size(hosts=330), Size(hosts=660)),
    'members': (Size(members=6), Size(members=12), Size(members=24)),
    'pools': (Size(pools=142), Size(pools=284)),
    'teams': (Size(teams=16), Size(teams=33)),
}


@dataclass(slots=True)
class Bench:
    """Running processes, the relays in front of them and a client."""

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
        """Returns the process ids of the entry hosts, the steward first."""
        return [
            process.pid
            for name, process in self.processes_by_name.items()
            if name.startswith('entry-')
        ]

    async def stop(self) -> None:
        """Ends every process by its id and closes the relays."""
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
    # All benches of one run share the cache.
    cache = directory.parent / 'bytecode'
    kept = {key: value for key, value in os.environ.items() if key != UNCACHED_VARIABLE}
    return kept | {'PYTHONPYCACHEPREFIX': str(cache)}


def _start(bench: Bench, name: str, arguments: list[str]) -> subprocess.Popen:
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
    process = _start(bench, name, ['-m', 'standins', name, *arguments])
    assert process.stdout is not None
    return process.stdout.readline().split()[-1]


def zone_of(size: Size, number: int) -> str:
    """Returns the availability zone of a host or entry host by its number."""
    return f'zone-{number % size.zones}'


def configuration_of(size: Size, addresses: list[str]) -> tuple[Configuration, str]:
    """Returns a configuration of a size and the key of its first team."""
    keys_by_team = {
        f'team-{number}': decisions.keys.issue_key(
            f'team-{number}', 'key-1', os.urandom(48)
        ).unwrap()
        for number in range(size.teams)
    }
    configuration = Configuration(
        version=1,
        availability_zones_by_id={
            zone_of(size, number): AvailabilityZone(region='region-1')
            for number in range(size.zones)
        },
        pools_by_id={f'pool-{number}': Pool() for number in range(size.pools)},
        hosts_by_id={
            f'host-{number}': Host(
                availability_zone=zone_of(size, number),
                rack=f'rack-{number // (4 * size.zones)}-{number % size.zones}',
                pool=f'pool-{number % size.pools}',
                address=address,
            )
            for number, address in enumerate(addresses)
        },
        services_by_id={
            f'service-{number}': Service(pool=f'pool-{number}')
            for number in range(size.pools)
        },
        teams_by_id={
            team_id: Team(upper_limit=200, keys_by_id={'key-1': issued.record})
            for team_id, issued in keys_by_team.items()
        },
    )
    return configuration, keys_by_team['team-0'].presented


async def _call(
    bench: Bench, address: str, path: str, body: object = None, token: str = ''
) -> dict:
    """Makes one HTTP call with a JSON body, or a GET without one."""
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
        # The member with the lowest id is the steward.
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
    _start(bench, f'entry-{number:02}', ['-c', RUN_ENTRY, str(path)])


async def start_bench(size: Size, bench: Bench) -> str:
    """Starts everything, waits until it is ready and returns a team key."""
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
    await _call(bench, bench.platform_address, '/v1/hosts', listed)
    written = {
        'key': CONFIGURATION_KEY,
        'expected_revision': 0,
        'value': codec.encode_json(configuration).decode(),
    }
    await _call(bench, bench.platform_address, '/v1/values', written)
    for number, ip in enumerate(following_ips(MEMBER_FIRST_IP, size.members)):
        await _start_member(bench, size, number, ip)
    for address in bench.caller_addresses:
        await wait_until(partial(_is_ready, bench, address), READY_TIMEOUT_S)
    return key


@dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Running totals at one moment; bytes are those of the second member."""

    at_ms: int
    cpu_s_by_member: list[float]
    platform_bytes: int
    peer_bytes: int
    backend_bytes: int
    calls_by_kind: dict[str, int]


async def read_totals(bench: Bench) -> Reading:
    """Reads processor time, bytes and platform calls."""
    ip = following_ips(MEMBER_FIRST_IP, 2)[1]
    assert bench.platform_relay is not None
    peer_bytes = sum(relay.bytes_by_source_ip[ip] for relay in bench.peer_relays)
    peer_bytes += bench.peer_relays[1].bytes_by_source_ip.total()
    return Reading(
        at_ms=now_ms(),
        cpu_s_by_member=[cpu_seconds(pid) for pid in bench.member_pids()],
        platform_bytes=bench.platform_relay.bytes_by_source_ip[ip],
        peer_bytes=peer_bytes,
        backend_bytes=sum(
            relay.bytes_by_source_ip[ip] for relay in bench.backend_relays
        ),
        calls_by_kind=await _call(bench, bench.platform_address, '/v1/calls'),
    )


def difference(before: Reading, after: Reading) -> dict:
    """Returns rates per second between two readings."""
    elapsed_s = seconds(after.at_ms - before.at_ms)
    cpu = [
        (end - start) / elapsed_s * 100
        for start, end in zip(
            before.cpu_s_by_member, after.cpu_s_by_member, strict=True
        )
    ]
    calls = Counter(after.calls_by_kind)
    calls.subtract(before.calls_by_kind)
    return {
        'elapsed_s': elapsed_s,
        'steward_cpu_percent': cpu[0],
        'cpu_percent': median(cpu[1:]),
        'cpu_percent_max': max(cpu),
        'platform_bytes_per_s': (after.platform_bytes - before.platform_bytes)
        / elapsed_s,
        'peer_bytes_per_s': (after.peer_bytes - before.peer_bytes) / elapsed_s,
        'backend_bytes_per_s': (after.backend_bytes - before.backend_bytes) / elapsed_s,
        'platform_calls_per_s': calls.total() / elapsed_s,
        'calls_per_s_by_kind': {
            kind: count / elapsed_s for kind, count in calls.items() if count
        },
    }


async def measure_changes(bench: Bench, idle: dict) -> dict:
    """Makes changes one after another; costs are those above the idle ones."""
    times_ms = []
    outcomes: Counter[str] = Counter()
    version = 1
    before = await read_totals(bench)
    for number in range(CHANGES):
        record = decisions.keys.issue_key('team-0', 'key-2', os.urandom(48)).unwrap()
        edit = {
            'kind': 'give_key',
            'team': 'team-0',
            'key_id': f'key-{number + 2}',
            'key_record': record.record,
        }
        change = {
            'change_id': f'change-{number}-{now_ms()}',
            'expected_version': version,
            'edit': edit,
        }
        began_ms = now_ms()
        address = bench.operator_addresses[0]
        report = await _call(bench, address, '/v1/changes', change, OPERATOR_TOKEN)
        times_ms.append(now_ms() - began_ms)
        outcomes[report.get('outcome', str(report))] += 1
        version = report.get('version', version)
        await asyncio.sleep(CHANGE_GAP_S)
    after = await read_totals(bench)
    busy = difference(before, after)

    def extra(name: str) -> float:
        return (busy[name] - idle[name]) * busy['elapsed_s'] / CHANGES

    return {
        'outcomes': dict(outcomes),
        'median_ms': median(times_ms),
        'largest_ms': max(times_ms),
        'cpu_ms': extra('cpu_percent') * 10,
        'steward_cpu_ms': extra('steward_cpu_percent') * 10,
        'platform_bytes': extra('platform_bytes_per_s'),
        'peer_bytes': extra('peer_bytes_per_s'),
        'platform_calls': extra('platform_calls_per_s'),
        'calls_by_kind': {
            kind: (rate - idle['calls_per_s_by_kind'].get(kind, 0))
            * busy['elapsed_s']
            / CHANGES
            for kind, rate in busy['calls_per_s_by_kind'].items()
        },
    }


async def _run_load(bench: Bench, plan: LoadPlan) -> dict:
    path = bench.directory / 'load.json'
    path.write_bytes(msgspec.json.encode(plan))
    process = _start(bench, 'load', ['-m', 'measure.load', str(path)])
    output, _ = await asyncio.to_thread(process.communicate)
    if process.returncode:
        raise RuntimeError((bench.directory / 'load.log').read_text()[-2000:])
    return json.loads(output)


async def measure_load(bench: Bench, size: Size, key: str, idle: dict) -> dict:
    """Sends load to the second member, which is not the steward."""
    services = [f'service-{number}' for number in range(min(size.pools, size.hosts))]

    def plan(rate_per_s: int, duration_s: int, idempotent: bool = True) -> LoadPlan:
        return LoadPlan(
            addresses=[bench.caller_addresses[1]],
            services=services,
            key=key,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            idempotent=idempotent,
        )

    await _run_load(bench, plan(50, 3))
    pid = bench.member_pids()[1]
    began_s = cpu_seconds(pid)
    through = await _run_load(bench, plan(LOAD_RATE_PER_S, LOAD_S))
    used_s = cpu_seconds(pid) - began_s
    memory_mb = resident_mb(pid)
    direct_plan = LoadPlan(
        addresses=[relay.address for relay in bench.backend_relays[: size.pools]],
        services=services,
        key='',
        rate_per_s=LOAD_RATE_PER_S,
        duration_s=LOAD_S // 2,
    )
    direct = await _run_load(bench, direct_plan)
    claims = []
    for rate in CLAIM_RATES_PER_S:
        before = await read_totals(bench)
        answered = await _run_load(bench, plan(rate, CLAIM_S, False))
        rates = difference(before, await read_totals(bench))
        written = rates['calls_per_s_by_kind'].get('write', 0)
        idle_writes = idle['calls_per_s_by_kind'].get('write', 0)
        writes = (written - idle_writes) * rates['elapsed_s'] / answered['took_s']
        claims.append({'rate_per_s': rate, 'writes_per_s': writes, 'load': answered})
    idle_ms = idle['cpu_percent'] * 10 * through['took_s']
    requests = LOAD_RATE_PER_S * LOAD_S
    return {
        'through_entry_host': through,
        'direct': direct,
        'added_p50_ms': through['p50_ms'] - direct['p50_ms'],
        'added_p99_ms': through['p99_ms'] - direct['p99_ms'],
        'cpu_ms_per_request': (used_s * 1000 - idle_ms) / requests,
        'cpu_percent': used_s / through['took_s'] * 100,
        'resident_mb': memory_mb,
        'claims': claims,
    }


async def measure_size(size: Size, directory: Path, with_load: bool) -> dict:
    """Returns all quantities at one size."""
    bench = Bench(directory, new_http_client(16))
    try:
        key = await start_bench(size, bench)
        await asyncio.sleep(SETTLE_S)
        pids = bench.member_pids()
        total_mb = sum(proportional_mb(pid) for pid in pids)
        if total_mb > MEMORY_LIMIT_MB:
            raise RuntimeError(f'entry hosts use {total_mb:.0f} MB in all')
        before = await read_totals(bench)
        await asyncio.sleep(IDLE_S)
        idle = difference(before, await read_totals(bench))
        memory = [resident_mb(pid) for pid in pids]
        document = await _call(
            bench, bench.platform_address, f'/v1/values/{CONFIGURATION_KEY}'
        )
        sample = {
            'size': asdict(size),
            'idle': idle,
            'resident_mb': median(memory),
            'steward_resident_mb': memory[0],
            'proportional_mb': total_mb / len(pids),
            'configuration_bytes': len(document['value']),
            'change': await measure_changes(bench, idle),
            'resident_mb_after_changes': median(resident_mb(pid) for pid in pids),
        }
        if with_load:
            sample['load'] = await measure_load(bench, size, key, idle)
        return sample
    finally:
        await bench.stop()


QUANTITIES: dict[str, tuple[str, Callable[[dict], float]]] = {
    'entry host, idle, % of a core': (
        'members',
        lambda each: _idle(each)['cpu_percent'],
    ),
    'steward, idle, % of a core': (
        'members',
        lambda each: _idle(each)['steward_cpu_percent'],
    ),
    'resident memory, MB': ('hosts', lambda each: each['resident_mb']),
    'configuration, bytes': ('hosts', lambda each: each['configuration_bytes']),
    'idle, platform, bytes/s': (
        'members',
        lambda each: _idle(each)['platform_bytes_per_s'],
    ),
    'idle, peers, bytes/s': ('members', lambda each: _idle(each)['peer_bytes_per_s']),
    'idle, backend servers, bytes/s': (
        'hosts',
        lambda each: _idle(each)['backend_bytes_per_s'],
    ),
    'idle, platform calls/s, fleet': (
        'members',
        lambda each: _idle(each)['platform_calls_per_s'],
    ),
    'change, until confirmed, ms': (
        'members',
        lambda each: each['change']['median_ms'],
    ),
    'change, CPU ms per entry host': ('members', lambda each: each['change']['cpu_ms']),
    'change, platform bytes per entry host': (
        'members',
        lambda each: each['change']['platform_bytes'],
    ),
    'change, platform calls, fleet': (
        'members',
        lambda each: each['change']['platform_calls'],
    ),
}


def _idle(sample: dict) -> dict:
    return sample['idle']


def fits_of(samples: list[dict], variable: str) -> dict[str, Line]:
    """Fits every quantity over samples in which `variable` differs."""
    return {
        name: fit_line([(each['size'][variable], read(each)) for each in samples])
        for name, (_, read) in QUANTITIES.items()
    }


def _of_size(samples: Iterable[dict], sizes: Iterable[Size]) -> list[dict]:
    wanted = [asdict(size) for size in sizes]
    return [each for each in samples if each['size'] in wanted]


def _run_command(bench: Bench, arguments: list[str]) -> dict:
    process = _start(bench, 'command', ['-m', 'dandelionknot', *arguments])
    assert process.stdout is not None
    output = process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return {
        'exit_status': process.returncode,
        'output_bytes': len(output),
        'cpu_ms': (usage.ru_utime + usage.ru_stime) * 1000,
        'peak_resident_mb': usage.ru_maxrss / 1024,
    }


async def measure_commands(size: Size, directory: Path) -> dict:
    """Returns the cost of operators' commands as processes."""
    bench = Bench(directory, new_http_client(16))
    try:
        await start_bench(size, bench)
        token = directory / 'token'
        token.write_text(OPERATOR_TOKEN)
        token.chmod(0o600)
        options = ['--entry', bench.operator_addresses[0], '--token_file', str(token)]
        costs = {
            ' '.join(command): await asyncio.to_thread(
                _run_command, bench, [*command, *options]
            )
            for command in COMMANDS
        }
        return {'size': asdict(size), 'commands': costs}
    finally:
        await bench.stop()


def run_commands() -> dict:
    """Measures operators' commands at the sizes of today and of two years.

    Three entry hosts are enough, since a command talks to one.
    """
    samples = []
    with tempfile.TemporaryDirectory() as name:
        _fill_bytecode_cache(Path(name))
        for number, size in enumerate((TODAY, IN_TWO_YEARS)):
            directory = Path(name) / str(number)
            directory.mkdir()
            few = replace(size, members=3)
            samples.append(asyncio.run(measure_commands(few, directory)))
    return {'samples': samples}


def _fill_bytecode_cache(directory: Path) -> None:
    modules = 'dandelionknot.core, dandelionknot.cli, measure.load, standins.__main__'
    subprocess.run(
        [sys.executable, '-c', f'import {modules}'],
        env=_environment(directory / 'any'),
        check=True,
    )


def run() -> dict:
    """Measures all sizes; takes about seven minutes.

    `fits` has one entry for the sizes scaled together, by the variable that
    drives each quantity, and one for each variable varied alone.
    """
    alone = [size for sizes in ALONE.values() for size in sizes]
    sizes = [*SCALED, TODAY, IN_TWO_YEARS, *alone]
    samples = []
    with tempfile.TemporaryDirectory() as name:
        _fill_bytecode_cache(Path(name))
        for number, size in enumerate(sizes):
            directory = Path(name) / str(number)
            directory.mkdir()
            with_load = size in SIZES_WITH_LOAD
            try:
                samples.append(asyncio.run(measure_size(size, directory, with_load)))
            except (RuntimeError, TimeoutError) as error:
                samples.append({'size': asdict(size), 'problem': repr(error)})
            print(json.dumps(samples[-1]), file=sys.stderr, flush=True)
    measured = [each for each in samples if 'problem' not in each]
    scaled = _of_size(measured, SCALED)
    fits = {
        'scaled together': {
            name: asdict(
                fit_line([(each['size'][driver], read(each)) for each in scaled])
            )
            | {'driver': driver}
            for name, (driver, read) in QUANTITIES.items()
        }
    }
    for variable, varied in ALONE.items():
        chosen = _of_size(measured, [Size(), *varied])
        fits[f'{variable} alone'] = {
            name: asdict(line) for name, line in fits_of(chosen, variable).items()
        }
    return {'samples': samples, 'fits': fits}
