"""Simulates which tasks end in time while an availability zone exits and returns.

A simulation in memory steps through a zone exit with fixed seeds. Entry hosts of
three zones place tasks with `_routing`, and every policy gets the same tasks. The
model of the hosts is an assumption: each task has its own run time, and on a host
that has just returned, tasks slow each other down until the warm-up has ended.
"""

import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace

from result import Err

from dandelionknot.configuration import Configuration, ZoneState
from dandelionknot.decisions import _budgets, _routing
from dandelionknot.decisions._budgets import FleetHealth, UnavailableReason
from dandelionknot.decisions._routing import RoutingTable
from dandelionknot.decisions._zones import ZoneRamp, observe_zones
from dandelionknot.messages import ErrorCode, UsageReport
from measure.fleets import fleet

SEEDS = (11, 12, 13, 14, 15)
ZONES = 3
HOSTS = 24
SLOTS_PER_HOST = 8
SERVICE_ID = 'service-0'
STEP_MS = 100
END_MS = 300_000

# Operators take the zone out, its hosts stop later, and zone and hosts return together.
EXIT_MS = 60_000
HOSTS_STOP_MS = 80_000
RETURN_MS = 180_000
# Each entry host adopts a configuration this much later than the one before it.
ADOPTION_STEP_MS = 1_000

MEAN_TASK_MS = 2_000
MAX_TASK_MS = 6_000
DEADLINE_MS = 8_000
USAGE_INTERVAL_MS = 1_000
# Delay of a task for each connection attempt to a host that is down.
CONNECT_TIMEOUT_MS = 1_000

# On a host that has just returned, a task takes up to this many times as long. The
# slowdown is proportional to the fraction of slots in use and ends with the warm-up.
COLD_SLOWDOWN = 5
WARM_UP_MS = 20_000

# Mean slot time needed, as a fraction of all slots.
LOADS = (0.45, 0.6, 0.75)


@dataclass(slots=True)
class Task:
    """A task with its arrival and, once it is placed, its host, entry host and end."""

    arrived_ms: int
    run_ms: int
    host_id: str = ''
    # Index of the entry host where the task arrived.
    entry: int = 0
    ends_ms: int = 0


@dataclass(slots=True, kw_only=True)
class Policy:
    """How entry hosts react to a zone exit.

    With `follows_exit` they adopt the changed configuration, otherwise they send tasks
    to the zone until its hosts fail. With `ramps`, they raise the load of a zone that
    has returned step by step.
    """

    follows_exit: bool
    ramps: bool


@dataclass(slots=True, kw_only=True)
class EntryHost:
    """One entry host: its routing table, its ramp of returned zones and its queue."""

    zone_id: str
    table: RoutingTable
    ramp: ZoneRamp
    queue: deque[Task] = field(default_factory=deque)


@dataclass(slots=True, kw_only=True)
class Simulation:
    """State of one simulation."""

    policy: Policy
    arrival_rng: random.Random
    choice_rng: random.Random
    configuration: Configuration
    entries: list[EntryHost]
    running: list[Task]
    count_by_host: dict[str, int]
    outcomes: Counter
    now_ms: int = 0


POLICIES = {
    'replan_with_ramp': Policy(follows_exit=True, ramps=True),
    'replan_without_ramp': Policy(follows_exit=True, ramps=False),
    'send_until_hosts_fail': Policy(follows_exit=False, ramps=False),
}


def run() -> dict:
    """Returns counts of tasks by outcome and phase, for each load and policy.

    `in_time` tasks end before their deadline, `late` ones after it,
    `interrupted` ones were running on a host that stopped, and `refused` ones
    found no host before their deadline. `started_in_zone_out` counts starts in the
    zone after the time by which every entry host has adopted its exit. The counts
    are sums over all seeds. The phase is that in which the task arrived.
    """
    report = _budgets.may_take_zone_out(_configuration(), FleetHealth(), 'zone-0')
    return {
        'shortfalls_reported': [
            shortfall.service_id for shortfall in report.unwrap().shortfalls
        ],
        'by_load': {
            str(load): {
                name: _run_seeds(policy, load) for name, policy in POLICIES.items()
            }
            for load in LOADS
        },
    }


def _configuration() -> Configuration:
    return fleet(HOSTS, 1, ZONES)


