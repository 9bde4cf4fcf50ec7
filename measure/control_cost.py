"""Measures what one entry host costs at several fleet sizes.

`run()` starts stand-ins and entry hosts as processes on loopback, with a generated
configuration, and returns samples and straight lines fitted to them.
"""

import asyncio
import json
import os
import sys
import tempfile
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from statistics import median

from dandelionknot import decisions
from dandelionknot._http_client import new_http_client
from dandelionknot.clock import now_ms
from measure.cost_bench import Bench, call_json, fill_bytecode_cache, start_bench
from measure.cost_commands import run_commands
from measure.cost_fits import QUANTITIES, fits_of, samples_of_sizes
from measure.cost_load import measure_load
from measure.cost_readings import Reading, rates_between, read_totals
from measure.cost_sizes import (
    ALONE,
    IN_TWO_YEARS,
    SCALED,
    SIZES_WITH_LOAD,
    TODAY,
    Size,
    configuration_of,
)
from measure.processes import fit_line, proportional_mb, resident_mb
from standins.fleet import CONFIGURATION_KEY, OPERATOR_TOKEN

__all__ = [
    'ALONE',
    'IN_TWO_YEARS',
    'SCALED',
    'TODAY',
    'Reading',
    'Size',
    'configuration_of',
    'rates_between',
    'run',
    'run_commands',
    'run_sizes',
]

# Pause after the start, so that its work is not measured as the idle cost.
SETTLING_TIME_S = 4
IDLE_S = 10.5
CHANGES = 6
CHANGE_PAUSE_S = 0.2
# Limits the memory of all entry hosts together; a size that exceeds it is not measured.
MEMORY_LIMIT_MB = 1900


async def measure_changes(bench: Bench, idle: dict) -> dict:
    """Makes changes one after the other and returns the costs of one change.

    The idle rates are subtracted from the costs.
    """
    times_ms = []
    outcomes: Counter[str] = Counter()
    version = 1
    before = await read_totals(bench)
    for number in range(CHANGES):
        record = decisions.keys.issue_key('team-0', 'key-2', os.urandom(48)).unwrap()
        edit = {
            'kind': 'give_key',
            'team': 'team-0',
            'key_id': f'key-{number + 2}',
            'key_record': record.record,
        }
        change = {
            'change_id': f'change-{number}-{now_ms()}',
            'expected_version': version,
            'edit': edit,
        }
        began_ms = now_ms()
        address = bench.operator_addresses[0]
        report = await call_json(bench, address, '/v1/changes', change, OPERATOR_TOKEN)
        times_ms.append(now_ms() - began_ms)
        outcomes[report.get('outcome', str(report))] += 1
        version = report.get('version', version)
        await asyncio.sleep(CHANGE_PAUSE_S)
    after = await read_totals(bench)
    busy = rates_between(before, after)

    def extra(name: str) -> float:
        return (busy[name] - idle[name]) * busy['elapsed_s'] / CHANGES

    return {
        'outcomes': dict(outcomes),
        'median_ms': median(times_ms),
        'largest_ms': max(times_ms),
        'cpu_ms': extra('cpu_percent') * 10,
        'steward_cpu_ms': extra('steward_cpu_percent') * 10,
        'platform_bytes': extra('platform_bytes_per_s'),
        'peer_bytes': extra('peer_bytes_per_s'),
        'platform_calls': extra('platform_calls_per_s'),
        'calls_by_kind': {
            kind: (rate - idle['calls_per_s_by_kind'].get(kind, 0))
            * busy['elapsed_s']
            / CHANGES
            for kind, rate in busy['calls_per_s_by_kind'].items()
        },
    }


async def measure_size(size: Size, directory: Path, with_load: bool) -> dict:
    """Starts a bench of one size and returns all its measurements.

    Costs under load are measured only if `with_load` is true.
    """
    bench = Bench(directory, new_http_client(16))
    try:
        key = await start_bench(size, bench)
        await asyncio.sleep(SETTLING_TIME_S)
        pids = bench.member_pids()
        total_mb = sum(proportional_mb(pid) for pid in pids)
        if total_mb > MEMORY_LIMIT_MB:
            raise RuntimeError(
                f'entry hosts use {total_mb:.0f} MB together, above the memory limit'
            )
        before = await read_totals(bench)
        await asyncio.sleep(IDLE_S)
        idle = rates_between(before, await read_totals(bench))
        memory = [resident_mb(pid) for pid in pids]
        document = await call_json(
            bench, bench.platform_address, f'/v1/values/{CONFIGURATION_KEY}'
        )
        sample = {
            'size': asdict(size),
            'idle': idle,
            'resident_mb': median(memory),
            'steward_resident_mb': memory[0],
            'proportional_mb': total_mb / len(pids),
            'configuration_bytes': len(document['value']),
            'change': await measure_changes(bench, idle),
            'resident_mb_after_changes': median(resident_mb(pid) for pid in pids),
        }
        if with_load:
            sample['load'] = await measure_load(bench, size, key, idle)
        return sample
    finally:
        await bench.stop()


def run_sizes(sizes: list[Size]) -> list[dict]:
    """Measures sizes one after the other, about half a minute each.

    A size that fails has its error under `problem` and does not stop the others.
    """
    samples = []
    with tempfile.TemporaryDirectory() as root:
        fill_bytecode_cache(Path(root))
        for number, size in enumerate(sizes):
            directory = Path(root) / str(number)
            directory.mkdir()
            with_load = size in SIZES_WITH_LOAD
            try:
                samples.append(asyncio.run(measure_size(size, directory, with_load)))
            except (RuntimeError, TimeoutError) as error:
                samples.append({'size': asdict(size), 'problem': repr(error)})
            print(json.dumps(samples[-1]), file=sys.stderr, flush=True)
    return samples


def run() -> dict:
    """Measures all sizes; takes about seven minutes.

    `fits` has one entry for the sizes that grow in all dimensions, in which each
    quantity is fitted over the dimension it depends on most, and one entry for each
    dimension that grows alone.
    """
    alone = [size for sizes in ALONE.values() for size in sizes]
    samples = run_sizes([*SCALED, TODAY, IN_TWO_YEARS, *alone])
    measured = [each for each in samples if 'problem' not in each]
    scaled = samples_of_sizes(measured, SCALED)
    fits = {
        'scaled together': {
            name: asdict(
                fit_line([(each['size'][driver], read(each)) for each in scaled])
            )
            | {'driver': driver}
            for name, (driver, read) in QUANTITIES.items()
        }
    }
    for variable, varied in ALONE.items():
        chosen = samples_of_sizes(measured, [Size(), *varied])
        fits[f'{variable} alone'] = {
            name: asdict(line) for name, line in fits_of(chosen, variable).items()
        }
    return {'samples': samples, 'fits': fits}
