"""A fleet of managers, a store and backend servers, with checks of what must hold."""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
from result import Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.jobs._generated import (
    AdviceGiven,
    AskAdvice,
    BackendReport,
    CallerVerdict,
    ClientAccount,
    EndReason,
    JobConfiguration,
    JobSpec,
    ManagerSettings,
    ManagerTiming,
    Queue,
    Resources,
    StepSpec,
)
from dandelionknot.jobs._stored import BackendFact, ConfigurationFact, Fact
from dandelionknot.manager._core import ManagerCore
from dandelionknot.store import Item, Put
from emulator.backends import HOLD_MAX_MS, Backend, BackendClient
from emulator.store import MemoryStore, StoreClient

CONFIGURATION_KEY = 'fleet/configuration'
BACKEND_PREFIX = 'fleet/backends/'
ZONES = ('north', 'south', 'east')
SERVICES = ('desk', 'night')
KEY = 'secret-key'
ACCOUNT = 'showroom'
ADVANCE_MS = 5
# A backend server whose entry is not renewed is taken off the registry.
ENTRY_LAPSE_MS = 4500
TIMING = ManagerTiming(
    hold_max_ms=HOLD_MAX_MS,
    revoke_ms=5000,
    grace_s=6,
    duty_handover_ms=3000,
    status_kept_s=120,
)


@dataclass(slots=True)
class EmulatedAdapter:
    """Clients of the emulated services for one process."""

    fleet: 'Fleet'
    member_id: str
    cut: list[bool]
    alive: list[bool]
    configuration_key: str = CONFIGURATION_KEY

    def new_store(self) -> StoreClient:
        """Returns a client of the store."""
        return StoreClient(self.fleet.store, self.cut)

    def new_orders(self, address: str, backend_id: str, token: int) -> BackendClient:
        """Returns a client of a backend server."""
        return BackendClient(
            self.fleet.backends_by_id[backend_id],
            token,
            self.fleet.cuts,
            self.member_id,
            self.alive,
            self.fleet.late_share,
        )

    def new_hosts(self) -> None:
        """Returns None: the fleet has no service of hosts."""

    def wave_status(self, number: int, done: bool) -> Put:
        """Returns an item that nobody reads."""
        return Put(f'fleet/waves/{number}', b'done' if done else b'running')

    def meaning(self, item: Item) -> Fact | None:
        """Decodes items of the fleet."""
        if item.key == CONFIGURATION_KEY and not item.deleted:
            configuration = msgspec.json.decode(item.value, type=JobConfiguration)
            return ConfigurationFact(configuration, item.revision)
        if item.key.startswith(BACKEND_PREFIX):
            backend_id = item.key.removeprefix(BACKEND_PREFIX)
            if item.deleted:
                return BackendFact(backend_id, None)
            report = msgspec.json.decode(item.value, type=BackendReport)
            return BackendFact(backend_id, report)
        return None

    async def ask_advice(self, request: AskAdvice) -> Result:
        """Allows every backend server."""
        return Ok(
            AdviceGiven(
                request=request,
                tickets_by_backend_id=dict.fromkeys(request.backend_ids, 't'),
                valid_ms=3000,
            )
        )


@dataclass(slots=True)
class Member:
    """One manager process, over all of its lifetimes."""

    member_id: str
    core: ManagerCore | None = None
    cut: list[bool] = field(default_factory=lambda: [False])


