"""Loads for which hosts are divided among pools: turns, bursts, and too few hosts."""

import itertools
import unittest

from hypothesis import given, strategies

from dandelionknot.jobs._allocation import PoolNeed, divide
from dandelionknot.jobs._arrivals import Arrival, Arrivals
from dandelionknot.jobs._generated import (
    EndReason,
    JobConfiguration,
    PoolPolicy,
    Queue,
    Resources,
    StepSpec,
)
from tests.capacity_test_bed import OTHER, SPARE, CapacityTestCase
from tests.job_test_bed import SERVICE

COUNTS = strategies.integers(0, 400)
NEEDS = strategies.dictionaries(
    strategies.sampled_from('abcdef'),
    strategies.builds(
        PoolNeed,
        in_time=COUNTS,
        predicted=COUNTS,
        late=COUNTS,
        minimum=strategies.integers(0, 3),
    ),
)
WHOLE_HOST = Resources(cpu_millicores=32000, memory_mb=1000)


class DivideTest(unittest.TestCase):
    def test_the_pool_that_asks_first_does_not_take_all(self):
        """Guards against a pool that keeps all hosts while another one has none.

        On a small twin of a large deployment, the first pool took all standby hosts in
        its turn and kept them for jobs that were late already; 1 of 74 jobs of the next
        pool ended in time.
        """
        granted = divide(
            100,
            {
                'first': PoolNeed(in_time=20, late=90, minimum=2),
                'next': PoolNeed(in_time=129, minimum=2),
            },
        )
        self.assertGreater(granted['next'], 80)
        self.assertGreater(granted['first'], 10)

    def test_late_jobs_get_what_is_left(self):
        """Guards against hosts that stay off while late jobs could still be of use."""
        granted = divide(
            10, {'a': PoolNeed(in_time=6, late=9), 'b': PoolNeed(in_time=1, late=1)}
        )
        self.assertEqual(sum(granted.values()), 10)
        self.assertGreaterEqual(granted['a'], 8)

    def test_a_small_pool_keeps_its_minimum(self):
        """Guards against a pool without hosts beside one with a very large need."""
        granted = divide(
            6,
            {
                'a': PoolNeed(in_time=900, minimum=2),
                'b': PoolNeed(in_time=1, late=1, minimum=2),
            },
        )
        self.assertEqual(granted, {'a': 4, 'b': 2})

    @given(total=strategies.integers(-5, 500), needs=NEEDS)
    def test_no_host_is_granted_twice_or_without_need(self, total, needs):
        """Guards against a division that orders more hosts than there are."""
        granted = divide(total, needs)
        self.assertLessEqual(sum(granted.values()), max(0, total))
        wanted = sum(need.all() for need in needs.values())
        self.assertEqual(sum(granted.values()), min(max(0, total), wanted))
        for pool, need in needs.items():
            self.assertLessEqual(granted[pool], need.all())
        lacking = any(granted[p] < needs[p].in_time for p in needs)
        for pool, need in needs.items():
            floor = max(need.in_time, min(need.minimum, need.all()))
            if lacking:
                self.assertLessEqual(granted[pool], floor)


SMALL_COUNTS = strategies.integers(0, 3)
SMALL_NEEDS = strategies.builds(
    PoolNeed,
    in_time=SMALL_COUNTS,
    predicted=SMALL_COUNTS,
    late=SMALL_COUNTS,
    minimum=strategies.integers(0, 2),
)


def steps_of(need):
    """Returns the hosts up to which each level of a need reaches."""
    in_time = max(need.in_time, min(need.minimum, need.all()))
    predicted = max(in_time, need.in_time + need.predicted)
    return min(need.minimum, need.all()), in_time, predicted, need.all()


def met_by_level(needs, granted):
    """Returns how many hosts meet each level of the needs, in order of the levels.

    Ends with the first level that is not met whole. Which pools get its hosts is a
    matter of equal shares, not of the levels after it.
    """
    met = []
    for level in range(4):
        steps = [steps_of(need)[level] for need in needs]
        met.append(sum(map(min, granted, steps)))
        if met[-1] < sum(steps):
            break
    return tuple(met)


class OptimumTest(unittest.TestCase):
    @given(total=strategies.integers(0, 8), needs=strategies.tuples(*[SMALL_NEEDS] * 3))
    def test_no_other_division_serves_a_level_better(self, total, needs):
        """Guards against a division that serves late jobs before those in time.

        The yardstick is the best of all divisions, tried one by one.
        """
        pools = 'abc'
        granted = divide(total, dict(zip(pools, needs, strict=True)))
        met = met_by_level(needs, [granted[pool] for pool in pools])
        best = max(
            met_by_level(needs, counts)
            for counts in itertools.product(range(total + 1), repeat=len(pools))
            if sum(counts) <= total
        )
        self.assertEqual(met, best)


class ArrivalTest(unittest.TestCase):
    def millicores(self, times_ms, work=1000.0 * 1000, limits=None):
        """Returns the estimate at 10 s for jobs that were accepted at given times."""
        arrivals = Arrivals()
        for time_ms in times_ms:
            arrivals.record('pool', Arrival(time_ms, 'sofia', work))
        return arrivals.millicores('pool', limits or {}, 10_000)

    def test_a_turn_is_seen_within_half_a_second(self):
        """Guards against hosts that follow the queue of a turn instead of its rate.

        A queue that sends five times its mean needs 50 cores here. After 400 ms, its
        20 jobs alone keep 20 cores in use.
        """
        expected = self.millicores(range(9_601, 10_001, 20))
        self.assertGreater(expected, 40_000)
        self.assertLess(expected, 60_000)

    def test_jobs_that_come_together_once_are_no_rate(self):
        """Guards against hosts for further jobs of a burst that is over."""
        self.assertEqual(self.millicores([9_990] * 40), 0)

    def test_the_estimate_ends_with_the_turn(self):
        """Guards against hosts that a pool keeps when its turn is over."""
        self.assertEqual(self.millicores(range(7_000, 9_000, 20)), 0)

    def test_an_account_counts_up_to_its_limit(self):
        """Guards against hosts for jobs that the limit does not allow to run."""
        times = range(8_000, 10_001, 10)
        self.assertEqual(self.millicores(times, limits={'sofia': 7000}), 7000)


