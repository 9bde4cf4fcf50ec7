"""One experiment with an emulated fleet: load, faults and a verdict."""

import asyncio
import logging
import random
from dataclasses import dataclass, field, replace

from dandelionknot.clock import now_ms, seconds
from dandelionknot.jobs._generated import Resources
from emulator import virtual_time
from emulator.faults import (
    ALL_FAULTS,
    DEADLY_TASKS,
    FAULTS,
    LIFETIMES,
    LOSSES,
    MAINTENANCE,
    PAIRS,
    RECUT,
    SILENCE,
    UNREACHED,
    WRITES,
)
from emulator.fleet import LIMIT, SERVICES, EmulatedFleet
from emulator.store import MAX_VALUE_BYTES

# Time after a fault in which it may still explain what happens.
STABLE_MS = 3000
# Largest value of a store that takes the record of a job of many tasks before a crash.
SMALL_VALUE_BYTES = 65_536
# Time for every accepted job to end after the last fault.
SETTLE_MS = 30_000


@dataclass(slots=True, frozen=True)
class Experiment:
    """Settings of one experiment. The seed determines load and faults."""

    seed: int
    seconds: int = 40
    jobs_per_s: float = 4.0
    faults: tuple[str, ...] = tuple(FAULTS)
    fault_gap_ms: int = 2500
    members: int = 4
    backends: int = 9
    limit: Resources = LIMIT
    lists_hosts: bool = False
    # Tasks of the job of each service whose tasks last; 0 for no such job.
    lasting_tasks: int = 0
    # Mean duration of a run.
    run_ms: int = 400
    # Share of the jobs that only one backend server of their service can run.
    rare_share: float = 0.0
    # Share of the jobs whose tasks are long.
    long_share: float = 0.0
    # Share of the jobs that have many tasks.
    large_share: float = 0.0
    # Largest value that the store takes.
    max_value_bytes: int = MAX_VALUE_BYTES
    # Whether tasks need tickets, which are valid for longer than the experiment.
    needs_advice: bool = False


def with_losses(experiment: Experiment) -> Experiment:
    """Returns the experiment with losses of many backend servers as its faults.

    Its fleet lists its hosts, has no limit of the client account, and runs tasks that
    last on each backend server.
    """
    return replace(
        experiment,
        faults=tuple(LOSSES),
        limit=Resources(),
        lists_hosts=True,
        lasting_tasks=experiment.backends // len(SERVICES),
    )


def with_lifetimes(experiment: Experiment) -> Experiment:
    """Returns the experiment with restarts of backend servers as its faults."""
    return replace(with_losses(experiment), faults=tuple(LIFETIMES), lists_hosts=False)


def with_writes(experiment: Experiment) -> Experiment:
    """Returns the experiment with crashes while records are written as its faults.

    Its tasks outlast a change of leader.
    """
    return replace(
        with_losses(experiment),
        faults=tuple(WRITES),
        jobs_per_s=2.0,
        run_ms=4000,
        fault_gap_ms=6000,
    )


def with_silence(experiment: Experiment) -> Experiment:
    """Returns the experiment with unnoticed restarts of idle backend servers."""
    return replace(
        experiment,
        faults=tuple(SILENCE),
        limit=Resources(),
        jobs_per_s=2.0,
        run_ms=2000,
        fault_gap_ms=3000,
    )


def with_recut(experiment: Experiment) -> Experiment:
    """Returns the experiment with late starts, restarts and cuts as its faults.

    Its tasks are short and long ones.
    """
    return replace(
        experiment,
        faults=tuple(RECUT),
        limit=Resources(),
        jobs_per_s=3.0,
        long_share=0.4,
        fault_gap_ms=4000,
    )


def with_recut_and_hosts(experiment: Experiment) -> Experiment:
    """Returns the same experiment with a fleet that lists its hosts."""
    return replace(with_recut(experiment), lists_hosts=True)


def with_unreached(experiment: Experiment) -> Experiment:
    """Returns the experiment with servers that are called late after their restart.

    Its tasks are short, so that they end before that.
    """
    return replace(
        experiment,
        faults=tuple(UNREACHED),
        limit=Resources(),
        jobs_per_s=8.0,
        run_ms=100,
        fault_gap_ms=1500,
    )


def with_large_jobs(experiment: Experiment) -> Experiment:
    """Returns the experiment with crashes under jobs of many tasks.

    The store takes the record of such a job in one value until a server crashes under
    most of its tasks.
    """
    return replace(
        experiment,
        faults=('crash_backend',),
        limit=Resources(),
        jobs_per_s=2.0,
        run_ms=1500,
        large_share=0.2,
        max_value_bytes=SMALL_VALUE_BYTES,
        fault_gap_ms=4000,
    )


def with_advice(experiment: Experiment) -> Experiment:
    """Returns the experiment with tickets, and a lasting task on each server.

    Two servers of a service crash at a time, and are back under their ids.
    """
    return replace(
        experiment,
        faults=tuple(PAIRS),
        limit=Resources(),
        jobs_per_s=1.0,
        backends=8,
        lasting_tasks=4,
        needs_advice=True,
        fault_gap_ms=14_000,
    )


