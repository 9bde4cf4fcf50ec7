"""Runs manager processes with stand-ins, and keeps the record of what happened."""

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.standin.advice import DECIDE_MS, EACH_MS, VALID_MS, Advice
from review.standin.store import Store
from review.standin.web import Answer, Request, Server, call
from review.standin.worker import Run, Worker

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case ends by itself after this time.
LONGEST_S = 110
# Time until one of the managers leads.
START_S = 20
HOST = 'pule25.example'
PREFIX = '/puxa400/'
KEY = 'key-sofia'
SERVICE = 'huvo11a'
QUEUE = {
    'name': 'r-desk',
    'host': HOST,
    'prefix': PREFIX,
    'kind': 'unsafe',
    'timeout_ms': 3000,
    'objective_ms': 600,
    'priority': 0,
    'service': SERVICE,
    'attempts': 4,
    'stretch': 1.6,
    'public': False,
}
# A second queue of the same service that comes after the first.
LATER_PREFIX = '/kafi706/'
LATER_QUEUE = QUEUE | {'name': 'r-pack', 'prefix': LATER_PREFIX, 'priority': 1}
ADVISED_QUEUE = QUEUE | {
    'advice': {'decide_ms': DECIDE_MS, 'each_ms': EACH_MS, 'valid_ms': VALID_MS}
}
TENANT = {
    'name': 'sofia',
    'keys': [KEY],
    'weight': 5,
    'cap': {'cpu': 0, 'mem_mb': 0, 'gpu': 0},
}


