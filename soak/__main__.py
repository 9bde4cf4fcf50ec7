"""Runs the soak test: `python -m soak --seeds 1-50 --seconds 20`."""

import asyncio
import sys
from pathlib import Path

import fire

from soak.faults import FAULTS
from soak.run import RunSettings, run_seed


def main(
    seeds: str = '1-3',
    seconds: int = 20,
    members: int = 3,
    faults: str = 'all',
    logs: str = 'soak-logs',
) -> None:
    """Makes one run for each seed and prints the problems that were found.

    `seeds` is a number or a range such as 1-50. `faults` is `all`, or one or more
    fault names joined by plus signs. For each seed that failed, the logs of the
    processes are copied to a folder below `logs`. Exits with status 1 if a seed
    failed.
    """
    first, _, last = str(seeds).partition('-')
    names = tuple(FAULTS) if faults == 'all' else tuple(faults.split('+'))
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        settings = RunSettings(
            seed=seed, seconds=seconds, members=members, faults=names
        )
        verdict = asyncio.run(run_seed(settings, Path(logs)))
        failed += bool(verdict.problems)
        print(
            f'seed {seed}: {len(verdict.problems)} problems, {verdict.accepted} jobs '
            f'accepted, {verdict.refused} refused, {verdict.starts} starts',
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
