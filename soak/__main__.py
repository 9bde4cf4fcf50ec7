"""Runs the soak test: `python -m soak --seeds 1-50 --seconds 20`."""

import asyncio
import sys
from dataclasses import replace
from pathlib import Path

import fire

from soak.faults import (
    CROWD_NAMES,
    FAULTS,
    LIFETIMES,
    LOSSES,
    RECUT_NAMES,
    RECUT_REACHED_NAMES,
)
from soak.profiles import PROFILES_BY_NAME
from soak.run import FAULT_GAP_MS, RunSettings, run_seed

FAULT_NAMES = {
    'all': tuple(FAULTS | LOSSES),
    'losses': tuple(LOSSES),
    'lifetimes': tuple(LIFETIMES),
    'recut': RECUT_NAMES,
    'recut-reached': RECUT_REACHED_NAMES,
    'crowds': CROWD_NAMES,
}
# Profiles other than `small` on which groups of faults are played by default.
PROFILE_NAMES_BY_FAULTS = {'recut': 'mixed', 'recut-reached': 'mixed'}


def main(
    seeds: str = '1-3',
    seconds: int = 20,
    profile: str = '',
    members: int = 0,
    backends: int = 0,
    jobs_per_s: float = 0.0,
    limit_cores: int = 0,
    faults: str = 'all',
    gap_ms: int = FAULT_GAP_MS,
    logs: str = 'soak-logs',
) -> None:
    """Makes one run for each seed and prints the problems that were found.

    `seeds` is a number or a range such as 1-50. `faults` is `all`, `losses`,
    `lifetimes`, `recut`, `recut-reached`, `crowds`, `none`, or one or more fault names
    joined by plus signs, and `gap_ms` the mean time from one fault to the next. `all`
    leaves out `lifetimes`, both `recut`s and `crowds`. `profile` is `small`, `mixed` or
    `grown`, by default `mixed` for `recut` and `recut-reached`, and else `small`; its
    numbers of members, backend servers and jobs, and the limit of its client account,
    are replaced by those that are given.

    For each seed that failed, the logs of the processes are copied to a folder below
    `logs`. Exits with status 1 if a seed failed.
    """
    first, _, last = str(seeds).partition('-')
    names = FAULT_NAMES.get(faults) or tuple(faults.split('+'))
    if faults == 'none':
        names = ()
    named = PROFILES_BY_NAME[profile or PROFILE_NAMES_BY_FAULTS.get(faults, 'small')]
    chosen = replace(
        named,
        members=members or named.members,
        backends=backends or named.backends,
        jobs_per_s=jobs_per_s or named.jobs_per_s,
        limit_millicores=1000 * limit_cores or named.limit_millicores,
    )
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        settings = RunSettings(
            seed=seed,
            seconds=seconds,
            profile=chosen,
            faults=names,
            fault_gap_ms=gap_ms,
        )
        verdict = asyncio.run(run_seed(settings, Path(logs)))
        failed += bool(verdict.problems)
        print(
            f'seed {seed}: {len(verdict.problems)} problems, {verdict.accepted} jobs '
            f'accepted, {verdict.refused} refused, {verdict.starts} starts, '
            f'{verdict.long_standstills} stood still for 3 s with room for them, the '
            f'longest {verdict.longest_standstill_ms} ms',
            flush=True,
        )
        for problem in verdict.problems:
            print(f'  {problem}')
        if verdict.problems:
            print('  faults:', ', '.join(verdict.faults))
    print(f'{failed} seeds failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