class TurnTest(CapacityTestCase):
    """Pools whose queues have their turns one after the other."""

    def add_standby(self, count):
        for number in range(count):
            self.pools[f'z{number}'] = SPARE

    def test_the_start_of_a_turn_uses_the_orders_that_the_platform_accepts(self):
        """Guards against a turn that is over before its hosts have arrived.

        A pool of 52 hosts wanted 132 to 166 and got 67 in four seconds, four at a time,
        although the platform accepts some hundred orders per second.
        """
        self.add_standby(60)
        self.test_bed.scheduler.capacity.orders_per_s = 310.0
        self.run_rounds(2)
        self.burst(100)
        self.assertGreaterEqual(len(self.run_rounds(4)), 40)

    def test_hosts_are_on_when_traffic_begins(self):
        """Guards against a first turn that finds the hosts of its pool off.

        In the 16 s before traffic began, 35 of the 48 hosts of the first pool were
        moved to the standby pool.
        """
        self.add_other_pool(8)
        self.assertEqual(self.run_rounds(160), [])
        self.burst(20)
        moved = self.run_rounds(10)
        self.assertEqual({target for _, target in moved}, {SERVICE})

    def test_late_jobs_do_not_keep_the_hosts_of_the_next_turn(self):
        """Guards against a backlog that holds all hosts when the next turn begins."""
        queues = [
            self.test_bed.queue,
            Queue(name=OTHER, host='h', path_prefix='/c/', service=OTHER),
        ]
        self.test_bed.scheduler.set_configuration(
            JobConfiguration(
                version=2,
                queues=queues,
                pools=[PoolPolicy(name=SPARE, standby=True)],
                client_accounts=self.test_bed.accounts,
            )
        )
        self.add_standby(20)
        self.add_other_pool(2)
        self.run_rounds(3)
        self.submit_jobs(600, 'late')
        for _ in range(25):
            self.run_rounds(1)
            self.end_runs(500)
        self.test_bed.queue = queues[1]
        self.submit_jobs(20, 'next')
        before = self.other_hosts()
        for _ in range(20):
            self.run_rounds(1)
            self.end_runs(500)
        self.assertGreater(self.other_hosts(), before + 5)

    def test_hosts_arrive_before_a_turn_that_recurs(self):
        """Guards against turns that begin with waiting jobs, round after round.

        A turn lasts 4.5 s, and hosts that are ordered when it begins take two of them.
        """
        self.add_standby(30)
        self.run_rounds(2)
        sizes = {}
        for tick in range(420):
            turn_ms = tick * 100 % 18_000
            if turn_ms < 4500:
                self.submit_jobs(2, f'{tick}-')
            self.run_rounds(1)
            self.end_runs(500)
            sizes[tick] = list(self.pools.values()).count(SERVICE)
        first_turn, third_turn = 0, 360
        self.assertLess(sizes[first_turn], 8)
        self.assertGreaterEqual(sizes[third_turn], 8)
        self.assertLess(sizes[third_turn - 30], 8)

    def test_a_new_leader_knows_the_turns(self):
        """Guards against turns that are not predicted after a change of leader."""
        self.run_turns(400)
        capacity = self.test_bed.new_leader().capacity
        self.assertEqual(capacity.turns.period_ms(), 0)
        capacity.replay_arrivals({}, self.test_bed.now_ms)
        self.assertAlmostEqual(capacity.turns.period_ms(), 18_000, delta=600)

    def test_regular_turns_need_a_smaller_reserve(self):
        """Guards against hosts that stay on all day for a surge that is predicted."""
        self.add_standby(20)
        self.add_other_pool(8)
        self.run_turns(150)
        self.assertEqual(self.other_hosts(), 4)
        self.run_turns(250)
        self.assertEqual(self.other_hosts(), 2)

    def run_turns(self, ticks):
        """Runs 100 ms a tick, with a turn of 4.5 s in each 18 s."""
        for _ in range(ticks):
            now_ms = self.test_bed.now_ms
            if now_ms % 18_000 < 4500:
                self.submit_jobs(2, f'{now_ms}-')
            self.run_rounds(1)
            self.end_runs(500)

    def other_hosts(self):
        return sum(pool == OTHER for pool in self.pools.values())

    def submit_jobs(self, count, name):
        """Submits jobs of one task that takes half a second on a whole host."""
        for number in range(count):
            self.test_bed.submit(
                StepSpec(task_count=1, resources=WHOLE_HOST, estimated_ms=500),
                job_id=f'{name}{number}',
            )

    def end_runs(self, after_ms):
        """Ends the runs that have taken a given time."""
        for backend in self.test_bed.backends.values():
            state = self.test_bed.scheduler.backends_by_id[backend.backend_id]
            for name in list(backend.runs_by_name):
                task = state.tasks_by_name.get(name)
                ran_ms = self.test_bed.now_ms - task.confirmed_at_ms if task else 0
                if ran_ms >= after_ms:
                    backend.end(name, EndReason.DONE)


if __name__ == '__main__':
    unittest.main()
