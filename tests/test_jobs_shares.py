"""Shares of client accounts in a pool that is full, with and without limits."""

import random
import unittest

from dandelionknot.jobs import _ranking
from dandelionknot.jobs._generated import (
    ClientAccount,
    EndReason,
    Queue,
    Resources,
    StepSpec,
)
from dandelionknot.jobs._shares import MAX_LEVEL, AccountShare
from tests.job_test_bed import SERVICE, FakeBackend, JobTestBed

CORE = Resources(cpu_millicores=1000, memory_mb=100)


def step(count=1):
    return StepSpec(task_count=count, resources=CORE, estimated_ms=600)


class AccountShareTest(unittest.TestCase):
    def test_what_an_account_submits_beyond_its_weight_is_beyond_its_share(self):
        """Guards against an account that gets nothing once it exceeds its share."""
        for weight in (0.5, 1.0, 2.5, 6.0):
            with self.subTest(weight=weight):
                share, draw, at_ms, within = AccountShare(), random.Random(3), 0.0, 0
                while at_ms < 60_000:
                    at_ms += draw.expovariate(8 * weight / 1000)
                    within += share.level(int(at_ms), weight) == 0
                self.assertAlmostEqual(within / 60 / weight, 1, delta=0.06)

    def test_an_account_within_its_weight_is_never_beyond_its_share(self):
        """Guards against deferring an account that submits its jobs in small groups."""
        share = AccountShare()
        levels = {
            share.level(second * 1000 + offset_ms, 3.0)
            for second in range(20)
            for offset_ms in (0, 0, 5)
        }
        self.assertEqual(levels, {0})

    def test_levels_are_bounded(self):
        """Guards against memory that grows with the jobs of one account."""
        share = AccountShare()
        levels = [share.level(0, 1.0) for _ in range(1000)]
        self.assertEqual(max(levels), MAX_LEVEL)
        self.assertEqual(len(share.used_until_ms), MAX_LEVEL + 1)


class FullPoolTest(unittest.TestCase):
    """A pool of four cores and accounts without a limit."""

    def make_test_bed(self, weights):
        room = Resources(cpu_millicores=4000, memory_mb=100_000)
        queue = Queue(
            name='desk',
            host='h',
            path_prefix='/q/',
            service=SERVICE,
            stretch=1.6,
            objective_ms=60_000,
        )
        test_bed = JobTestBed(FakeBackend('b1', room=room), queue=queue)
        test_bed.accounts = [
            ClientAccount(name=name, keys=[], weight=weight)
            for name, weight in weights.items()
        ]
        test_bed.configure()
        return test_bed

    def served(self, test_bed, rounds, submit):
        """Ends all runs after each round; returns how many each account got."""
        counts = {}
        for number in range(rounds):
            submit(number)
            test_bed.step(300)
            test_bed.step(300)
            for name in test_bed.running():
                account = test_bed.jobs[name.split('.')[0]].client_account
                counts[account] = counts.get(account, 0) + 1
                test_bed.backends['b1'].end(name, EndReason.DONE)
        return counts

    def submit(self, test_bed, account, number, count):
        for index in range(count):
            job_id = f'{account}-{number}-{index}'
            test_bed.submit(step(), job_id=job_id, account=account)

    def test_an_account_without_a_limit_does_not_crowd_out_the_others(self):
        """Guards against a burst of one account that delays the jobs of all others."""
        test_bed = self.make_test_bed({'hot': 2, 'calm': 2})

        def submit(number):
            self.submit(test_bed, 'hot', number, 15)
            self.submit(test_bed, 'calm', number, 1)

        served = self.served(test_bed, 12, submit)
        # The pool serves 48 jobs in 12 rounds.
        self.assertGreaterEqual(served['calm'], 11)
        self.assertGreaterEqual(served['hot'], 35)

    def test_accounts_beyond_their_shares_are_served_by_their_weights(self):
        """Guards against equal service of accounts whose weights differ."""
        test_bed = self.make_test_bed({'small': 1, 'large': 3})

        def submit(number):
            self.submit(test_bed, 'small', number, 9)
            self.submit(test_bed, 'large', number, 9)

        served = self.served(test_bed, 40, submit)
        self.assertAlmostEqual(served['large'] / served['small'], 3, delta=0.6)

    def test_shares_change_nothing_while_there_is_room(self):
        """Guards against deferring jobs of an account that nobody competes with."""
        test_bed = self.make_test_bed({'hot': 1})
        self.submit(test_bed, 'hot', 0, 4)
        now_ms = test_bed.now_ms
        for state in test_bed.scheduler.open_jobs_by_id.values():
            rank = (state.queue.priority, _ranking.IN_TIME, 0, state.due_ms)
            self.assertEqual(_ranking.rank(state, now_ms), rank)
        test_bed.step()
        test_bed.step()
        self.assertEqual(len(test_bed.running()), 4)

    def test_demand_counts_accounts_without_a_limit_in_full(self):
        """Guards against a pool that gets no hosts for what is beyond a share."""
        test_bed = self.make_test_bed({'hot': 1})
        self.submit(test_bed, 'hot', 0, 9)
        arrivals = test_bed.scheduler.capacity.arrivals.by_pool[SERVICE]
        self.assertEqual(len(arrivals), 9)

    def test_long_running_jobs_stay_first(self):
        """Guards against serving tasks that wait behind a queue of short ones."""
        test_bed = self.make_test_bed({'hot': 1})
        serving = StepSpec(
            task_count=1, resources=CORE, estimated_ms=600, long_running=True
        )
        self.submit(test_bed, 'hot', 0, 3)
        test_bed.submit(serving, job_id='serving', account='hot')
        state = test_bed.scheduler.jobs_by_id['serving']
        self.assertGreater(state.share_level, 0)
        rank = _ranking.rank(state, test_bed.now_ms, is_full=True)
        self.assertEqual(rank[1], _ranking.IN_TIME)

    def test_a_new_leader_finds_the_same_shares(self):
        """Guards against an order that changes with the leader."""
        test_bed = self.make_test_bed({'hot': 2})
        for number in range(3):
            self.submit(test_bed, 'hot', number, 4)
            test_bed.now_ms += 400

        def levels():
            jobs = test_bed.scheduler.jobs_by_id.values()
            return {state.job.job_id: state.share_level for state in jobs}

        former = levels()
        test_bed.new_leader()
        self.assertEqual(levels(), former)


if __name__ == '__main__':
    unittest.main()
