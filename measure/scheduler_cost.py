"""Measures the processor time of the job scheduler's decisions at several sizes.

Run `python -m measure.scheduler_cost`. For each row, all backend servers are filled
with running tasks. Then a planning round, such a round with the division of the hosts
among the pools, the handling of one report of a backend server, of one whose readings
are observed for interference, and the encoding of one job record are timed.
"""

import time
from dataclasses import dataclass

import msgspec

from dandelionknot.jobs._generated import (
    BackendReport,
    ClientAccount,
    HoldReport,
    Host,
    HostsListed,
    Job,
    JobConfiguration,
    JobSpec,
    OrderOutcome,
    Queue,
    Resources,
    RunningTask,
    StartTask,
    StepSpec,
)
from dandelionknot.jobs._neighbours import WINDOW_MS
from dandelionknot.jobs._records import record_of
from dandelionknot.jobs._scheduler import Scheduler
from dandelionknot.jobs._state import BackendState

ROUNDS = 20
STANDBY_POOL = 'standby'
TASKS_PER_BACKEND = 8
NOW_MS = 1_000_000
# Largest value of the store.
VALUE_BYTES = 1_048_576
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(slots=True, frozen=True)
class Size:
    """Numbers of backend servers, pools, client accounts and waiting jobs."""

    backends: int
    pools: int
    accounts: int
    waiting_jobs: int


SIZES = (
    Size(48, 4, 6, 0),
    Size(48, 4, 6, 100),
    Size(180, 4, 20, 100),
    Size(330, 142, 16, 100),
    Size(660, 284, 33, 0),
    Size(660, 284, 33, 100),
    Size(660, 284, 33, 400),
)


def filled_scheduler(size: Size) -> Scheduler:
    """Returns a scheduler with full backend servers and with waiting jobs."""
    scheduler = Scheduler(hold_max_ms=6000)
    scheduler.set_configuration(
        JobConfiguration(
            version=1,
            queues=[
                Queue(name=f'q{i}', host='h', path_prefix=f'/{i}/', service=f's{i}')
                for i in range(size.pools)
            ],
            client_accounts=[
                ClientAccount(name=f'a{i}', keys=[]) for i in range(size.accounts)
            ],
        )
    )
    room = Resources(cpu_millicores=1000 * TASKS_PER_BACKEND, memory_mb=64_000)
    for i in range(size.backends):
        report = BackendReport(
            backend_id=f'b{i}',
            born_ms=1,
            service=f's{i % size.pools}',
            address='10.0.0.1:1',
            availability_zone='a',
            draining=False,
            room=room,
        )
        scheduler.set_backend(report, NOW_MS)
        empty = HoldReport(clock_ms=1, born_ms=1, running=[], ended=[])
        backend = scheduler.backends_by_id[f'b{i}']
        scheduler.hold_answered(backend, empty, NOW_MS, NOW_MS, NOW_MS)
    for i in range(size.backends):
        _submit(scheduler, size, f'r{i}', i, TASKS_PER_BACKEND)
    scheduler.plan(NOW_MS, NOW_MS)
    for command in scheduler.confirm(scheduler.take_batch(100_000, NOW_MS)):
        if isinstance(command, StartTask):
            backend = scheduler.backends_by_id[command.backend_id]
            order = command.order
            scheduler.start_finished(
                backend, order.task_name, order.run, OrderOutcome.ACCEPTED, NOW_MS
            )
    for i in range(size.waiting_jobs):
        _submit(scheduler, size, f'w{i}', i, TASKS_PER_BACKEND)
    hosts = [
        Host(host_id=f'm{i}', pool=f's{i % size.pools}', state='up', backend_id=f'b{i}')
        for i in range(size.backends)
    ]
    scheduler.maintenance.hosts_listed(HostsListed(hosts=hosts, sent_ms=NOW_MS))
    return scheduler


def plan_with_division(scheduler: Scheduler) -> None:
    """Runs a planning round that also divides the hosts, as every 200 ms."""
    scheduler.capacity.standby_pools = frozenset({STANDBY_POOL})
    scheduler.capacity.planned_ms = 0
    scheduler.plan(NOW_MS, NOW_MS)


def _submit(
    scheduler: Scheduler, size: Size, job_id: str, index: int, tasks: int
) -> None:
    step = StepSpec(
        task_count=tasks,
        resources=Resources(cpu_millicores=1000, memory_mb=100),
        estimated_ms=600,
    )
    job = Job(
        job_id=job_id,
        queue=f'q{index % size.pools}',
        service=f's{index % size.pools}',
        client_account=f'a{index % size.accounts}',
        accepted_unix_ms=NOW_MS,
        spec=JobSpec(payload='x' * 400, steps=[step]),
    )
    scheduler.add_job(job, None, NOW_MS, NOW_MS)


def timed_us(action, rounds: int = ROUNDS) -> float:
    """Returns the mean processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(rounds):
        action()
    return (time.process_time() - started) / rounds * MICROSECONDS_PER_SECOND


def measure(size: Size) -> list[float]:
    """Returns the times in microseconds, in the order of the table's columns."""
    scheduler = filled_scheduler(size)
    backend = scheduler.backends_by_id['b0']
    report = HoldReport(
        clock_ms=1,
        born_ms=1,
        running=[
            RunningTask(task_name=task.name, run=task.run, percent=50)
            for task in backend.tasks_by_name.values()
        ],
        ended=[],
    )
    state = scheduler.jobs_by_id['r0']
    times = [
        timed_us(lambda: scheduler.plan(NOW_MS, NOW_MS)),
        timed_us(lambda: plan_with_division(scheduler)),
        timed_us(
            lambda: scheduler.hold_answered(backend, report, NOW_MS, NOW_MS, NOW_MS),
            ROUNDS * 50,
        ),
        timed_us(
            lambda: msgspec.json.encode(record_of(state, VALUE_BYTES)), ROUNDS * 50
        ),
    ]
    return [*times, observed_report_us(scheduler, backend, report)]


def observed_report_us(
    scheduler: Scheduler, backend: BackendState, report: HoldReport
) -> float:
    """Returns the time for a report whose readings are observed for interference.

    All tasks of the backend server serve requests and are of one image.
    """
    for task in backend.tasks_by_name.values():
        task.step.spec = msgspec.structs.replace(
            task.step.spec, image='shop', latency_objective_ms=100, long_running=True
        )
    rows = [msgspec.structs.replace(row, reading=40.0) for row in report.running]
    report = msgspec.structs.replace(report, running=rows)
    now_ms = NOW_MS

    def handle() -> None:
        nonlocal now_ms
        now_ms += WINDOW_MS
        scheduler.hold_answered(backend, report, now_ms, now_ms, now_ms)

    return timed_us(handle, ROUNDS * 50)


def main() -> None:
    """Prints the measurements as a Markdown table."""
    print(
        '| hosts / pools / teams / waiting | plan, us | with division, us '
        '| report, us | record, us | observed report, us |'
    )
    print('| --- | ---: | ---: | ---: | ---: | ---: |')
    for size in SIZES:
        name = f'{size.backends} / {size.pools} / {size.accounts} / {size.waiting_jobs}'
        cells = ' | '.join(f'{value:.0f}' for value in measure(size))
        print(f'| {name} | {cells} |')


if __name__ == '__main__':
    main()
