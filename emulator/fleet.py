"""An emulated fleet of managers, a store and backend servers, checked by an oracle."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
from msgspec.structs import replace
from result import Ok, Result

from dandelionknot.clock import now_ms, seconds
from dandelionknot.jobs._generated import (
    AdviceGiven,
    AskAdvice,
    BackendReport,
    CallerVerdict,
    ClientAccount,
    JobConfiguration,
    JobPart,
    JobRecord,
    JobSpec,
    ManagerSettings,
    ManagerTiming,
    Queue,
    Resources,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.jobs._records import merged
from dandelionknot.jobs._state import FINAL_PHASES
from dandelionknot.jobs._stored import (
    JOB_PREFIX,
    RECORD_SUFFIX,
    BackendFact,
    ConfigurationFact,
    Fact,
    WaveFact,
    part_key,
    record_key,
)
from dandelionknot.manager._core import ManagerCore
from dandelionknot.store import Item, Put
from emulator.backends import (
    HOLD_MAX_MS,
    LASTING_PAYLOAD,
    LONG_FACTOR,
    LONG_PAYLOAD,
    Backend,
    BackendClient,
)
from emulator.hosts import WAVE_PREFIX, EmulatedHostClient, Hosts
from emulator.oracle import MAX_ATTEMPTS, Oracle
from emulator.standstill import StandstillCheck
from emulator.store import MemoryStore, StoreClient

OPERATOR_PREFIX = 'operators/'
CONFIGURATION_KEY = OPERATOR_PREFIX + 'configuration'
BACKEND_PREFIX = 'fleet/backends/'
ZONES = ('north', 'south', 'east')
SERVICES = ('desk', 'night')
KEY = 'secret-key'
ACCOUNT = 'showroom'
# Number of tasks of a large job.
LARGE_TASKS = 250
# Time for which a ticket is valid, longer than an experiment.
TICKET_MS = 600_000
# Interval at which the backend servers advance and the invariants are checked.
ADVANCE_INTERVAL_MS = 5
# Label of one backend server of each service that some jobs require.
RARE_LABEL = 'rare'
# Number of the first job whose tasks last.
LASTING_JOB_ID = 0xE000_0000
# Limit of the client account.
LIMIT = Resources(cpu_millicores=40_000)
# Rounds from one check for jobs that stand still to the next.
STANDSTILL_CHECK_ROUNDS = 20
# Registry entries of backend servers are deleted when not renewed for this time.
REGISTRY_EXPIRY_MS = 4500
TIMING = ManagerTiming(
    hold_max_ms=HOLD_MAX_MS,
    revoke_ms=5000,
    grace_s=6,
    duty_handover_ms=3000,
    status_kept_s=120,
)


@dataclass(slots=True)
class EmulatedAdapter:
    """Platform adapter of one manager process that returns in-memory clients."""

    fleet: 'EmulatedFleet'
    member_id: str
    cut: list[bool]
    alive: list[bool]
    operator_prefix: str = OPERATOR_PREFIX
    configuration_key: str = CONFIGURATION_KEY

    def new_store(self) -> StoreClient:
        """Returns a client of the store."""
        return StoreClient(self.fleet.store, self.cut)

    def new_backend_client(
        self, address: str, backend_id: str, token: int
    ) -> BackendClient:
        """Returns a client of a backend server."""
        return BackendClient(
            self.fleet.backends_by_id[backend_id],
            token,
            self.fleet.cut_paths,
            self.member_id,
            self.alive,
            self.fleet.late_share,
        )

    def new_host_client(self) -> 'EmulatedHostClient | None':
        """Returns a client of the host list, if the emulated platform has one."""
        return EmulatedHostClient(self.fleet) if self.fleet.lists_hosts else None

    def wave_status(self, number: int, done: bool) -> Put:
        """Returns a status item of a wave, which nothing in the emulator reads."""
        return Put(f'fleet/waves/{number}', b'done' if done else b'running')

    def decode_fact(self, item: Item) -> Fact | None:
        """Decodes a configuration or a registry entry, and returns None for others."""
        if item.key == CONFIGURATION_KEY and not item.deleted:
            configuration = msgspec.json.decode(item.value, type=JobConfiguration)
            return ConfigurationFact(configuration, item.revision)
        if item.key.startswith(WAVE_PREFIX) and not item.deleted:
            wave = msgspec.json.decode(item.value, type=UpkeepWave)
            return WaveFact(item.key.removeprefix(WAVE_PREFIX), wave)
        if item.key.startswith(BACKEND_PREFIX):
            backend_id = item.key.removeprefix(BACKEND_PREFIX)
            if item.deleted:
                return BackendFact(backend_id, None)
            report = msgspec.json.decode(item.value, type=BackendReport)
            return BackendFact(backend_id, report)
        return None

    async def ask_advice(self, request: AskAdvice) -> Result:
        """Issues a ticket for every backend server that the request names."""
        return Ok(
            AdviceGiven(
                request=request,
                tickets_by_backend_id=dict.fromkeys(request.backend_ids, 't'),
                valid_ms=TICKET_MS,
            )
        )


@dataclass(slots=True)
class Member:
    """One manager process, over all of its lifetimes."""

    member_id: str
    # None while the process is down.
    core: ManagerCore | None = None
    # Whether the process is cut off from the store, shared with its store client.
    cut: list[bool] = field(default_factory=lambda: [False])


@dataclass(slots=True)
class EmulatedFleet:
    """Managers, backend servers and store of one experiment, and their oracle."""

    rng: random.Random
    store: MemoryStore
    members_by_id: dict[str, Member] = field(default_factory=dict)
    backends_by_id: dict[str, Backend] = field(default_factory=dict)
    cut_paths: set[tuple[str, str]] = field(default_factory=set)
    late_share: list[float] = field(default_factory=lambda: [0.0])
    limit: Resources = LIMIT
    # Whether the platform offers a list of hosts.
    lists_hosts: bool = False
    hosts: Hosts = field(default_factory=Hosts)
    # Share of the jobs that only the backend server with the rare label can run.
    rare_share: float = 0.0
    # Share of the jobs whose tasks are long.
    long_share: float = 0.0
    # Share of the jobs that have many tasks.
    large_share: float = 0.0
    # Whether tasks need tickets, which are valid for longer than an experiment.
    needs_advice: bool = False
    # Share of the jobs of which a task crashes each backend server that starts it.
    deadly_share: float = 0.0
    deadly_task_names: set[str] = field(default_factory=set)
    # Number of other faults that are active, and the time until which the last one
    # explains what happens.
    active_faults: int = 0
    disturbed_until_ms: int = 0
    # Time of the end of the last fault.
    calm_since_ms: int = 0
    restarts: set[asyncio.Task] = field(default_factory=set)
    oracle: Oracle = field(init=False)
    standstill: StandstillCheck = field(init=False)

    def __post_init__(self) -> None:
        """Creates an oracle without submitted jobs."""
        self.oracle = Oracle(self.backends_by_id, self.limit)
        self.standstill = StandstillCheck(self.oracle)

    @classmethod
    def from_seed(
        cls,
        seed: int,
        members: int = 4,
        backends: int = 9,
        limit: Resources = LIMIT,
        lists_hosts: bool = False,
    ) -> 'EmulatedFleet':
        """Returns a fleet in which nothing has been started yet."""
        rng, late_rng = random.Random(seed), random.Random(f'late {seed}')
        fleet = cls(rng, MemoryStore(rng), limit=limit, lists_hosts=lists_hosts)
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
                late_rng=late_rng,
                deadly_task_names=fleet.deadly_task_names,
                done_task_names=fleet.oracle.done_task_names,
                host_id=f'host-{index}',
                on_start=fleet.check_start,
                labels=[RARE_LABEL] if index < len(SERVICES) else [],
            )
        return fleet

    def configuration(self, version: int) -> JobConfiguration:
        """Returns a configuration with the given version number."""
        return JobConfiguration(
            version=version,
            queues=[
                Queue(
                    name=service,
                    host='h',
                    path_prefix=f'/{service}/',
                    service=service,
                    max_attempts=MAX_ATTEMPTS,
                    objective_ms=600,
                    needs_advice=self.needs_advice,
                )
                for service in SERVICES
            ],
            client_accounts=[ClientAccount(name=ACCOUNT, keys=[KEY], limit=self.limit)],
        )

    def start(self) -> None:
        """Writes the configuration, registers the backend servers, starts managers."""
        value = msgspec.json.encode(self.configuration(1))
        self.store.put(CONFIGURATION_KEY, value)
        for backend in self.backends_by_id.values():
            backend.born_ms = now_ms()
            self.register(backend)
        for member_id in self.members_by_id:
            self.start_member(member_id)

    def register(self, backend: Backend) -> None:
        """Writes the registry entry of a backend server."""
        backend.entry_number += 1
        self.write_entry(self.entry(backend))

    def unregister(self, backend: Backend) -> None:
        """Removes the registry entry of a backend server."""
        self.store.delete(BACKEND_PREFIX + backend.backend_id)

    def write_entry(self, report: BackendReport) -> None:
        """Writes an entry, which need not be the latest of its backend server."""
        key = BACKEND_PREFIX + report.backend_id
        self.store.put(key, msgspec.json.encode(report))

    def entry(self, backend: Backend) -> BackendReport:
        """Returns the registry entry that a backend server writes now."""
        return BackendReport(
            backend_id=backend.backend_id,
            born_ms=backend.born_ms,
            entry_number=backend.entry_number,
            host_id=backend.host_id,
            service=backend.service,
            address='10.0.0.1:1',
            availability_zone=backend.zone,
            draining=False,
            room=backend.room,
            labels=backend.labels,
        )

    def start_member(self, member_id: str) -> None:
        """Starts a manager process without any state."""
        member = self.members_by_id[member_id]
        settings = ManagerSettings(
            member_id=member_id,
            availability_zone=ZONES[0],
            caller_address='127.0.0.1:0',
            readiness_address='127.0.0.1:0',
            store_address='127.0.0.1:0',
            max_value_bytes=self.store.max_value_bytes,
            timing=TIMING,
        )
        member.cut = [False]
        adapter = EmulatedAdapter(self, member_id, member.cut, [True])
        member.core = ManagerCore(settings, adapter)
        member.core.start()

    async def kill_member(self, member_id: str) -> None:
        """Ends a manager process at once, without a graceful stop."""
        member = self.members_by_id[member_id]
        if member.core is not None:
            core, member.core = member.core, None
            await core.end()

    def leader(self) -> str | None:
        """Returns the id of the leader, or None if there is no leader."""
        for member in self.members_by_id.values():
            if member.core is not None and member.core.leadership.leading():
                return member.member_id
        return None

    # Calls that callers make.

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
        if self.large_share and self.rng.random() < self.large_share:
            light = Resources(cpu_millicores=50, memory_mb=10)
            large = replace(first, task_count=LARGE_TASKS, resources=light)
            return JobSpec(payload='work', steps=[large])
        if self.rare_share and self.rng.random() < self.rare_share:
            steps = [replace(step, required_label=RARE_LABEL) for step in steps]
        if self.long_share and self.rng.random() < self.long_share:
            steps = [
                replace(step, estimated_ms=step.estimated_ms * LONG_FACTOR)
                for step in steps
            ]
            return JobSpec(payload=LONG_PAYLOAD, steps=steps)
        return JobSpec(payload='work', steps=steps)

    async def submit_lasting(self, tasks: int) -> None:
        """Submits a job to each service whose tasks last, one on each host."""
        step = StepSpec(
            task_count=tasks,
            resources=Resources(cpu_millicores=1000, memory_mb=500),
            long_running=True,
            max_per_host=1,
            max_unavailable=1,
        )
        for number, service in enumerate(SERVICES):
            job_id = f'{LASTING_JOB_ID + number:016x}'
            spec = JobSpec(payload=LASTING_PAYLOAD, steps=[step])
            await self._submit_spec(job_id, spec, service)

    async def submit(self, job_id: str) -> bool:
        """Submits a random job and returns whether it was accepted."""
        spec = self.random_spec()
        if self.rng.random() < self.deadly_share:
            number = self.rng.randrange(len(spec.steps))
            self.deadly_task_names.add(f'{job_id}.0.{number}.0')
        return await self._submit_spec(job_id, spec, self.rng.choice(SERVICES))

    async def _submit_spec(self, job_id: str, spec: JobSpec, queue: str) -> bool:
        """Submits a job at random processes and returns whether it was accepted.

        Makes up to four attempts. The job counts as refused only if every
        received answer was `NOT_ACCEPTED`.
        """
        self.oracle.specs_by_job_id[job_id] = spec
        self.oracle.services_by_job_id[job_id] = queue
        refused = True
        for _ in range(4):
            core = self.rng.choice(list(self.members_by_id.values())).core
            if core is None or not core.call_handler.ready():
                await asyncio.sleep(0.1)
                continue
            core.call_handler.find_queue('h', f'/{queue}/{job_id}')
            reply = await core.call_handler.submit(queue, KEY, job_id, spec, 3000)
            if reply.verdict is CallerVerdict.ACCEPTED:
                self.oracle.accepted_at_ms[job_id] = now_ms()
                return True
            refused = refused and reply.verdict is CallerVerdict.NOT_ACCEPTED
            await asyncio.sleep(0.1)
        if refused:
            self.oracle.refused_job_ids.add(job_id)
        return False

    async def cancel(self, job_id: str) -> None:
        """Cancels a job at a random process, if that process can take calls."""
        core = self.rng.choice(list(self.members_by_id.values())).core
        if core is None or not core.call_handler.usable():
            return
        self.oracle.cancelled_job_ids.add(job_id)
        await core.call_handler.cancel('desk', KEY, job_id, 3000)

    async def cancel_lasting(self) -> None:
        """Cancels the jobs whose tasks last, and waits until this is carried out."""
        for number in range(len(SERVICES)):
            job_id = f'{LASTING_JOB_ID + number:016x}'
            for member in self.members_by_id.values():
                if job_id in self.oracle.accepted_at_ms and member.core is not None:
                    self.oracle.cancelled_job_ids.add(job_id)
                    handler = member.core.call_handler
                    await handler.cancel(SERVICES[number], KEY, job_id, 3000)
                    break
        await asyncio.sleep(1)

    async def phase(self, job_id: str) -> str | None:
        """Returns the phase of a job as the first running process reports it."""
        for member in self.members_by_id.values():
            if member.core is not None:
                reply = await member.core.call_handler.state(
                    SERVICES[0], KEY, job_id, 3000
                )
                return reply.phase.value if reply.phase else None
        return None

    def lose(self, backend: Backend) -> None:
        """Crashes a backend server for good; its entry is removed later."""
        backend.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds(REGISTRY_EXPIRY_MS), self.unregister, backend)

    async def restart_later(self, backend: Backend, down_ms: int) -> None:
        """Starts a crashed backend server again under the same id.

        The registry entry is deleted if the server is down for longer than
        `REGISTRY_EXPIRY_MS`.
        """
        await asyncio.sleep(seconds(min(down_ms, REGISTRY_EXPIRY_MS)))
        if down_ms > REGISTRY_EXPIRY_MS:
            self.unregister(backend)
            await asyncio.sleep(seconds(down_ms - REGISTRY_EXPIRY_MS))
        backend.restart()
        self.register(backend)

    def _crash_if_due(self, backend: Backend) -> None:
        due = [crash for crash in backend.crashing if crash[0] <= now_ms()]
        if not due:
            return
        disturbed = bool(self.active_faults) or now_ms() < self.disturbed_until_ms
        self.oracle.crashed(due[0][1], disturbed)
        backend.crash()
        self.start_restart(backend, self.rng.randint(2500, 4000))

    def start_restart(self, backend: Backend, down_ms: int) -> None:
        """Starts a crashed backend server again after some time."""
        restart = asyncio.create_task(self.restart_later(backend, down_ms))
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    def backend_of_new_run(self, puts: list[Put]) -> Backend | None:
        """Returns the backend server of a run that a write names and none has begun."""
        for put in puts:
            if not put.key.endswith(RECORD_SUFFIX):
                continue
            job_id = put.key.removeprefix(JOB_PREFIX).removesuffix(RECORD_SUFFIX)
            record = msgspec.json.decode(put.value, type=JobRecord)
            for suffix, task in record.tasks_by_name.items():
                backend = self.backends_by_id.get(task.backend_id)
                run = (f'{job_id}.{suffix}', task.run)
                if backend and run not in {start[1:] for start in backend.starts}:
                    return backend
        return None

    # Checks.

    def check_start(self, task_name: str, run: int) -> None:
        """Checks that a record names the run when it starts.

        Otherwise, the next leader would not know of the run and start the task again.
        """
        job_id, _, suffix = task_name.partition('.')
        item = self.store.items_by_key.get(record_key(job_id))
        record = msgspec.json.decode(item.value, type=JobRecord) if item else None
        prefix = part_key(job_id, 0).removesuffix('0')
        record = merged(
            record,
            (
                msgspec.json.decode(part.value, type=JobPart)
                for key, part in self.store.items_by_key.items()
                if key.startswith(prefix)
            ),
        )
        if record is None:
            self.oracle.report(f'task {task_name} starts without a record of its job')
        elif suffix not in record.done and record.phase not in FINAL_PHASES:
            stored = record.tasks_by_name.get(suffix)
            if stored is None or stored.run < run:
                self.oracle.report(
                    f'task {task_name} starts as run {run}, which is not stored'
                )

    async def watch(self) -> None:
        """Advances the backend servers and checks the invariants periodically."""
        rounds = 0
        while True:
            for backend in self.backends_by_id.values():
                if backend.up:
                    backend.advance()
                    self._crash_if_due(backend)
            self.oracle.check_invariants()
            rounds += 1
            if rounds % STANDSTILL_CHECK_ROUNDS == 0:
                calm = not self.active_faults and not self.deadly_share
                self.standstill.check(self.calm_since_ms if calm else None)
            await asyncio.sleep(seconds(ADVANCE_INTERVAL_MS))
