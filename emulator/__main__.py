"""Runs emulator experiments: `python -m emulator --seeds 1-50 --seconds 40`."""

import sys
from dataclasses import replace

import fire

from emulator.experiment import GROUPS, Experiment, run_experiment


def main(
    seeds: str = '1-5',
    seconds: int = 40,
    jobs_per_s: float = 4.0,
    faults: str = 'all',
    gap_ms: int = 2500,
    backends: int = 9,
) -> None:
    """Runs one experiment for each seed and prints the problems that were found.

    `seeds` is a number or a range such as 1-50. `faults` is `all`, `none`, or one
    or more fault names joined by plus signs, and `gap_ms` the mean time from one fault
    to the next. With `losses`, the fleet also lists its hosts, runs tasks that last and
    has no limit; with `lifetimes`, backend servers restart while entries come late and
    leaders are killed; with `writes`, backend servers crash while records are written;
    with `silence`, they restart unnoticed and are cut off; with `recut` or
    `recut_hosts`, without or with a list of hosts, they restart, carry out starts late
    and are cut off; with `unreached`, they carry out late calls after a restart before
    they are called; with `large_jobs`, servers crash under jobs of many tasks; with
    `advice`, pairs of them crash under steps that need tickets; with `maintenance`,
    hosts go down as operators order. Exits with status 1 if a seed failed.
    """
    first, _, last = str(seeds).partition('-')
    settings = Experiment(
        seed=0,
        seconds=seconds,
        jobs_per_s=jobs_per_s,
        fault_gap_ms=gap_ms,
        backends=backends,
    )
    if faults in GROUPS:
        settings = GROUPS[faults](settings)
    elif faults != 'all':
        names = () if faults == 'none' else tuple(faults.split('+'))
        settings = replace(settings, faults=names)
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        verdict = run_experiment(replace(settings, seed=seed))
        failed += bool(verdict.problems)
        print(
            f'seed {seed}: {len(verdict.problems)} problems, {verdict.accepted} jobs, '
            f'{verdict.starts} starts, {verdict.store_calls} calls to the store, '
            f'{verdict.long_standstills} stood still for 3 s with room for them, the '
            f'longest {verdict.longest_standstill_ms} ms',
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
