"""Measures processor time and memory of operators' commands."""

import asyncio
import os
import tempfile
from dataclasses import asdict, replace
from pathlib import Path

from dandelionknot._http_client import new_http_client
from measure.cost_bench import Bench, fill_bytecode_cache, start_bench, start_process
from measure.cost_sizes import IN_TWO_YEARS, TODAY, Size
from standins.fleet import OPERATOR_TOKEN

COMMANDS = (['status', 'pool'], ['status', 'host'], ['zone', 'out', 'zone-0'])


def _run_command(bench: Bench, arguments: list[str]) -> dict:
    process = start_process(bench, 'command', ['-m', 'dandelionknot', *arguments])
    assert process.stdout is not None
    output = process.stdout.read()
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return {
        'exit_status': process.returncode,
        'output_bytes': len(output),
        'cpu_ms': (usage.ru_utime + usage.ru_stime) * 1000,
        # `ru_maxrss` is in KiB on Linux.
        'peak_resident_mb': usage.ru_maxrss / 1024,
    }


async def measure_commands(size: Size, directory: Path) -> dict:
    """Runs each command once in a separate process and returns its costs.

    The costs are processor time, peak memory and the size of the output.
    """
    bench = Bench(directory, new_http_client(16))
    try:
        await start_bench(size, bench)
        token = directory / 'token'
        token.write_text(OPERATOR_TOKEN)
        token.chmod(0o600)
        options = ['--entry', bench.operator_addresses[0], '--token_file', str(token)]
        costs = {
            ' '.join(command): await asyncio.to_thread(
                _run_command, bench, [*command, *options]
            )
            for command in COMMANDS
        }
        return {'size': asdict(size), 'commands': costs}
    finally:
        await bench.stop()


def run_commands() -> dict:
    """Measures operators' commands for the present and for the expected fleet size.

    Three members (entry hosts) are enough, because a command connects to only one.
    """
    samples = []
    with tempfile.TemporaryDirectory() as root:
        fill_bytecode_cache(Path(root))
        for number, size in enumerate((TODAY, IN_TWO_YEARS)):
            directory = Path(root) / str(number)
            directory.mkdir()
            with_three_members = replace(size, members=3)
            samples.append(asyncio.run(measure_commands(with_three_members, directory)))
    return {'samples': samples}