def free_ports(count: int) -> list[int]:
    """Returns different ports of the loopback address that are free now."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


@dataclass(slots=True)
class Member:
    """A manager process."""

    name: str
    zone: str
    front: str
    settings: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Trial:
    """One trial: the processes, the stand-ins, the record and the disruption.

    `trouble` is false if the trial runs without the disruption.
    """

    folder: Path
    trouble: bool
    temporary: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    store: Store = field(default_factory=Store)
    workers: list[Worker] = field(default_factory=list)
    members: list[Member] = field(default_factory=list)
    # Accepted and other submissions by their id.
    jobs_by_id: dict[str, dict] = field(default_factory=dict)
    # Prefix of the queue of each submission.
    prefixes_by_id: dict[str, str] = field(default_factory=dict)
    machines: Server = field(init=False)
    advice: Advice = field(init=False)

    def __post_init__(self) -> None:
        """Creates the list of machines and the advice service."""
        self.machines = Server(self._list_machines)
        self.advice = Advice(lambda: self.workers, self.log)

    def now(self) -> float:
        """Returns the seconds since the start of the trial."""
        return time.monotonic() - self.began

    def log(self, what: str, **fields: Any) -> None:
        """Adds a line to the record."""
        rest = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.lines.append(f'{self.now():8.3f} {what} {rest}'.rstrip())

    async def _list_machines(self, request: Request) -> Answer:
        rows = [
            {
                'machine': f'm-{worker.worker_id}',
                'pool': worker.service,
                'state': 'up' if worker.up else 'down',
                'zone': worker.zone,
                'labels': [worker.kind, worker.rack],
                'room': {'cpu': worker.cpu, 'mem_mb': worker.mem_mb, 'gpu': 0},
                'id': worker.worker_id if worker.up else None,
            }
            for worker in self.workers
        ]
        return 200, {'machines': rows, 'next_token': None}

    async def prepare(self) -> None:
        """Starts the store and the list of machines, and writes a configuration."""
        self.store.server.listen()
        self.machines.listen()
        self.advice.server.listen()
        self.configure(7, [QUEUE, LATER_QUEUE])

    def configure(self, version: int, routes: list[dict]) -> None:
        """Writes a configuration, as the operator does."""
        self.log('operator writes', version=version, routes=len(routes))
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': routes,
                'services': [{'name': SERVICE, 'admission_control': True}],
                'tenants': [TENANT],
            },
        )

    def needs(self, task: str) -> tuple[int, int]:
        """Returns what a task asks for."""
        job_id, _, step, _ = task.split('.')
        found = self.jobs_by_id[job_id]['steps'][int(step)]
        return found['cpu'], found['mem_mb']

    def gang_of(self, task: str) -> int:
        """Returns the number of tasks of the gang of a task, or 0."""
        job_id, _, step, _ = task.split('.')
        found = self.jobs_by_id[job_id]['steps'][int(step)]
        return found['count'] if found.get('gang') else 0

    def gang_runs(self, run: Run) -> list[Run]:
        """Returns the runs of the gang of a run."""
        step = run.task.rpartition('.')[0]
        return [
            other
            for other in self.runs()
            if other.task.rpartition('.')[0] == step and other.run == run.run
        ]

    async def add_worker(self, worker_id: str, **fields: Any) -> Worker:
        """Starts and registers a worker."""
        worker = Worker(
            worker_id,
            SERVICE,
            self.store,
            self.needs,
            self.log,
            gang_of=self.gang_of,
            gang_runs=self.gang_runs,
            **fields,
        )
        self.workers.append(worker)
        await worker.start()
        return worker

    def add_member(self, name: str, zone: str = 'zone-a') -> Member:
        """Adds a manager and writes its settings."""
        member = Member(name, zone, '', self.temporary / f'{name}.yaml')
        self.members.append(member)
        self.write_settings(member)
        return member

    def write_settings(self, member: Member) -> None:
        """Writes settings with free ports, from the template of the deploy file."""
        member.front, ready, metrics = (f'127.0.0.1:{port}' for port in free_ports(3))
        lines = [
            f'member_id: "{member.name}"',
            f'availability_zone: "{member.zone}"',
            f'caller_address: "{member.front}"',
            f'readiness_address: "{ready}"',
            f'metrics_address: "{metrics}"',
            f'store_address: "{self.store.server.address}"',
            f'hosts_address: "{self.machines.address}"',
            'host_orders_per_s: 64.0',
            f'advice_address: "{self.advice.server.address}"',
            'processor_share: 0.537',
            'processor_speed: 2',
            'min_lease_ms: 1000',
            'log_level: INFO',
            'timing:',
            '  hold_max_ms: 6000',
            '  revoke_ms: 5000',
            '  grace_s: 6',
            '  duty_handover_ms: 3000',
            '  status_kept_s: 120',
            '',
        ]
        member.settings.write_text('\n'.join(lines))

    async def start_member(self, member: Member) -> None:
        """Starts a manager with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['manager']['run'])
        with (self.temporary / f'{member.name}.log').open('ab') as out:
            member.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'DANDELIONKNOT_NODE_FILE': str(member.settings),
                },
                stdout=out,
                stderr=out,
            )
        self.log('manager starts', member=member.name)

    async def start_members(self, count: int = 3) -> None:
        """Starts managers and waits until all serve and one of them leads."""
        for number in range(1, count + 1):
            await self.start_member(self.add_member(f'edge-{number}'))
        for member in self.members:
            await self._wait_until_served(member)
        await self.until(self.leader, START_S)
        leader = self.leader()
        if leader is None:
            raise RuntimeError('no manager leads')
        self.log('managers serve', leader=leader.name)

    async def _wait_until_served(self, member: Member) -> None:
        while True:
            status, _ = await self.ask(member, 'GET', '')
            if status == 200:
                return
            if not member.running:
                # Another process has taken one of its ports meanwhile.
                self.log('manager ended at its start', member=member.name)
                self.write_settings(member)
                await self.start_member(member)
            await asyncio.sleep(0.1)

    def leader(self) -> Member | None:
        """Returns the process that leads by the item in the store."""
        found = self.store.get('dandelionknot/leader')
        name = found['member_id'] if found else ''
        return next((m for m in self.members if m.name == name), None)

    def send_signal(self, member: Member, number: int) -> None:
        """Sends a signal to a manager."""
        assert member.process is not None
        self.log('signal', member=member.name, signal=signal.Signals(number).name)
        member.process.send_signal(number)

    async def ask(
        self, member: Member, method: str, job_id: str, body: dict | None = None
    ) -> tuple[int, dict]:
        """Makes a client's call to a manager."""
        headers = {'Host': HOST, 'X-Api-Key': KEY, 'X-Deadline-Ms': '3000'}
        prefix = self.prefixes_by_id.get(job_id, PREFIX)
        return await call(member.front, method, prefix + job_id, body, headers)

    async def ask_any(
        self, method: str, job_id: str, body: dict | None = None, tries: int = 5
    ) -> tuple[int, dict]:
        """Makes a client's call, and repeats it at other managers if it must be."""
        answer: tuple[int, dict] = (0, {})
        for number in range(tries):
            up = [member for member in self.members if member.running]
            member = up[number % len(up)]
            answer = await self.ask(member, method, job_id, body)
            self.log(
                f'client {method}',
                job=job_id,
                member=member.name,
                status=answer[0],
                state=answer[1].get('state', ''),
                reason=repr(answer[1].get('reason', '')),
            )
            if answer[0] in (200, 202, 400, 401, 404, 410):
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def submit(
        self, job_id: str, work_s: float | None, prefix: str = PREFIX, **step: Any
    ) -> int:
        """Submits a job with one step; returns the status of the last answer."""
        self.prefixes_by_id[job_id] = prefix
        known = {'count': 1, 'cpu': 1000, 'mem_mb': 1000}
        known['est_ms'] = int((work_s or 1) * 1000)
        body = {
            'spec': json.dumps({'work_s': work_s, 'job': job_id}),
            'steps': [known | step],
        }
        self.jobs_by_id[job_id] = body
        return (await self.ask_any('POST', job_id, body))[0]

    async def state(self, job_id: str) -> str:
        """Returns the state of a job as a client sees it, or the status."""
        status, body = await self.ask_any('GET', job_id)
        return body.get('state', str(status))

    async def wait_for_state(self, job_id: str, states: set[str], for_s: float) -> str:
        """Asks for the state of a job until it is one of some, or time is up."""
        end = time.monotonic() + for_s
        while True:
            state = await self.state(job_id)
            if state in states or time.monotonic() >= end:
                return state
            await asyncio.sleep(0.5)

    async def until(self, found: Callable[[], Any], for_s: float) -> bool:
        """Waits until something is found; returns whether it was found in time."""
        end = time.monotonic() + for_s
        while not found():
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(0.005)
        return True

    def runs(self, task: str = '') -> list[Run]:
        """Returns all runs on all workers, or those of one task, by their begin."""
        found = [run for worker in self.workers for run in worker.runs]
        return sorted(
            (run for run in found if task in ('', run.task)), key=lambda run: run.began
        )

    def overlaps(self) -> list[str]:
        """Returns which runs of one task went on at the same time on live workers."""
        problems = []
        runs = self.runs()
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                end = first.ended if first.ended is not None else time.monotonic()
                if second.task == first.task and second.began < end:
                    until = min(end, second.ended or time.monotonic())
                    problems.append(
                        f'{first.task}: run {first.run} on {first.worker} life '
                        f'{first.life} and run {second.run} on {second.worker} life '
                        f'{second.life} ran together for {until - second.began:.3f} s'
                    )
        return problems

    async def stop(self) -> None:
        """Ends all processes of the trial and writes the record."""
        for member in self.members:
            if member.running and member.process is not None:
                member.process.kill()
                await member.process.wait()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        self.store.server.stop()
        self.machines.stop()
        self.advice.server.stop()
        (self.folder / 'record.txt').write_text('\n'.join([*self.lines, '']))


