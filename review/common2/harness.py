"""Runs manager processes against stand-ins, and records calls, answers and starts."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import yaml
from result import Ok

from dandelionknot._http_connections import HttpConnections
from dandelionknot.jobs._stored import LEADER_PRESENCE_KEY
from standins.job_platform import JobPlatform
from standins.relay import Relay, start_relay

# Exit statuses; `run.sh` turns 10 into 1, the status of an interpreter error.
HELD, NOT_RUN, BROKEN = 0, 2, 10
NAMES = {HELD: 'held', NOT_RUN: 'not run', BROKEN: 'broken'}
TIME_LIMIT_S = 110
START_TIMEOUT_S = 40
HOST_HEADER = 'desk.example'
KEY = 'key-1'
# Bounds of a small deployment, from the users' pages.
TIMING = {
    'hold_max_ms': 6000,
    'revoke_ms': 5000,
    'grace_s': 6,
    'duty_handover_ms': 3000,
    'status_kept_s': 120,
}


class CaseNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


def free_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def with_trouble() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


@dataclass
class Manager:
    """A manager process and its addresses."""

    name: str
    settings_path: Path
    caller_address: str
    store_relay: Relay
    process: asyncio.subprocess.Process | None = None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it has not ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class Bed:
    """Stand-ins, manager processes and the record of one play."""

    directory: Path
    record_path: Path
    platform: JobPlatform = field(default_factory=JobPlatform)
    managers: dict[str, Manager] = field(default_factory=dict)
    began_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def now_s(self) -> float:
        """Returns the time since the begin of the play."""
        return time.monotonic() - self.began_s

    def record(self, text: str) -> None:
        """Adds a line with the time since the begin of the play."""
        self.lines.append(f'{self.now_s():8.3f} {text}')

    async def add_manager(self, name: str, **settings: object) -> Manager:
        """Writes the settings of a manager and starts it."""
        relay = await start_relay(self.platform.store_server.address)
        caller, readiness, metrics = (f'127.0.0.1:{free_port()}' for _ in range(3))
        path = self.directory / f'{name}.yaml'
        values = {
            'member_id': name,
            'availability_zone': 'zone-a',
            'caller_address': caller,
            'readiness_address': readiness,
            'metrics_address': metrics,
            'store_address': relay.address,
            'hosts_address': self.platform.host_server.address,
            'min_lease_ms': 1000,
            'timing': TIMING,
        }
        path.write_text(yaml.safe_dump(values | settings))
        manager = Manager(name, path, caller, relay)
        self.managers[name] = manager
        await self.start(manager)
        return manager

    async def start(self, manager: Manager) -> None:
        """Starts the process of a manager with the command of the deploy file."""
        with (self.directory / f'{manager.name}.log').open('ab') as log:
            manager.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'dandelionknot.manager',
                env=os.environ
                | {'DANDELIONKNOT_NODE_FILE': str(manager.settings_path)},
                stdout=log,
                stderr=log,
            )
        self.record(f'manager {manager.name} started')

    async def wait_until(
        self,
        condition: Callable[[], bool | Awaitable[bool]],
        timeout_s: float,
        what: str,
    ) -> None:
        """Waits for a condition; the case counts as not run if it never holds."""
        end_s = time.monotonic() + timeout_s
        while True:
            holds = condition()
            if isinstance(holds, Awaitable):
                holds = await holds
            if holds:
                return
            if time.monotonic() > end_s:
                raise CaseNotRunError(what)
            await asyncio.sleep(0.02)

    async def wait_until_serving(self) -> None:
        """Waits until each manager answers and one of them leads."""
        for manager in self.managers.values():

            async def serves(manager: Manager = manager) -> bool:
                status, _ = await self.call(
                    manager, 'GET', '/quotes/', timeout_ms=1000, quiet=True
                )
                return status == 200

            await self.wait_until(serves, START_TIMEOUT_S, 'no answers')
        await self.wait_until(
            lambda: self.leader() is not None, START_TIMEOUT_S, 'no leader'
        )

    def leader(self) -> Manager | None:
        """Returns the manager that leads by the item in the store."""
        item = self.platform.store.items_by_key.get(LEADER_PRESENCE_KEY)
        if item is None:
            return None
        return self.managers.get(msgspec.json.decode(item.value)['member_id'])

    async def call(
        self,
        manager: Manager,
        method: str,
        path: str,
        body: object = None,
        timeout_ms: int = 3500,
        deadline_ms: int = 3000,
        quiet: bool = False,
    ) -> tuple[int, dict]:
        """Makes a call as a client; the status is 0 without an answer."""
        connections = HttpConnections(manager.caller_address)
        data = None if body is None else msgspec.json.encode(body)
        headers = {
            'Host': HOST_HEADER,
            'X-Api-Key': KEY,
            'X-Deadline-Ms': str(deadline_ms),
        }
        if not quiet:
            self.record(f'client -> {manager.name}: {method} {path}')
        answered = await connections.call(method, path, data, timeout_ms, headers)
        connections.close()
        status, received = 0, b''
        if isinstance(answered, Ok):
            status, received = answered.ok_value.status, answered.ok_value.body
        if not quiet:
            text = received.decode() if status else 'no answer'
            self.record(f'client <- {manager.name}: {method} {path}: {status} {text}')
        return status, msgspec.json.decode(received) if received else {}

    async def advance_backends(self) -> None:
        """Lets the backend servers work until it is cancelled; records starts."""
        seen: dict[str, int] = {}
        while True:
            for backend in self.platform.backends_by_id.values():
                if backend.up:
                    backend.advance()
                known = seen.get(backend.backend_id, 0)
                for _, name, run in backend.starts[known:]:
                    self.record(f'worker {backend.backend_id}: start {name} run {run}')
                seen[backend.backend_id] = len(backend.starts)
            await asyncio.sleep(0.005)

    async def end(self) -> None:
        """Kills all processes of the play and writes the record."""
        for manager in self.managers.values():
            manager.send_signal(signal.SIGCONT)
            manager.send_signal(signal.SIGKILL)
        for manager in self.managers.values():
            if manager.process is not None:
                await manager.process.wait()
            await manager.store_relay.stop()
        self.platform.stop()
        self.record_path.write_text('\n'.join(self.lines) + '\n')


def run_case(case_file: str, play: Callable[[Bed], Awaitable[int]]) -> None:
    """Plays a case and exits with its result."""
    record_path = Path(case_file).parent / 'record.txt'
    sys.exit(asyncio.run(_run(record_path, play)))


async def _run(record_path: Path, play: Callable[[Bed], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as directory:
        bed = Bed(Path(directory), record_path)
        working = asyncio.create_task(bed.advance_backends())
        result = NOT_RUN
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                result = await play(bed)
        except (CaseNotRunError, TimeoutError, asyncio.CancelledError) as error:
            bed.record(f'not run: {error!r}')
        except Exception as error:
            bed.record(f'not run: unexpected error {error!r}')
        finally:
            working.cancel()
            _keep_logs(Path(directory))
            bed.record(f'result: {NAMES[result]}')
            await bed.end()
        return result


def _keep_logs(directory: Path) -> None:
    """Copies the logs of the managers to the folder in `KEEP_LOGS`, if it is set."""
    target = os.environ.get('KEEP_LOGS')
    if target:
        for log in directory.glob('*.log'):
            (Path(target) / log.name).write_bytes(log.read_bytes())
