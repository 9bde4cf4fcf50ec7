"""One run: load, faults in series that overlap, and a verdict."""

import asyncio
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from dandelionknot.clock import now_ms, seconds
from emulator.oracle import FINAL_PHASES
from soak.callers import Callers
from soak.faults import FAULTS
from soak.fleet import SoakFleet

FAULT_GAP_MS = 1200
KEY_CHECK_MS = 500
# Time for every job to end after the last fault; only what is stuck takes longer.
SETTLE_MS = 30_000


@dataclass(slots=True, frozen=True)
class Plan:
    """What is played; faults and load are drawn from the seed."""

    seed: int
    seconds: int = 20
    members: int = 3
    jobs_per_s: float = 6.0
    faults: tuple[str, ...] = tuple(FAULTS)


@dataclass(slots=True)
class Verdict:
    """What was seen."""

    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    accepted: int = 0
    refused: int = 0
    starts: int = 0


async def play(plan: Plan, kept_logs: Path) -> Verdict:
    """Plays a seed; keeps the logs of the processes if a promise was broken."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = await SoakFleet.from_seed(plan.seed, plan.members, Path(directory))
        try:
            verdict = await _play(fleet, plan)
        finally:
            await fleet.end()
        if verdict.problems:
            target = kept_logs / f'seed-{plan.seed}'
            shutil.copytree(directory, target, dirs_exist_ok=True)
        return verdict


async def _play(fleet: SoakFleet, plan: Plan) -> Verdict:
    verdict, callers = Verdict(), Callers(fleet)
    watching = asyncio.create_task(fleet.watch())
    for member in fleet.members_by_id.values():
        await fleet.start(member)
    await fleet.wait_until_serving()
    end_ms = now_ms() + plan.seconds * 1000
    checking = asyncio.create_task(_check_keys(callers))
    await asyncio.gather(
        callers.load(end_ms, plan.jobs_per_s), _faults(fleet, plan, end_ms, verdict)
    )
    phases = await _settle(fleet, callers)
    for task in (watching, checking):
        task.cancel()
    await asyncio.gather(watching, checking, return_exceptions=True)
    oracle = fleet.oracle
    oracle.check_at_end(phases.get)
    verdict.problems = oracle.problems
    verdict.accepted = len(oracle.accepted_at_ms)
    verdict.refused = len(oracle.refused_job_ids)
    verdict.starts = sum(len(b.starts) for b in oracle.backends_by_id.values())
    return verdict


async def _check_keys(callers: Callers) -> None:
    while True:
        await callers.try_withdrawn_keys()
        await asyncio.sleep(seconds(KEY_CHECK_MS))


async def _faults(fleet: SoakFleet, plan: Plan, end_ms: int, verdict: Verdict) -> None:
    """Starts faults one after the other, whether or not earlier ones are over."""
    running: set[asyncio.Task] = set()
    began = now_ms()
    while plan.faults:
        gap_ms = int(fleet.rng.uniform(0.2, 1.8) * FAULT_GAP_MS)
        await asyncio.sleep(seconds(gap_ms))
        if now_ms() >= end_ms:
            break
        name = fleet.rng.choice(plan.faults)
        verdict.faults.append(f'{now_ms() - began} {name}')
        running.add(asyncio.create_task(FAULTS[name](fleet)))
    await asyncio.gather(*running)


async def _settle(fleet: SoakFleet, callers: Callers) -> dict[str, str | None]:
    """Waits until every accepted job has ended; returns what callers are told."""
    for member in fleet.members_by_id.values():
        await fleet.start(member)
    phases: dict[str, str | None] = {}
    end_ms = now_ms() + SETTLE_MS
    while True:
        for job_id in fleet.oracle.accepted_at_ms:
            if phases.get(job_id) not in FINAL_PHASES:
                phases[job_id] = await callers.phase(job_id)
        if all(phases[i] in FINAL_PHASES for i in fleet.oracle.accepted_at_ms):
            return phases
        if now_ms() > end_ms:
            return phases
        await asyncio.sleep(seconds(200))
