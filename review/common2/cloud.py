"""Stand-in for the platform's machines: a list, and upkeep that is carried out."""

import asyncio
from dataclasses import dataclass, field

import msgspec
from tornado.httputil import HTTPServerRequest

from review.common2.harness import Bed

# Bound of the pages: time until the new worker of a machine joins its pool.
UPKEEP_S = 2.0
# A worker's entry is removed after three liveness intervals of 1.5 s.
ENTRY_KEPT_S = 4.5
# Longer than any client of the stand-in waits.
SILENCE_S = 30.0


@dataclass
class Machine:
    """A machine of the platform and its present worker."""

    name: str
    pool: str
    labels: list[str]
    worker_id: str
    state: str = 'up'
    waves_done: set[int] = field(default_factory=set)


@dataclass
class Cloud:
    """Machines, each with one worker at a time."""

    bed: Bed
    machines: dict[str, Machine] = field(default_factory=dict)
    silent: bool = False
    upkeeps: set[asyncio.Task] = field(default_factory=set)
    unanswered_orders: int = 0

    def __post_init__(self) -> None:
        """Takes the place of the host list of the project's stand-in."""
        self.bed.platform.host_server.handler = self.handle

    def add(self, name: str, pool: str, labels: list[str], **fields: object) -> None:
        """Adds a machine with its first worker."""
        machine = Machine(name, pool, labels, f'{name}-1')
        self.machines[name] = machine
        self._start_worker(machine, **fields)

    def _start_worker(self, machine: Machine, **fields: object) -> None:
        platform = self.bed.platform
        platform.add_backend(
            machine.worker_id, machine.pool, host_id=machine.name, **fields
        )
        platform.register(machine.worker_id, labels=machine.labels)
        self.bed.record(f'worker {machine.worker_id} is up and registered')

    async def lose(self, name: str) -> None:
        """Lets a machine crash for good; its entry is removed later."""
        machine = self.machines[name]
        machine.state = 'down'
        platform = self.bed.platform
        platform.backends_by_id[machine.worker_id].crash()
        await asyncio.sleep(ENTRY_KEPT_S)
        platform.store.delete(f'servers/{machine.worker_id}')

    async def handle(self, request: HTTPServerRequest) -> tuple[int, dict]:
        """Answers a call; while silent, orders are carried out but not answered."""
        if request.path == '/machines':
            answer = 200, {'machines': self._rows(), 'next_token': None}
        else:
            body = msgspec.json.decode(request.body)
            answer = self._order(request.path, body)
            self.bed.record(
                f'machines <- {request.path} {body}: '
                + ('no answer' if self.silent else str(answer))
            )
            self.unanswered_orders += self.silent
        if self.silent:
            await asyncio.sleep(SILENCE_S)
            return 0, {}
        return answer

    def _rows(self) -> list[dict]:
        return [
            {
                'machine': machine.name,
                'pool': machine.pool,
                'state': machine.state,
                'zone': 'zone-a',
                'labels': machine.labels,
                'room': {'cpu': 16_000, 'mem_mb': 32_000, 'gpu': 0},
                'id': machine.worker_id if machine.state == 'up' else None,
            }
            for machine in self.machines.values()
        ]

    def _order(self, path: str, body: dict) -> tuple[int, dict]:
        machine = self.machines.get(body['machine'])
        if machine is None or path != '/machine-upkeep':
            return 400, {}
        if body['wave'] in machine.waves_done:
            return 200, {}
        if machine.state != 'up':
            return 409, {'reason': 'busy'}
        machine.waves_done.add(body['wave'])
        machine.state = 'upkeep'
        platform = self.bed.platform
        platform.backends_by_id[machine.worker_id].crash()
        platform.store.delete(f'servers/{machine.worker_id}')
        self.upkeeps.add(asyncio.create_task(self._end_upkeep(machine)))
        return 200, {}

    async def _end_upkeep(self, machine: Machine) -> None:
        await asyncio.sleep(UPKEEP_S)
        base, _, number = machine.worker_id.rpartition('-')
        machine.worker_id = f'{base}-{int(number) + 1}'
        machine.state = 'up'
        self._start_worker(machine, mean_ms=600)
