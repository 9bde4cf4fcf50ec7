"""Random loads, faults and platform answers for moves and maintenance of hosts."""

import random
import unittest

from hypothesis import given, settings, strategies

from dandelionknot.jobs._generated import (
    EndReason,
    Host,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    JobConfiguration,
    PoolPolicy,
    Queue,
    Resources,
    StepSpec,
    UpkeepWave,
)
from tests.job_test_bed import FakeBackend, JobTestBed

POOLS = ('a', 'b', 'c')
SPARE = 'spare'
HOSTS_PER_POOL = 5
MAX_DOWN = 3
ROUNDS = 100
AWAY_MS = 1500
SMALL = Resources(cpu_millicores=100, memory_mb=100)
ORDERS_PER_S = 50.0
TICK_MS = 100
OUTCOMES = (
    *[HostOrderOutcome.ACCEPTED] * 6,
    HostOrderOutcome.BUSY,
    HostOrderOutcome.NOT_DONE,
    HostOrderOutcome.NO_ANSWER,
    HostOrderOutcome.UNKNOWN_HOST,
)


class Fleet:
    """Pools of hosts on a platform that carries orders out, refuses or loses them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        names = [f'{pool}{n}' for pool in POOLS for n in range(HOSTS_PER_POOL)]
        self.test_bed = JobTestBed(*(FakeBackend(n, service=n[0]) for n in names))
        self.pools = {name: name[0] for name in names}
        self.pools.update({f's{n}': SPARE for n in range(HOSTS_PER_POOL)})
        # Hosts that are away, with the time of their return.
        self.back_at_ms = {}
        self.in_maintenance = set()
        # Orders whose outcome has not been reported yet, with the time of the report.
        self.pending = []
        self.orders = []
        self.jobs = 0
        self.configure()

    @property
    def now_ms(self):
        return self.test_bed.now_ms

    def configure(self):
        scheduler = self.test_bed.scheduler
        scheduler.set_configuration(
            JobConfiguration(
                version=1,
                queues=[
                    Queue(name=pool, host='h', path_prefix=f'/{pool}/', service=pool)
                    for pool in POOLS
                ],
                pools=[PoolPolicy(name=SPARE, standby=True)],
                client_accounts=self.test_bed.accounts,
            )
        )
        scheduler.capacity.orders_per_s = ORDERS_PER_S
        wave = UpkeepWave(
            number=1, host_ids=[f'm-{n}' for n in self.pools], within_s=20, max_down=3
        )
        scheduler.maintenance.set_wave('1', wave, None, self.now_ms)

    def submit(self):
        """Submits jobs to a random queue, sometimes several at once."""
        pool = self.rng.choice(POOLS)
        for _ in range(self.rng.choice((0, 0, 1, 1, 2, 12))):
            self.jobs += 1
            self.test_bed.queue = Queue(
                name=pool, host='h', path_prefix=f'/{pool}/', service=pool
            )
            long_running = self.rng.random() < 0.05
            resources = Resources(
                cpu_millicores=self.rng.choice((0, 4000, 32_000)),
                memory_mb=self.rng.choice((0, 1000, 60_000)),
            )
            step = StepSpec(
                task_count=self.rng.randint(1, 4),
                resources=SMALL if long_running else resources,
                estimated_ms=self.rng.choice((0, 300, 2000)),
                long_running=long_running,
            )
            self.test_bed.submit(step, job_id=f'j{self.jobs}')

    def list_hosts(self):
        """Returns the platform's list, with a host of no known pool at times."""
        hosts = [
            Host(
                host_id=f'm-{name}',
                pool=pool,
                state=self.state(name),
                backend_id=name if name in self.test_bed.backends else '',
            )
            for name, pool in self.pools.items()
        ]
        if self.rng.random() < 0.1:
            hosts.append(Host(host_id='m-x', pool='nowhere', state='up'))
        return HostsListed(hosts=hosts, sent_ms=self.now_ms)

    def state(self, name):
        if name not in self.back_at_ms:
            return 'up'
        return 'upkeep' if name in self.in_maintenance else 'moving'

    def carry_out(self, order):
        """Ends the tasks of a host, which is up again later."""
        name = order.host_id.removeprefix('m-')
        if name in self.back_at_ms:
            return
        if not order.pool:
            self.in_maintenance.add(name)
        backend = self.test_bed.backends.pop(name, None)
        if backend is not None:
            self.test_bed.scheduler.remove_backend(name)
        if order.pool:
            self.pools[name] = order.pool
        self.back_at_ms[name] = self.now_ms + AWAY_MS

    def return_hosts(self):
        for name in [n for n, at in self.back_at_ms.items() if at <= self.now_ms]:
            del self.back_at_ms[name]
            self.in_maintenance.discard(name)
            if self.pools[name] != SPARE:
                backend = FakeBackend(name, service=self.pools[name])
                backend.born_ms = self.now_ms
                self.test_bed.backends[name] = backend
                report = backend.report()
                self.test_bed.scheduler.set_backend(report, self.now_ms)

    def handle(self, order):
        """Decides what becomes of an order, and when the scheduler learns of it."""
        outcome = self.rng.choice(OUTCOMES)
        if order.host_id.removeprefix('m-') in self.back_at_ms:
            outcome = HostOrderOutcome.BUSY
        if outcome is HostOrderOutcome.ACCEPTED or (
            outcome is HostOrderOutcome.NO_ANSWER and self.rng.random() < 0.5
        ):
            self.carry_out(order)
        self.pending.append(
            (self.now_ms + self.rng.choice((0, 200, 900)), order, outcome)
        )

    def report_outcomes(self):
        due = [entry for entry in self.pending if entry[0] <= self.now_ms]
        self.pending = [entry for entry in self.pending if entry[0] > self.now_ms]
        for _, order, outcome in due:
            self.test_bed.scheduler.host_order_finished(order, outcome, self.now_ms)

    def end_tasks(self):
        for backend in self.test_bed.backends.values():
            for name in list(backend.runs_by_name):
                if self.rng.random() < 0.3:
                    backend.end(name, EndReason.DONE)

    def round(self):
        """Runs one planning round; returns the orders about hosts."""
        self.submit()
        self.return_hosts()
        self.report_outcomes()
        if self.rng.random() < 0.4:
            self.test_bed.scheduler.maintenance.hosts_listed(self.list_hosts())
        self.end_tasks()
        if self.rng.random() < 0.02:
            self.new_leader()
        commands = self.test_bed.step(TICK_MS)
        return [command for command in commands if isinstance(command, HostOrder)]

    def new_leader(self):
        """Replaces the leader; orders of the former one are not reported any more."""
        former = self.test_bed.scheduler.ordered_at_ms_by_host_id
        pending = self.test_bed.scheduler.maintenance.pending_host_ids()
        record = self.test_bed.scheduler.maintenance.waves_by_name['1'].record()
        homes = self.test_bed.scheduler.capacity.homes_by_host_id
        self.pending.clear()
        self.test_bed.new_leader()
        self.configure()
        maintenance = self.test_bed.scheduler.maintenance
        wave = maintenance.waves_by_name.pop('1').wave
        maintenance.set_wave('1', wave, record, self.now_ms)
        maintenance.not_before_ms = self.now_ms + 3000
        maintenance.handed_over_host_ids = frozenset(former)
        maintenance.handed_over_maintenance = frozenset(pending)
        self.test_bed.scheduler.capacity.homes_by_host_id = dict(homes)