def _with_zone_out(configuration: Configuration) -> Configuration:
    zones = configuration.availability_zones_by_id
    out = replace(zones['zone-0'], state=ZoneState.OUT_OF_SERVICE)
    return replace(configuration, availability_zones_by_id={**zones, 'zone-0': out})


def _run_seeds(policy: Policy, load: float) -> dict:
    outcomes: Counter = Counter()
    for seed in SEEDS:
        outcomes += _run_policy(policy, load, seed)
    summary: dict[str, dict[str, int]] = {}
    for (phase, outcome), count in sorted(outcomes.items()):
        summary.setdefault(phase, {})[outcome] = count
    return summary


def _run_policy(policy: Policy, load: float, seed: int) -> Counter:
    """Runs one simulation; tasks that run or wait at its end are not counted."""
    configuration = _configuration()
    simulation = Simulation(
        policy=policy,
        arrival_rng=random.Random(seed),
        choice_rng=random.Random(seed + 1000),
        configuration=configuration,
        entries=[_new_entry_host(configuration, number) for number in range(ZONES)],
        running=[],
        count_by_host=dict.fromkeys(configuration.hosts_by_id, 0),
        outcomes=Counter(),
    )
    slots = sum(host.slots for host in configuration.hosts_by_id.values())
    arrivals_per_step = load * slots * STEP_MS / MEAN_TASK_MS
    for now_ms in range(0, END_MS, STEP_MS):
        simulation.now_ms = now_ms
        _change_zone(simulation)
        _finish_tasks(simulation)
        if now_ms % USAGE_INTERVAL_MS == 0:
            _report_usage(simulation)
        _add_arrivals(simulation, arrivals_per_step)
        for number in range(ZONES):
            _place_queue(simulation, number)
    return simulation.outcomes


def _new_entry_host(configuration: Configuration, number: int) -> EntryHost:
    zone_id = f'zone-{number}'
    ramp = ZoneRamp()
    table = RoutingTable.from_configuration(configuration, zone_id, zone_ramp=ramp)
    return EntryHost(zone_id=zone_id, table=table, ramp=ramp)


def _host_is_up(simulation: Simulation, host_id: str) -> bool:
    zone_id = simulation.configuration.hosts_by_id[host_id].availability_zone
    return zone_id != 'zone-0' or not HOSTS_STOP_MS <= simulation.now_ms < RETURN_MS


def _zone_is_out(simulation: Simulation, host_id: str) -> bool:
    zone_id = simulation.configuration.hosts_by_id[host_id].availability_zone
    adopted_ms = EXIT_MS + ZONES * ADOPTION_STEP_MS
    return zone_id == 'zone-0' and adopted_ms < simulation.now_ms < RETURN_MS


def _change_zone(simulation: Simulation) -> None:
    """Applies the zone's exit and return to the entry hosts, one after the other.

    A policy that does not follow the exit only lifts the exclusion of failed hosts
    after the return.
    """
    for number, entry in enumerate(simulation.entries):
        delay_ms = (number + 1) * ADOPTION_STEP_MS
        if simulation.policy.follows_exit and simulation.now_ms == EXIT_MS + delay_ms:
            _adopt_configuration(
                simulation, entry, _with_zone_out(simulation.configuration)
            )
        if simulation.policy.follows_exit and simulation.now_ms == RETURN_MS + delay_ms:
            _adopt_configuration(simulation, entry, simulation.configuration)
        if (
            not simulation.policy.follows_exit
            and simulation.now_ms == RETURN_MS + delay_ms
        ):
            _set_failed(
                simulation, entry, list(simulation.configuration.hosts_by_id), False
            )
    if simulation.now_ms == HOSTS_STOP_MS:
        _stop_hosts(simulation)


def _adopt_configuration(
    simulation: Simulation, entry: EntryHost, configuration: Configuration
) -> None:
    if simulation.policy.ramps:
        observe_zones(entry.ramp, configuration, simulation.now_ms)
    entry.table = RoutingTable.from_configuration(
        configuration, entry.zone_id, entry.table, entry.ramp
    )


def _set_failed(
    simulation: Simulation, entry: EntryHost, host_ids: list[str], failed: bool
) -> None:
    for host_id in host_ids:
        _routing.set_excluded(entry.table, host_id, UnavailableReason.FAILED, failed)


def _stop_hosts(simulation: Simulation) -> None:
    for task in simulation.running:
        if not _host_is_up(simulation, task.host_id):
            _end(simulation, task, 'interrupted')
    simulation.running = [
        task for task in simulation.running if _host_is_up(simulation, task.host_id)
    ]


