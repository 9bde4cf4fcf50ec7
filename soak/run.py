"""One soak run: load, faults that may overlap, and a verdict."""

import asyncio
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from dandelionknot.clock import now_ms, seconds
from emulator.oracle import FINAL_PHASES
from emulator.standstill import MAX_STANDSTILL_MS, RESTART_MS, STABLE_MS
from soak.callers import Callers
from soak.faults import ALL_FAULTS, FAULTS
from soak.fleet import SoakFleet
from soak.profiles import SMALL, Profile

# Mean time from the start of one fault to the next.
FAULT_GAP_MS = 1200
# Interval at which withdrawn keys are tried.
KEY_CHECK_MS = 500
# Limit for every accepted job to end after the last fault. Only stuck jobs take longer.
SETTLE_MS = 30_000


@dataclass(slots=True, frozen=True)
class RunSettings:
    """Settings of one soak run. The seed determines faults and load."""

    seed: int
    seconds: int = 20
    profile: Profile = SMALL
    faults: tuple[str, ...] = tuple(FAULTS)
    fault_gap_ms: int = FAULT_GAP_MS


@dataclass(slots=True)
class Verdict:
    """Result of a soak run: problems found, faults injected and counts."""

    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    accepted: int = 0
    refused: int = 0
    starts: int = 0
    # Jobs and long-running tasks that stood still for 3 s while there was room, whether
    # a fault explains it or not, and the longest standstill.
    long_standstills: int = 0
    longest_standstill_ms: int = 0


async def run_seed(settings: RunSettings, logs_directory: Path) -> Verdict:
    """Makes one soak run and copies the logs of the processes if it found problems."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = await SoakFleet.from_seed(
            settings.seed, settings.profile, Path(directory)
        )
        try:
            verdict = await _run_fleet(fleet, settings)
        finally:
            await fleet.end()
        if verdict.problems:
            fleet.write_events(Path(directory) / 'platform.log')
            target = logs_directory / f'seed-{settings.seed}'
            shutil.copytree(directory, target, dirs_exist_ok=True)
        return verdict


async def _run_fleet(fleet: SoakFleet, settings: RunSettings) -> Verdict:
    verdict, callers = Verdict(), Callers(fleet)
    watch_task = asyncio.create_task(fleet.watch())
    for member in fleet.members_by_id.values():
        await fleet.start(member)
    await fleet.wait_until_serving()
    fleet.calm_since_ms = now_ms()
    await callers.submit_lasting()
    end_ms = now_ms() + settings.seconds * 1000
    check_task = asyncio.create_task(_check_keys_periodically(callers))
    await asyncio.gather(
        callers.load(end_ms, settings.profile.jobs_per_s),
        _inject_faults(fleet, settings, end_ms, verdict),
    )
    await _watch_calm_fleet(fleet, settings)
    await callers.cancel_lasting()
    phases = await _wait_until_jobs_ended(fleet, callers)
    for task in (watch_task, check_task):
        task.cancel()
    await asyncio.gather(watch_task, check_task, return_exceptions=True)
    oracle = fleet.oracle
    oracle.check_at_end(phases.get)
    verdict.problems = oracle.problems
    verdict.accepted = len(oracle.accepted_at_ms)
    verdict.refused = len(oracle.refused_job_ids)
    verdict.long_standstills = len(fleet.standstill.long_names)
    verdict.longest_standstill_ms = fleet.standstill.longest_ms
    verdict.starts = sum(len(b.starts) for b in oracle.backends_by_id.values())
    return verdict


async def _watch_calm_fleet(fleet: SoakFleet, settings: RunSettings) -> None:
    """Waits until a job that stands still after the last fault would be reported."""
    if settings.profile.lasting_jobs:
        for member in fleet.members_by_id.values():
            await fleet.start(member)
        await asyncio.sleep(seconds(STABLE_MS + MAX_STANDSTILL_MS + RESTART_MS))


async def _check_keys_periodically(callers: Callers) -> None:
    while True:
        await callers.check_withdrawn_keys()
        await asyncio.sleep(seconds(KEY_CHECK_MS))


async def _inject_faults(
    fleet: SoakFleet, settings: RunSettings, end_ms: int, verdict: Verdict
) -> None:
    """Starts faults at random intervals, even while earlier faults are still active."""
    running: set[asyncio.Task] = set()
    start_ms = now_ms()
    while settings.faults:
        gap_ms = int(fleet.rng.uniform(0.2, 1.8) * settings.fault_gap_ms)
        await asyncio.sleep(seconds(gap_ms))
        if now_ms() >= end_ms:
            break
        name = fleet.rng.choice(settings.faults)
        verdict.faults.append(f'{now_ms() - start_ms} {name}')
        fleet.note(f'fault {name} begins')
        running.add(asyncio.create_task(_inject(fleet, name)))
    await asyncio.gather(*running)


async def _inject(fleet: SoakFleet, name: str) -> None:
    fleet.active_faults += 1
    try:
        await ALL_FAULTS[name](fleet)
    finally:
        fleet.active_faults -= 1
        fleet.calm_since_ms = now_ms()


async def _wait_until_jobs_ended(
    fleet: SoakFleet, callers: Callers
) -> dict[str, str | None]:
    """Starts processes that are down and waits until every accepted job has ended.

    Returns the phase of each accepted job as callers see it, at the latest after
    `SETTLE_MS`.
    """
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
