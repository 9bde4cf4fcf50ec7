"""Measures the cost of routing choices and tables, and the spread of load."""

import random
import time
from collections.abc import Callable
from dataclasses import asdict
from statistics import median, pstdev, quantiles

from result import Ok

from dandelionknot.configuration import Configuration
from dandelionknot.decisions import _routing
from dandelionknot.decisions._routing import HostLoad, RoutingTable
from dandelionknot.messages import UsageReport
from measure.fleets import fleet, linear_fit

HOST_COUNTS = (10, 40, 160, 660)
SERVICE_ID = 'service-0'
# Measurements of each fleet size.
REPEATS = 15
# Choices, or pairs of table updates, in one measurement.
CHOICES = 3000
# Tables built in one measurement.
BUILDS = 3

# A zone without hosts. A table for it has the hosts of every zone as candidates, which
# makes a choice most expensive.
NO_ZONE = 'elsewhere'

SPREAD_HOSTS = 160
SPREAD_ENTRY_HOSTS = 8
SPREAD_TASKS = 900
SPREAD_ARRIVALS = 20000
ARRIVALS_PER_REPORT = 200
# Makes 200 arrivals a second, so that usage reports are 1 s apart.
ARRIVAL_MS = 5

Strategy = Callable[[RoutingTable, random.Random, int], str | None]


def run() -> dict:
    """Measures processor time in microseconds and the spread of load.

    Each repetition measures all sizes, so that variations in the speed of the
    machine affect all sizes equally. The lines are fitted to the samples of all
    repetitions.
    """
    configurations = {hosts: fleet(hosts, 1) for hosts in HOST_COUNTS}
    samples = [
        _costs(hosts, configurations[hosts])
        for _ in range(REPEATS)
        for hosts in HOST_COUNTS
    ]
    xs = [float(sample['hosts']) for sample in samples]
    return {
        'median_by_hosts': {
            str(hosts): _medians([one for one in samples if one['hosts'] == hosts])
            for hosts in HOST_COUNTS
        },
        'largest_mean_choice_us': max(sample['choice_us'] for sample in samples),
        'single_choice_us_at_largest': _single_choice_us(
            configurations[HOST_COUNTS[-1]]
        ),
        'choice_us_fit': asdict(linear_fit(xs, [one['choice_us'] for one in samples])),
        'build_us_fit': asdict(linear_fit(xs, [one['build_us'] for one in samples])),
        'spread_exact': _spreads(entry_hosts=1, arrivals_per_report=1),
        'spread_lagging': _spreads(SPREAD_ENTRY_HOSTS, ARRIVALS_PER_REPORT),
    }


def _medians(samples: list[dict]) -> dict:
    return {name: median(sample[name] for sample in samples) for name in samples[0]}


def _costs(hosts: int, configuration: Configuration) -> dict:
    own_zone_table = RoutingTable.from_configuration(configuration, 'zone-0')
    all_zones_table = RoutingTable.from_configuration(configuration, NO_ZONE)
    return {
        'hosts': hosts,
        'choice_us': _choice_us(all_zones_table),
        'choice_own_zone_us': _choice_us(own_zone_table),
        'update_us': _update_us(all_zones_table, hosts),
        'build_us': _build_us(configuration),
    }


def _build_us(configuration: Configuration) -> float:
    started = time.process_time_ns()
    for _ in range(BUILDS):
        RoutingTable.from_configuration(configuration, NO_ZONE)
    return (time.process_time_ns() - started) / BUILDS / 1000


def _choice_us(table: RoutingTable) -> float:
    draw = random.Random(1).random
    all_draws = [(draw(), draw(), draw()) for _ in range(CHOICES)]
    started = time.process_time_ns()
    for draws in all_draws:
        _routing.choose(table, SERVICE_ID, draws, 0)
    return (time.process_time_ns() - started) / CHOICES / 1000


def _single_choice_us(configuration: Configuration) -> dict:
    """Measures single choices by wall-clock time, which other load also affects."""
    table = RoutingTable.from_configuration(configuration, NO_ZONE)
    draw = random.Random(2).random
    samples = []
    for _ in range(REPEATS * CHOICES):
        draws = (draw(), draw(), draw())
        started = time.perf_counter_ns()
        _routing.choose(table, SERVICE_ID, draws, 0)
        samples.append((time.perf_counter_ns() - started) / 1000)
    percentiles = quantiles(samples, n=1000)
    return {
        'p50': percentiles[499],
        'p99': percentiles[989],
        'p99.9': percentiles[998],
    }