Scenario = Callable[[Trial], Coroutine[Any, Any, list[str]]]


def keep_logs(temporary: Path) -> None:
    """Copies the logs of the managers to the folder in `KEEP_LOGS`, if it is set."""
    kept = os.environ.get('KEEP_LOGS')
    if kept:
        for path in temporary.glob('*.log'):
            (Path(kept) / path.name).write_bytes(path.read_bytes())


async def _run(scenario: Scenario, folder: Path, trouble: bool) -> int:
    task = asyncio.current_task()
    assert task is not None
    # The processes of the trial are ended also if the case itself is.
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as temporary:
        trial = Trial(folder, trouble, Path(temporary))
        trial.log('trial', trouble=int(trouble))
        status = NOT_RUN
        try:
            async with asyncio.timeout(LONGEST_S):
                await trial.prepare()
                problems = await scenario(trial)
            for problem in problems:
                trial.log(f'RULE BROKEN: {problem}')
                print(problem)
            status = BROKEN if problems else HELD
        except (Exception, asyncio.CancelledError) as error:
            trial.log('the case could not run', error=repr(error))
            print(f'the case could not run: {error!r}')
        finally:
            trial.log('exit', status=status)
            await trial.stop()
            keep_logs(Path(temporary))
        return status


def main(scenario: Scenario, file: str) -> None:
    """Runs a case; exits with 1 if the rule was broken, 0 if not, 2 if not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(asyncio.run(_run(scenario, Path(file).resolve().parent, trouble)))
