"""Stand-in for the advice service, which knows the workers that may run a step."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standin.web import Answer, Request, Server
from review.standin.worker import Worker

DECIDE_MS = 20
EACH_MS = 2
VALID_MS = 3000


@dataclass(slots=True)
class Advice:
    """Grants tickets for the workers in `allowed_ids`, which does not change.

    `workers` returns all workers. A ticket is valid for the tasks of one step in one
    life of a worker.
    """

    workers: Callable[[], list[Worker]]
    log: Callable[..., None]
    allowed_ids: set[str] = field(default_factory=set)
    # Step, worker, life and end (monotonic) of each ticket.
    tickets: dict[str, tuple[str, str, int, float]] = field(default_factory=dict)
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        """Creates the HTTP server."""
        self.server = Server(self._handle)

    async def _handle(self, request: Request) -> Answer:
        body = request.json()
        async with self.turn:
            await asyncio.sleep((DECIDE_MS + EACH_MS * len(body['workers'])) / 1000)
        granted = []
        for worker in self.workers():
            if worker.worker_id in body['workers'] and self.allows(worker):
                ticket = f'{worker.worker_id}-{len(self.tickets)}'
                end = time.monotonic() + VALID_MS / 1000
                self.tickets[ticket] = body['step'], worker.worker_id, worker.life, end
                granted.append([worker.worker_id, ticket])
        self.log(
            'advice', step=body['step'], asked=body['workers'], granted=len(granted)
        )
        return 200, {'granted': granted, 'valid_ms': VALID_MS}

    def allows(self, worker: Worker) -> bool:
        """Whether a worker may run the steps of the queue."""
        return worker.worker_id in self.allowed_ids

    def accepts(self, worker: Worker, task: str, ticket: str) -> bool:
        """Whether a start on a worker carries a valid ticket."""
        step, worker_id, life, end = self.tickets.get(ticket, ('', '', 0, 0.0))
        return (
            task.startswith(f'{step}.')
            and worker_id == worker.worker_id
            and life == worker.life
            and time.monotonic() < end
        )
