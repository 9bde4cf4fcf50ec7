"""Manager processes on loopback, with relays to the store and each backend server."""

import asyncio
import random
import signal
import sys
from dataclasses import dataclass, field
from functools import partial
from operator import itemgetter
from pathlib import Path

import msgspec
import yaml

from dandelionknot import codec
from dandelionknot._http_client import HttpClient, new_http_client
from dandelionknot.clock import now_ms, seconds, unix_ms
from dandelionknot.jobs._generated import Resources
from dandelionknot.jobs._stored import LEADER_PRESENCE_KEY
from emulator.backends import Backend
from emulator.fleet import TIMING
from emulator.oracle import Oracle
from emulator.standstill import StandstillCheck
from soak.profiles import CALLER_HOST, Profile, queue_path
from standins.fleet import free_port
from standins.job_platform import JobPlatform
from standins.relay import Relay, start_relay
from standins.waiting import wait_until

# Shortest interval at which the backend servers advance and the invariants are checked.
# It is longer in large fleets, by the second number for each backend server.
ADVANCE_INTERVAL_MS = 5
ADVANCE_MS_PER_BACKEND = 0.1
# Interval of the checks for jobs that stand still.
STANDSTILL_INTERVAL_MS = 100
# Backend servers with a relay; the others are called directly.
MAX_BACKEND_RELAYS = 12
# Failed runs of a task after which its job fails.
MAX_ATTEMPTS = 3
# Limit of calls in progress, for all callers together.
MAX_CALLS = 64
# Limit for all processes to answer callers after their start.
START_TIMEOUT_S = 60
# The platform kills a process this long after SIGTERM.
GRACE_S = 6