class CapacityFuzzTest(unittest.TestCase):
    @settings(max_examples=12, deadline=None)
    @given(seed=strategies.integers(0, 2**32))
    def test_orders_about_hosts_keep_the_rules(self, seed):
        """Guards against orders that end tasks, exceed a wave or come twice."""
        fleet = Fleet(seed)
        for _ in range(ROUNDS):
            ordered = set()
            for order in fleet.round():
                self.assertNotIn(order.host_id, ordered, 'two orders in one round')
                ordered.add(order.host_id)
                name = order.host_id.removeprefix('m-')
                backend = fleet.test_bed.backends.get(name)
                if backend is not None and order.pool:
                    self.assertFalse(backend.runs_by_name, 'a move ends tasks')
                self.assertIn(name, fleet.pools)
                fleet.handle(order)
                self.assertLessEqual(len(fleet.in_maintenance), MAX_DOWN)
            most = ORDERS_PER_S * TICK_MS / 1000 * 2 + MAX_DOWN
            self.assertLessEqual(len(ordered), most)

    @settings(max_examples=4, deadline=None)
    @given(seed=strategies.integers(0, 2**32))
    def test_work_ends_when_the_load_ends(self, seed):
        """Guards against hosts that stay reserved, and jobs that wait for ever."""
        fleet = Fleet(seed)
        for _ in range(ROUNDS):
            for order in fleet.round():
                fleet.handle(order)
        fleet.submit = lambda: None
        for _ in range(3 * ROUNDS):
            for order in fleet.round():
                fleet.handle(order)
        scheduler = fleet.test_bed.scheduler
        waiting = [
            job_id
            for job_id, state in scheduler.open_jobs_by_id.items()
            if not any(step.long_running for step in state.job.spec.steps)
        ]
        self.assertEqual(waiting, [])


if __name__ == '__main__':
    unittest.main()