def _update_us(table: RoutingTable, hosts: int) -> float:
    """Measures updates of a table; a start and a finish are one update each."""
    started = time.process_time_ns()
    for number in range(CHOICES):
        host_id = f'host-{number % hosts}'
        _routing.host_started(table, host_id)
        _routing.host_finished(table, host_id)
    return (time.process_time_ns() - started) / CHOICES / 2 / 1000


def _spreads(entry_hosts: int, arrivals_per_report: int) -> dict:
    strategies: dict[str, Strategy] = {
        'two_candidates': _two_candidates,
        'random': _random_host,
        'full_scan': _least_loaded,
    }
    return {
        name: _spread(strategy, entry_hosts, arrivals_per_report)
        for name, strategy in strategies.items()
    }


def _two_candidates(
    table: RoutingTable, generator: random.Random, now_ms: int
) -> str | None:
    draw = generator.random
    outcome = _routing.choose(table, SERVICE_ID, (draw(), draw(), draw()), now_ms)
    return outcome.ok_value.host_id if isinstance(outcome, Ok) else None


def _free_hosts(table: RoutingTable, now_ms: int) -> list[HostLoad]:
    _routing.release_busy_hosts(table, now_ms)
    return [
        load
        for groups in table.routes_by_service[SERVICE_ID].groups_by_zone.values()
        for group in groups.values()
        for load in group.free
    ]


def _random_host(
    table: RoutingTable, generator: random.Random, now_ms: int
) -> str | None:
    free = _free_hosts(table, now_ms)
    return generator.choice(free).choice.host_id if free else None


def _least_loaded(
    table: RoutingTable, generator: random.Random, now_ms: int
) -> str | None:
    free = _free_hosts(table, now_ms)
    if not free:
        return None
    # Ties are broken at random, so that not all entry hosts choose the same host.
    generator.shuffle(free)
    least = min(free, key=lambda load: load.own_running + load.other_running)
    return least.choice.host_id


def _spread(strategy: Strategy, entry_hosts: int, arrivals_per_report: int) -> dict:
    """Simulates how evenly entry hosts spread tasks over the hosts.

    An entry host learns about the tasks of others only from usage reports. Once
    `SPREAD_TASKS` tasks run, one ends before each arrival. A start on a full host
    gets a busy answer, and its task is dropped. The deviation is sampled at every
    100th arrival while `SPREAD_TASKS` tasks run.
    """
    generator = random.Random(7)
    configuration = fleet(SPREAD_HOSTS, 1)
    tables = [
        RoutingTable.from_configuration(configuration, NO_ZONE)
        for _ in range(entry_hosts)
    ]
    running_by_host = dict.fromkeys(configuration.hosts_by_id, 0)
    slots = configuration.hosts_by_id['host-0'].slots
    tasks: list[tuple[RoutingTable, str]] = []
    deviations: list[float] = []
    busy = 0
    for number in range(SPREAD_ARRIVALS):
        if number % arrivals_per_report == 0:
            _report_usage(tables, running_by_host, slots)
        if number % 100 == 99 and len(tasks) == SPREAD_TASKS:
            deviations.append(pstdev(running_by_host.values()))
        if len(tasks) == SPREAD_TASKS:
            _end_random_task(tasks, running_by_host, generator)
        table = generator.choice(tables)
        now_ms = number * ARRIVAL_MS
        host_id = strategy(table, generator, now_ms)
        if host_id is None or running_by_host[host_id] >= slots:
            busy += 1
            if host_id is not None:
                _routing.host_busy(table, host_id, now_ms)
            continue
        _routing.host_started(table, host_id)
        running_by_host[host_id] += 1
        tasks.append((table, host_id))
    return {
        'mean_tasks_per_host': SPREAD_TASKS / SPREAD_HOSTS,
        'deviation_of_tasks': sum(deviations) / len(deviations),
        'busy_answers_per_1000': 1000 * busy / SPREAD_ARRIVALS,
    }


def _report_usage(
    tables: list[RoutingTable], running_by_host: dict[str, int], slots: int
) -> None:
    for table in tables:
        for host_id, running in running_by_host.items():
            report = UsageReport(running=running, slots=slots, draining=False)
            own = _routing.own_running(table, host_id)
            _routing.set_usage(table, host_id, report, own)


def _end_random_task(
    tasks: list[tuple[RoutingTable, str]],
    running_by_host: dict[str, int],
    generator: random.Random,
) -> None:
    index = generator.randrange(len(tasks))
    tasks[index], tasks[-1] = tasks[-1], tasks[index]
    table, host_id = tasks.pop()
    running_by_host[host_id] -= 1
    _routing.host_finished(table, host_id)