@dataclass(slots=True)
class Member:
    """One manager process over all of its lifetimes."""

    member_id: str
    settings_path: Path
    caller_address: str
    store_relay: Relay
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    # Until this time, a fault other than a graceful stop may break requests to the
    # process.
    disturbed_until_ms: int = 0
    # Whether a graceful stop has been ordered.
    stopping: bool = False

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class SoakFleet:
    """Stand-ins, relays and manager processes of one soak run, and their oracle."""

    rng: random.Random
    profile: Profile
    platform: JobPlatform
    oracle: Oracle
    standstill: StandstillCheck
    client: HttpClient
    directory: Path
    members_by_id: dict[str, Member] = field(default_factory=dict)
    backend_relays_by_id: dict[str, Relay] = field(default_factory=dict)
    keys: list[str] = field(default_factory=lambda: ['key-1'])
    # Time at which the withdrawal of each key was written to the store.
    withdrawn_at_ms: dict[str, int] = field(default_factory=dict)
    version: int = 0
    # Number of active faults, and the time of the end of the last one.
    active_faults: int = 0
    calm_since_ms: int = 0
    # Restarts of backend servers that were lost.
    restarts: set[asyncio.Task] = field(default_factory=set)
    # Times (Unix, ms) and texts of noted events.
    events: list[tuple[int, str]] = field(default_factory=list)

    @classmethod
    async def from_seed(
        cls, seed: int, profile: Profile, directory: Path
    ) -> 'SoakFleet':
        """Starts the stand-ins and relays, but no manager process yet."""
        platform = JobPlatform()
        limit = Resources(cpu_millicores=profile.limit_millicores)
        oracle = Oracle(platform.backends_by_id, limit, MAX_ATTEMPTS)
        fleet = cls(
            rng=random.Random(seed),
            profile=profile,
            platform=platform,
            oracle=oracle,
            standstill=StandstillCheck(oracle),
            client=new_http_client(MAX_CALLS),
            directory=directory,
        )
        fleet.configure()
        for index in range(profile.backends):
            await fleet._add_backend(index)
        for index in range(profile.members):
            await fleet._add_member(f'member-{index}')
        return fleet

    async def _add_backend(self, index: int) -> None:
        profile, backend_id = self.profile, f'backend-{index}'
        backend = self.platform.add_backend(
            backend_id,
            profile.services[index % len(profile.services)],
            profile.room,
            rack=f'r1-{index // profile.rack_size}',
            host_id=f'host-{index}' if profile.lists_hosts else '',
            mean_ms=profile.task_ms,
            done_task_names=self.oracle.done_task_names,
        )
        backend.rng = random.Random(self.rng.random())
        backend.fail_share = profile.fail_share
        if profile.long_share:
            backend.born_ms = max(1, now_ms() - profile.backend_age_ms)
            backend.on_start = partial(self._set_duration, backend)
        if index >= MAX_BACKEND_RELAYS:
            return
        relay = await start_relay(
            self.platform.backend_servers_by_id[backend_id].address
        )
        self.backend_relays_by_id[backend_id] = relay
        self.platform.advertised_addresses_by_id[backend_id] = relay.address
        self.platform.register(backend_id)

    def _set_duration(self, backend: Backend, task_name: str, run: int) -> None:
        """Makes a run last as long as its step was estimated to last, on average."""
        job_id, _, step, _ = task_name.split('.')
        spec = self.oracle.specs_by_job_id.get(job_id)
        if spec is not None:
            started = backend.runs_by_name[task_name]
            estimated_ms = spec.steps[int(step)].estimated_ms
            started.duration_ms = started.duration_ms * estimated_ms // backend.mean_ms

    async def _add_member(self, member_id: str) -> None:
        relay = await start_relay(self.platform.store_server.address)
        caller, readiness = (f'127.0.0.1:{free_port()}' for _ in range(2))
        path = self.directory / f'{member_id}.yaml'
        settings = {
            'member_id': member_id,
            'availability_zone': 'zone-a',
            'caller_address': caller,
            'readiness_address': readiness,
            'store_address': relay.address,
            'timing': codec.to_data(TIMING),
        }
        if self.profile.lists_hosts:
            settings['hosts_address'] = self.platform.host_server.address
        path.write_text(yaml.safe_dump(settings))
        log_path = self.directory / f'{member_id}.log'
        member = Member(member_id, path, caller, relay, log_path)
        self.members_by_id[member_id] = member

    def configure(self, **fields: object) -> None:
        """Puts a configuration with a higher version and the current keys in force."""
        self.version += self.rng.randint(1, 3)
        account = {
            'name': 'sofia',
            'keys': list(self.keys),
            'weight': 5,
            'cap': {'cpu': self.profile.limit_millicores},
        }
        routes = [
            {
                'name': f'r-{service}',
                'host': CALLER_HOST,
                'prefix': queue_path(service),
                'service': service,
                'attempts': MAX_ATTEMPTS,
                'stretch': 1.6,
                'objective_ms': 600,
                'public': False,
            }
            for service in self.profile.services
        ]
        services = [
            {'name': service, 'admission_control': True}
            for service in self.profile.services
        ]
        self.platform.configure(
            self.version, tenants=[account], routes=routes, services=services, **fields
        )

    async def start(self, member: Member) -> None:
        """Starts a manager process unless it is already running."""
        if member.running:
            return
        member.stopping = False
        with member.log_path.open('ab') as log:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dandelionknot.manager',
                str(member.settings_path),
                stdout=log,
                stderr=log,
            )

    async def wait_until_serving(self) -> None:
        """Waits until every process answers a call of a caller."""
        for member in self.members_by_id.values():
            await wait_until(partial(self._is_serving, member), START_TIMEOUT_S)

    async def _is_serving(self, member: Member) -> bool:
        connections = self.client.connections(member.caller_address, None, 500)
        headers = {'Host': CALLER_HOST, 'X-Api-Key': self.keys[0]}
        path = queue_path(self.profile.services[0])
        fetched = await self.client.call(connections, 'GET', path, None, 3000, headers)
        return fetched.code == 200

    def leader(self) -> Member | None:
        """Returns the process that leads by the item in the store, if it runs."""
        item = self.platform.store.items_by_key.get(LEADER_PRESENCE_KEY)
        if item is None:
            return None
        member = self.members_by_id.get(msgspec.json.decode(item.value)['member_id'])
        return member if member is not None and member.running else None

    async def watch(self) -> None:
        """Advances the backend servers and checks the invariants periodically."""
        interval_ms = max(
            ADVANCE_INTERVAL_MS, int(ADVANCE_MS_PER_BACKEND * self.profile.backends)
        )
        standstill_due_ms = 0
        while True:
            for backend in self.platform.backends_by_id.values():
                if backend.up:
                    backend.advance()
            self.oracle.check_invariants()
            if now_ms() >= standstill_due_ms:
                standstill_due_ms = now_ms() + STANDSTILL_INTERVAL_MS
                calm = not self.active_faults
                self.standstill.check(self.calm_since_ms if calm else None)
            await asyncio.sleep(seconds(interval_ms))

    def mark_disturbed(self, member: Member, for_ms: int) -> None:
        """Records that a fault may break requests of a process for `for_ms`."""
        until = now_ms() + for_ms
        member.disturbed_until_ms = max(member.disturbed_until_ms, until)

    def note(self, text: str) -> None:
        """Records an event with its time (Unix, ms), to be read beside the logs."""
        self.events.append((unix_ms(), text))

    def write_events(self, path: Path) -> None:
        """Writes the events of the platform: faults, starts and late calls."""
        offset_ms = unix_ms() - now_ms()
        events = list(self.events)
        for backend_id, backend in self.platform.backends_by_id.items():
            events += [
                (at_ms + offset_ms, f'{backend_id} starts {name} run {run}')
                for at_ms, name, run in backend.starts
            ]
            calls = self.platform.late_calls_by_backend_id[backend_id].carried_out
            events += [
                (
                    call.at_ms + offset_ms,
                    f'{backend_id} carries out {call.path} as lifetime {call.born_ms}, '
                    f'{call.at_ms - call.received_ms} ms late, status {call.status}: '
                    f'{call.body}',
                )
                for call in calls
            ]
        lines = (
            f'{at_ms} {text}\n' for at_ms, text in sorted(events, key=itemgetter(0))
        )
        path.write_text(''.join(lines))

    def restart_backend(self, backend: Backend) -> None:
        """Starts a new lifetime of a backend server and registers it."""
        backend.restart()
        self.platform.register(backend.backend_id)

    async def end(self) -> None:
        """Kills the processes of this fleet and stops its relays and stand-ins."""
        for restart in self.restarts:
            restart.cancel()
        for member in self.members_by_id.values():
            member.send_signal(signal.SIGCONT)
            member.send_signal(signal.SIGKILL)
        for member in self.members_by_id.values():
            if member.process is not None:
                await member.process.wait()
            await member.store_relay.stop()
        for relay in self.backend_relays_by_id.values():
            await relay.stop()
        self.client.close()
        self.platform.stop()