def with_maintenance(experiment: Experiment) -> Experiment:
    """Returns the experiment with planned maintenance as its faults.

    Some of its jobs need the one backend server of their service with a rare label.
    """
    return replace(
        with_losses(experiment),
        faults=tuple(MAINTENANCE),
        rare_share=0.3,
        fault_gap_ms=8000,
    )


# Experiments by the name of their group of faults.
GROUPS = {
    'losses': with_losses,
    'lifetimes': with_lifetimes,
    'writes': with_writes,
    'silence': with_silence,
    'recut': with_recut,
    'recut_hosts': with_recut_and_hosts,
    'unreached': with_unreached,
    'large_jobs': with_large_jobs,
    'advice': with_advice,
    'maintenance': with_maintenance,
}


@dataclass(slots=True)
class Verdict:
    """Result of an experiment: problems found, faults injected and counts."""

    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    accepted: int = 0
    ended: int = 0
    starts: int = 0
    store_calls: int = 0
    # Jobs and long-running tasks that stood still for 3 s while there was room, whether
    # a fault explains it or not, and the longest standstill.
    long_standstills: int = 0
    longest_standstill_ms: int = 0


def run_experiment(experiment: Experiment) -> Verdict:
    """Runs an experiment in virtual time."""
    logging.getLogger('dandelionknot').setLevel(logging.CRITICAL)
    # Managers draw the times of their election attempts from the global random
    # generator.
    random.seed(experiment.seed)
    return virtual_time.run(_run_experiment(experiment))


async def _run_experiment(experiment: Experiment) -> Verdict:
    fleet = EmulatedFleet.from_seed(
        experiment.seed,
        experiment.members,
        experiment.backends,
        experiment.limit,
        experiment.lists_hosts,
    )
    fleet.rare_share = experiment.rare_share
    fleet.long_share = experiment.long_share
    fleet.large_share = experiment.large_share
    fleet.needs_advice = experiment.needs_advice
    fleet.store.max_value_bytes = experiment.max_value_bytes
    for backend in fleet.backends_by_id.values():
        backend.mean_ms = experiment.run_ms
    verdict = Verdict()
    fleet.start()
    watch_task = asyncio.create_task(fleet.watch())
    await asyncio.sleep(3)
    if experiment.lasting_tasks:
        await fleet.submit_lasting(experiment.lasting_tasks)
    end_ms = now_ms() + experiment.seconds * 1000
    await asyncio.gather(
        _submit_jobs(fleet, experiment, end_ms),
        _inject_faults(fleet, experiment, end_ms, verdict),
    )
    await asyncio.sleep(seconds(SETTLE_MS))
    await fleet.cancel_lasting()
    phases = {i: await fleet.phase(i) for i in fleet.oracle.accepted_at_ms}
    fleet.oracle.check_at_end(phases.get)
    watch_task.cancel()
    await asyncio.gather(watch_task, return_exceptions=True)
    for member_id in fleet.members_by_id:
        await fleet.kill_member(member_id)
    verdict.problems = fleet.oracle.problems
    verdict.accepted = len(fleet.oracle.accepted_at_ms)
    verdict.starts = sum(len(b.starts) for b in fleet.backends_by_id.values())
    verdict.long_standstills = len(fleet.standstill.long_names)
    verdict.longest_standstill_ms = fleet.standstill.longest_ms
    verdict.store_calls = fleet.store.calls
    return verdict


async def _submit_jobs(
    fleet: EmulatedFleet, experiment: Experiment, end_ms: int
) -> None:
    number = 0
    calls: set[asyncio.Task] = set()
    while now_ms() < end_ms:
        number += 1
        calls.add(asyncio.create_task(_run_caller(fleet, f'{number:016x}')))
        await asyncio.sleep(fleet.rng.expovariate(experiment.jobs_per_s))
    await asyncio.gather(*calls)


async def _run_caller(fleet: EmulatedFleet, job_id: str) -> None:
    accepted = await fleet.submit(job_id)
    if accepted and fleet.rng.random() < 0.1:
        await asyncio.sleep(fleet.rng.uniform(0, 2))
        await fleet.cancel(job_id)


async def _inject_faults(
    fleet: EmulatedFleet, experiment: Experiment, end_ms: int, verdict: Verdict
) -> None:
    if not experiment.faults:
        return
    running: set[asyncio.Task] = set()
    start_ms = now_ms()
    while True:
        gap_ms = int(fleet.rng.uniform(0.2, 1.8) * experiment.fault_gap_ms)
        await asyncio.sleep(seconds(gap_ms))
        if now_ms() >= end_ms:
            break
        name = fleet.rng.choice(experiment.faults)
        verdict.faults.append(f'{now_ms() - start_ms} {name}')
        running.add(asyncio.create_task(_inject(fleet, name)))
    await asyncio.gather(*running)


async def _inject(fleet: EmulatedFleet, name: str) -> None:
    """Injects a fault; until shortly after it, it may explain what happens."""
    fleet.active_faults += name != DEADLY_TASKS
    try:
        await ALL_FAULTS[name](fleet)
    finally:
        fleet.calm_since_ms = now_ms()
        if name != DEADLY_TASKS:
            fleet.active_faults -= 1
            fleet.disturbed_until_ms = now_ms() + STABLE_MS
