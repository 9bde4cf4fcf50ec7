"""Test case with pools of hosts, a standby pool, and moves that are carried out."""

import unittest

from dandelionknot.jobs._generated import (
    Host,
    HostOrderOutcome,
    HostsListed,
    JobConfiguration,
    PoolPolicy,
    Resources,
    StepSpec,
)
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

HALF = Resources(cpu_millicores=16000, memory_mb=1000)
SPARE = 'spare'
OTHER = 'calm'


class CapacityTestCase(unittest.TestCase):
    """Two hosts in a pool with a queue, and two in a standby pool."""

    def setUp(self):
        """Creates the pools."""
        self.test_bed = JobTestBed(FakeBackend('b0'), FakeBackend('b1'))
        self.configure()
        self.pools = {'b0': SERVICE, 'b1': SERVICE, 's0': SPARE, 's1': SPARE}
        # Hosts whose move the platform refuses.
        self.busy: set[str] = set()
        # Whether orders are carried out without an answer.
        self.lose_answers = False

    def configure(self):
        """Applies a configuration with the queue and a standby pool."""
        self.test_bed.scheduler.set_configuration(
            JobConfiguration(
                version=1,
                queues=[self.test_bed.queue],
                pools=[PoolPolicy(name=SPARE, standby=True)],
                client_accounts=self.test_bed.accounts,
            )
        )

    def run_rounds(self, rounds, advance_ms=100):
        """Runs planning rounds, carries out moves and returns them as (host, pool)."""
        ordered = []
        for _ in range(rounds):
            test_bed = self.test_bed
            test_bed.scheduler.maintenance.hosts_listed(
                HostsListed(hosts=self.hosts(), sent_ms=test_bed.now_ms + 1)
            )
            for command in test_bed.step(advance_ms):
                if hasattr(command, 'pool') and command.pool:
                    ordered.append((command.host_id, command.pool))
                    self.execute(command)
        return ordered

    def hosts(self):
        """Returns the platform's list of hosts."""
        return [
            Host(
                host_id=f'm-{name}',
                pool=pool,
                state='up',
                backend_id='' if pool == SPARE else name,
            )
            for name, pool in self.pools.items()
        ]

    def execute(self, order):
        """Moves a host at once, unless it is one whose move is refused."""
        name = order.host_id.removeprefix('m-')
        scheduler = self.test_bed.scheduler
        if name in self.busy:
            outcome, now_ms = HostOrderOutcome.BUSY, self.test_bed.now_ms
            scheduler.capacity.order_finished(order, outcome, now_ms)
            return
        if name in self.test_bed.backends:
            scheduler.remove_backend(name)
            self.test_bed.backends.pop(name)
        if order.pool != SPARE:
            backend = FakeBackend(name, service=order.pool)
            self.test_bed.backends[name] = backend
            scheduler.set_backend(backend.report(), self.test_bed.now_ms)
        self.pools[name] = order.pool
        outcome = HostOrderOutcome.ACCEPTED
        if self.lose_answers:
            outcome = HostOrderOutcome.NO_ANSWER
        scheduler.capacity.order_finished(order, outcome, self.test_bed.now_ms)

    def burst(self, count):
        """Submits jobs of one long task that takes half a host."""
        for number in range(count):
            self.test_bed.submit(
                StepSpec(task_count=1, resources=HALF, estimated_ms=60_000),
                job_id=f'j{number}',
            )

    def add_other_pool(self, hosts):
        """Adds a pool whose queue has no jobs."""
        for number in range(hosts):
            backend = FakeBackend(f'o{number}', service=OTHER)
            self.test_bed.backends[backend.backend_id] = backend
            self.pools[backend.backend_id] = OTHER
            report = backend.report()
            self.test_bed.scheduler.set_backend(report, self.test_bed.now_ms)
