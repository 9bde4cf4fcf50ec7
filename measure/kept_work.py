"""Measures how long callers wait until asynchronous requests are accepted.

Run `python -m measure.kept_work`. A fleet of three entry hosts and its stand-ins run in
this process. Single requests are sent one after the other, and then bursts of requests
at once, spread over the entry hosts. The tasks take no time, so callers wait only for
the writes of request segments and claims.
"""

import asyncio
import json
import statistics
import sys
from dataclasses import dataclass

from dandelionknot.clock import now_ms
from dandelionknot.metrics import Counter
from standins.fleet import FleetSettings, LocalFleet, start_fleet

SINGLE_REQUESTS = 20
BURSTS = (30, 300)
# Pause before each burst, in which the segments of the one before are written.
PAUSE_S = 2
DEADLINE_MS = 60_000
TEAM_LIMIT = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptanceTimes:
    """Times from sending to HTTP 202, and the number of segments written.

    The field names are the keys of the printed JSON object.
    """

    requests: int
    accepted: int
    median_ms: int
    longest_ms: int
    work_writes: int


def _work_writes(fleet: LocalFleet) -> int:
    return sum(
        entry.context.metrics.counts_by_name.get(Counter.WORK_WRITES, 0)
        for entry in fleet.entries_by_id.values()
    )


async def _accept_ms(fleet: LocalFleet, number: int) -> int | None:
    """Returns the time until one request was accepted, or None if it was not."""
    member_ids = sorted(fleet.entries_by_id)
    sent_ms = now_ms()
    response = await fleet.submit(
        member_ids[number % len(member_ids)],
        mode='async',
        idempotent=False,
        deadline_ms=DEADLINE_MS,
    )
    return now_ms() - sent_ms if response.status == 202 else None


async def _burst(fleet: LocalFleet, count: int, together: bool) -> AcceptanceTimes:
    writes_before = _work_writes(fleet)
    if together:
        found = await asyncio.gather(*(_accept_ms(fleet, n) for n in range(count)))
    else:
        found = [await _accept_ms(fleet, number) for number in range(count)]
    times_ms = [each for each in found if each is not None]
    return AcceptanceTimes(
        requests=count,
        accepted=len(times_ms),
        median_ms=round(statistics.median(times_ms)),
        longest_ms=max(times_ms),
        work_writes=_work_writes(fleet) - writes_before,
    )


async def measure() -> list[AcceptanceTimes]:
    """Returns the times of the single requests, then those of each burst."""
    fleet = await start_fleet(FleetSettings(teams={'desk': TEAM_LIMIT}))
    try:
        rows = [await _burst(fleet, SINGLE_REQUESTS, together=False)]
        for count in BURSTS:
            await asyncio.sleep(PAUSE_S)
            rows.append(await _burst(fleet, count, together=True))
    finally:
        await fleet.stop()
    return rows


def main() -> int:
    """Prints one JSON object for each row and returns the exit status."""
    for row in asyncio.run(measure()):
        print(json.dumps({name: getattr(row, name) for name in row.__slots__}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