def _finish_tasks(simulation: Simulation) -> None:
    ended = [task for task in simulation.running if task.ends_ms <= simulation.now_ms]
    simulation.running = [
        task for task in simulation.running if task.ends_ms > simulation.now_ms
    ]
    for task in ended:
        in_time = task.ends_ms - task.arrived_ms <= DEADLINE_MS
        _end(simulation, task, 'in_time' if in_time else 'late')


def _end(simulation: Simulation, task: Task, outcome: str) -> None:
    simulation.count_by_host[task.host_id] -= 1
    _routing.host_finished(simulation.entries[task.entry].table, task.host_id)
    _count(simulation, task, outcome)


def _count(simulation: Simulation, task: Task, outcome: str) -> None:
    phase = 'before'
    if task.arrived_ms >= EXIT_MS - MAX_TASK_MS:
        phase = 'out'
    if task.arrived_ms >= RETURN_MS:
        phase = 'returned'
    simulation.outcomes[phase, outcome] += 1


def _report_usage(simulation: Simulation) -> None:
    for entry in simulation.entries:
        for host_id, running in simulation.count_by_host.items():
            if _host_is_up(simulation, host_id):
                report = UsageReport(
                    running=running, slots=SLOTS_PER_HOST, draining=False
                )
                own = _routing.own_running(entry.table, host_id)
                _routing.set_usage(entry.table, host_id, report, own)


def _add_arrivals(simulation: Simulation, arrivals_per_step: float) -> None:
    count = int(arrivals_per_step + simulation.arrival_rng.random())
    for _ in range(count):
        run_ms = int(simulation.arrival_rng.expovariate(1 / MEAN_TASK_MS))
        task = Task(simulation.now_ms, min(MAX_TASK_MS, max(STEP_MS, run_ms)))
        task.entry = simulation.arrival_rng.randrange(ZONES)
        simulation.entries[task.entry].queue.append(task)


def _place_queue(simulation: Simulation, number: int) -> None:
    entry = simulation.entries[number]
    waiting: deque[Task] = deque()
    while entry.queue:
        task = entry.queue.popleft()
        if simulation.now_ms - task.arrived_ms > DEADLINE_MS:
            _count(simulation, task, 'refused')
        elif not _place(simulation, entry, task):
            waiting.append(task)
            break
    waiting.extend(entry.queue)
    entry.queue = waiting


def _place(simulation: Simulation, entry: EntryHost, task: Task) -> bool:
    """Places a task on a host; returns False if no host is available.

    Each host that is down delays the task by one connect timeout.
    """
    draw = simulation.choice_rng.random
    excluded: set[str] = set()
    delay_ms = 0
    while True:
        numbers = (draw(), draw(), draw())
        outcome = _routing.choose(
            entry.table, SERVICE_ID, numbers, simulation.now_ms, excluded
        )
        if isinstance(outcome, Err):
            assert outcome.err_value.code is ErrorCode.NO_HOST_AVAILABLE
            return False
        host_id = outcome.ok_value.host_id
        if not _host_is_up(simulation, host_id):
            _set_failed(simulation, entry, [host_id], True)
            delay_ms += CONNECT_TIMEOUT_MS
        elif simulation.count_by_host[host_id] >= SLOTS_PER_HOST:
            _routing.host_busy(entry.table, host_id, simulation.now_ms)
        else:
            break
        excluded.add(host_id)
    task.host_id = host_id
    task.ends_ms = (
        simulation.now_ms + delay_ms + int(task.run_ms * _slowdown(simulation, host_id))
    )
    simulation.count_by_host[host_id] += 1
    _routing.host_started(entry.table, host_id)
    simulation.running.append(task)
    if _zone_is_out(simulation, host_id):
        simulation.outcomes['out', 'started_in_zone_out'] += 1
    return True


def _slowdown(simulation: Simulation, host_id: str) -> float:
    zone_id = simulation.configuration.hosts_by_id[host_id].availability_zone
    warm_ms = simulation.now_ms - RETURN_MS
    if zone_id != 'zone-0' or not 0 <= warm_ms < WARM_UP_MS:
        return 1.0
    cold = 1 - warm_ms / WARM_UP_MS
    return (
        1
        + (COLD_SLOWDOWN - 1)
        * cold
        * simulation.count_by_host[host_id]
        / SLOTS_PER_HOST
    )
