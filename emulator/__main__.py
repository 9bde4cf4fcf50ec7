"""Runs emulator experiments: `python -m emulator --seeds 1-50 --seconds 40`."""

import sys

import fire

from emulator.experiment import Experiment, run_experiment
from emulator.faults import FAULTS


def main(
    seeds: str = '1-5', seconds: int = 40, jobs_per_s: float = 4.0, faults: str = 'all'
) -> None:
    """Runs one experiment for each seed and prints the problems that were found.

    `seeds` is a number or a range such as 1-50. `faults` is `all`, `none`, or one
    or more fault names joined by plus signs. Exits with status 1 if a seed failed.
    """
    first, _, last = str(seeds).partition('-')
    names = {'all': tuple(FAULTS), 'none': ()}.get(faults) or tuple(faults.split('+'))
    if faults == 'none':
        names = ()
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        verdict = run_experiment(
            Experiment(seed=seed, seconds=seconds, jobs_per_s=jobs_per_s, faults=names)
        )
        failed += bool(verdict.problems)
        print(
            f'seed {seed}: {len(verdict.problems)} problems, {verdict.accepted} jobs, '
            f'{verdict.starts} starts, {verdict.store_calls} calls to the store',
            flush=True,
        )
        for problem in verdict.problems[:5]:
            print(f'  {problem}')
        if verdict.problems:
            print('  faults:', ', '.join(verdict.faults))
    print(f'{failed} seeds failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