@dataclass(slots=True)
class Fleet:
    """Everything that runs, and what has to be true of it."""

    rng: random.Random
    store: MemoryStore
    members_by_id: dict[str, Member] = field(default_factory=dict)
    backends_by_id: dict[str, Backend] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    late_share: list[float] = field(default_factory=lambda: [0.0])
    limit: Resources = Resources(cpu_millicores=40_000)
    accepted_at_ms: dict[str, int] = field(default_factory=dict)
    cancelled_at_ms: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    specs_by_job_id: dict[str, JobSpec] = field(default_factory=dict)

    @classmethod
    def from_seed(cls, seed: int, members: int = 4, backends: int = 9) -> 'Fleet':
        """Returns a fleet with nothing started."""
        rng = random.Random(seed)
        fleet = cls(rng, MemoryStore(rng))
        for index in range(members):
            member_id = f'member-{index}'
            fleet.members_by_id[member_id] = Member(member_id)
        for index in range(backends):
            backend_id = f'backend-{index}'
            fleet.backends_by_id[backend_id] = Backend(
                backend_id,
                SERVICES[index % len(SERVICES)],
                ZONES[index % len(ZONES)],
                rng,
                Resources(cpu_millicores=16_000, memory_mb=32_000),
                fail_share=0.02,
            )
        return fleet

    def configuration(self, version: int) -> JobConfiguration:
        """Returns a version of the configuration."""
        return JobConfiguration(
            version=version,
            queues=[
                Queue(
                    name=service,
                    host='h',
                    path_prefix=f'/{service}/',
                    service=service,
                    max_attempts=4,
                    objective_ms=600,
                )
                for service in SERVICES
            ],
            client_accounts=[ClientAccount(name=ACCOUNT, keys=[KEY], limit=self.limit)],
        )

    def start(self) -> None:
        """Starts everything."""
        value = msgspec.json.encode(self.configuration(1))
        self.store.put(CONFIGURATION_KEY, value)
        for backend in self.backends_by_id.values():
            backend.born_ms = now_ms()
            self.register(backend)
        for member_id in self.members_by_id:
            self.start_member(member_id)

    def register(self, backend: Backend) -> None:
        """Writes the registry entry of a backend server."""
        report = BackendReport(
            backend_id=backend.backend_id,
            born_ms=backend.born_ms,
            service=backend.service,
            address='10.0.0.1:1',
            availability_zone=backend.zone,
            draining=False,
            room=backend.room,
        )
        key = BACKEND_PREFIX + backend.backend_id
        self.store.put(key, msgspec.json.encode(report))

    def start_member(self, member_id: str) -> None:
        """Starts a process that knows nothing."""
        member = self.members_by_id[member_id]
        settings = ManagerSettings(
            member_id=member_id,
            availability_zone=ZONES[0],
            caller_address='127.0.0.1:0',
            readiness_address='127.0.0.1:0',
            store_address='127.0.0.1:0',
            timing=TIMING,
        )
        member.cut = [False]
        adapter = EmulatedAdapter(self, member_id, member.cut, [True])
        member.core = ManagerCore(settings, adapter)
        member.core.start()

    async def kill_member(self, member_id: str) -> None:
        """Ends a process at once."""
        member = self.members_by_id[member_id]
        if member.core is not None:
            core, member.core = member.core, None
            await core.end()

    def leader(self) -> str | None:
        """Returns the process that leads."""
        for member in self.members_by_id.values():
            if member.core is not None and member.core.leadership.leading():
                return member.member_id
        return None

    # Callers.

    def random_spec(self) -> JobSpec:
        """Returns a job of one or two steps."""
        first = StepSpec(
            task_count=self.rng.randint(1, 4),
            resources=Resources(cpu_millicores=2000, memory_mb=500),
            estimated_ms=400,
        )
        second = StepSpec(
            task_count=self.rng.randint(1, 3),
            resources=Resources(cpu_millicores=3000, memory_mb=500),
            estimated_ms=400,
            after=[0],
        )
        steps = [first, second] if self.rng.random() < 0.5 else [first]
        return JobSpec(payload='work', steps=steps)

    async def submit(self, job_id: str) -> bool:
        """Hands a job in at any process until it is accepted or refused."""
        spec = self.random_spec()
        self.specs_by_job_id[job_id] = spec
        queue = self.rng.choice(SERVICES)
        for _ in range(4):
            core = self.rng.choice(list(self.members_by_id.values())).core
            if core is None or not core.gate.ready():
                await asyncio.sleep(0.1)
                continue
            core.gate.locate('h', f'/{queue}/{job_id}')
            reply = await core.gate.submit(queue, KEY, job_id, spec, 3000)
            if reply.verdict is CallerVerdict.ACCEPTED:
                self.accepted_at_ms[job_id] = now_ms()
                return True
            await asyncio.sleep(0.1)
        return False

    async def cancel(self, job_id: str) -> None:
        """Cancels a job at any process."""
        core = self.rng.choice(list(self.members_by_id.values())).core
        if core is None or not core.gate.usable():
            return
        reply = await core.gate.cancel('desk', KEY, job_id, 3000)
        if reply.verdict is CallerVerdict.KNOWN and reply.phase == 'cancelled':
            self.cancelled_at_ms[job_id] = now_ms()

    def phase(self, job_id: str) -> str | None:
        """Returns the phase of a job as some process shows it."""
        for member in self.members_by_id.values():
            if member.core is not None:
                entry = member.core.view.jobs_by_id.get(job_id)
                return entry.phase.value if entry else None
        return None

    # Checks.

    async def watch(self) -> None:
        """Advances the backend servers and checks what must hold all the time."""
        while True:
            for backend in self.backends_by_id.values():
                if backend.up:
                    backend.advance()
            self.check_now()
            await asyncio.sleep(seconds(ADVANCE_MS))

    def check_now(self) -> None:
        """Checks that no task runs twice and no limit is exceeded."""
        places: dict[str, list[str]] = defaultdict(list)
        cpu = 0
        for backend in self.backends_by_id.values():
            for run in backend.runs_by_name.values():
                places[run.task_name].append(f'{backend.backend_id} run {run.run}')
                cpu += self._cpu(run.task_name)
        for name, found in places.items():
            if len(found) > 1:
                self._problem(f'{name} runs twice: {found}')
        if cpu > self.limit.cpu_millicores:
            self._problem(f'the account runs {cpu} millicores')

    def _cpu(self, task_name: str) -> int:
        job_id, _, step, _ = task_name.split('.')
        spec = self.specs_by_job_id.get(job_id)
        return spec.steps[int(step)].resources.cpu_millicores if spec else 0

    def _problem(self, text: str) -> None:
        if len(self.problems) < 20:
            self.problems.append(f'{now_ms()}: {text}')

    def check_at_end(self) -> None:
        """Checks starts after done ends, and that accepted jobs have ended."""
        starts = sorted(
            (at, name, run, backend.backend_id)
            for backend in self.backends_by_id.values()
            for at, name, run in backend.starts
        )
        done: dict[str, int] = {}
        for backend in self.backends_by_id.values():
            for end in backend.acknowledged:
                if end.reason is EndReason.DONE:
                    done.setdefault(end.task_name, end.run)
        for at, name, run, backend_id in starts:
            if name in done and run > done[name]:
                self._problem(
                    f'{name} run {run} began at {at} on {backend_id}, '
                    f'although run {done[name]} is done'
                )
        for job_id in self.accepted_at_ms:
            phase = self.phase(job_id)
            if phase not in ('done', 'failed', 'cancelled'):
                self._problem(f'{job_id} was accepted and is {phase}')
            if phase == 'done':
                self._check_done(job_id)

    def _check_done(self, job_id: str) -> None:
        """Checks that every task of a job that is shown as done has ended so."""
        done = set().union(*(b.done_names for b in self.backends_by_id.values()))
        for number, step in enumerate(self.specs_by_job_id[job_id].steps):
            for index in range(step.task_count):
                name = f'{job_id}.0.{number}.{index}'
                if name not in done:
                    self._problem(f'{job_id} is shown as done, but {name} is not')
