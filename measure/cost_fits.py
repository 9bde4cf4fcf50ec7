"""Fits straight lines to the costs measured at several sizes."""

from collections.abc import Callable, Iterable
from dataclasses import asdict

from measure.cost_sizes import Size
from measure.processes import FittedLine, fit_line

# Each quantity with the dimension of `Size` that it depends on most, and a function
# that reads it from a sample.
QUANTITIES: dict[str, tuple[str, Callable[[dict], float]]] = {
    'entry host, idle, % of a core': (
        'members',
        lambda each: _idle(each)['cpu_percent'],
    ),
    'steward, idle, % of a core': (
        'members',
        lambda each: _idle(each)['steward_cpu_percent'],
    ),
    'resident memory, MB': ('hosts', lambda each: each['resident_mb']),
    'configuration, bytes': ('hosts', lambda each: each['configuration_bytes']),
    'idle, platform, bytes/s': (
        'members',
        lambda each: _idle(each)['platform_bytes_per_s'],
    ),
    'idle, peers, bytes/s': ('members', lambda each: _idle(each)['peer_bytes_per_s']),
    'idle, backend servers, bytes/s': (
        'hosts',
        lambda each: _idle(each)['backend_bytes_per_s'],
    ),
    'idle, platform calls/s, fleet': (
        'members',
        lambda each: _idle(each)['platform_calls_per_s'],
    ),
    'change, until confirmed, ms': (
        'members',
        lambda each: each['change']['median_ms'],
    ),
    'change, CPU ms per entry host': ('members', lambda each: each['change']['cpu_ms']),
    'change, platform bytes per entry host': (
        'members',
        lambda each: each['change']['platform_bytes'],
    ),
    'change, platform calls, fleet': (
        'members',
        lambda each: each['change']['platform_calls'],
    ),
}


def _idle(sample: dict) -> dict:
    return sample['idle']


def fits_of(samples: list[dict], variable: str) -> dict[str, FittedLine]:
    """Fits a line to each quantity over the dimension of `Size` named `variable`."""
    return {
        name: fit_line([(each['size'][variable], read(each)) for each in samples])
        for name, (_, read) in QUANTITIES.items()
    }


def samples_of_sizes(samples: Iterable[dict], sizes: Iterable[Size]) -> list[dict]:
    """Returns the samples that have one of the sizes."""
    wanted = [asdict(size) for size in sizes]
    return [each for each in samples if each['size'] in wanted]
