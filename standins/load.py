"""Callers that send requests to entry hosts without pause and record the answers."""

import asyncio
from dataclasses import dataclass, field

from dandelionknot.clock import now_ms, seconds
from standins.fleet import LocalFleet, Response, new_request_id
from standins.waiting import wait_until

# Pause of a caller after an answer without the result of its request.
PAUSE_AFTER_FAILURE_MS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """One request and its answer, timed by the monotonic clock of the process."""

    member_id: str
    request_id: str
    text: str
    sent_ms: int
    answered_ms: int
    response: Response

    @property
    def is_answered(self) -> bool:
        """Whether the answer has the complete result of this request."""
        return self.response.body.get('result') == self.text


@dataclass(slots=True)
class Load:
    """Callers of some entry hosts, and their exchanges in the order of the answers."""

    fleet: LocalFleet
    fields: dict[str, object]
    run_ms: int
    exchanges: list[Exchange] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    stopping: bool = False
    # Entry hosts to which no more requests are sent.
    stopped_member_ids: set[str] = field(default_factory=set)

    async def run_caller(self, member_id: str, number: int) -> None:
        """Sends one request after the other to one entry host until stopped."""
        count = 0
        while not self.stopping and member_id not in self.stopped_member_ids:
            count += 1
            request_id = new_request_id()
            text = f'{member_id} {number} {count} ' * 20
            sent_ms = now_ms()
            response = await self.fleet.submit(
                member_id,
                request_id=request_id,
                task={'text': text, 'run_ms': self.run_ms},
                **self.fields,
            )
            exchange = Exchange(
                member_id=member_id,
                request_id=request_id,
                text=text,
                sent_ms=sent_ms,
                answered_ms=now_ms(),
                response=response,
            )
            self.exchanges.append(exchange)
            if not exchange.is_answered:
                await asyncio.sleep(seconds(PAUSE_AFTER_FAILURE_MS))

    async def wait_for_answers(self, member_id: str, timeout_s: float) -> None:
        """Waits until a request sent from now on to an entry host has its result."""
        since_ms = now_ms()
        await wait_until(
            lambda: any(
                each.is_answered
                for each in self.exchanges
                if each.member_id == member_id and each.sent_ms >= since_ms
            ),
            timeout_s,
        )

    async def run_until(self, until_ms: int) -> None:
        """Waits until a monotonic time while the callers send requests."""
        await asyncio.sleep(seconds(max(0, until_ms - now_ms())))

    async def stop(self) -> None:
        """Ends the callers once their last requests have been answered."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    def sent_between(
        self, since_ms: int, until_ms: int, member_id: str = ''
    ) -> list[Exchange]:
        """Returns the exchanges sent from `since_ms` until before `until_ms`.

        Includes only entry hosts whose id begins with `member_id`.
        """
        return [
            each
            for each in self.exchanges
            if since_ms <= each.sent_ms < until_ms
            and each.member_id.startswith(member_id)
        ]


def start_load(
    fleet: LocalFleet,
    member_ids: list[str] | None = None,
    callers: int = 2,
    run_ms: int = 20,
    **fields: object,
) -> Load:
    """Starts callers for each of the given entry hosts, or for each of all.

    `callers` is the number of callers for each entry host.

    `fields` are added to the body of every request.
    """
    load = Load(fleet, {'deadline_ms': 2000} | fields, run_ms)
    load.tasks = [
        asyncio.create_task(load.run_caller(member_id, number))
        for member_id in member_ids or list(fleet.entries_by_id)
        for number in range(callers)
    ]
    return load
