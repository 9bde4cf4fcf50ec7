"""Guards grants against starvation, idle slots and too many writes."""

import unittest

from result import Err

from dandelionknot.decisions import _limits

TEAM = 'team-1'


def run_fleet(limit, hosts, demands, seconds, task_ms=100, tick_ms=50):
    """Simulates entry hosts that fill their free slots before they write grants.

    Returns the grants, the number of starts by holder, and the number of writes.
    """
    locals_by_holder = {f'h{i:02}': _limits.LocalGrants() for i in range(hosts)}
    ends = {holder: [] for holder in locals_by_holder}
    starts = dict.fromkeys(locals_by_holder, 0)
    record, revision = None, 0
    for holder, local in locals_by_holder.items():
        _limits.set_limit(local, holder, TEAM, limit, 1)
    for now_ms in range(0, seconds * 1000, tick_ms):
        for holder, local in locals_by_holder.items():
            team = local.teams_by_id[TEAM]
            while ends[holder] and ends[holder][0] <= now_ms:
                ends[holder].pop(0)
                _limits.finished(local, TEAM)
            _limits.set_wanted(local, TEAM, demands(holder, now_ms))
            while team.running < team.wanted:
                if isinstance(_limits.try_start(local, TEAM), Err):
                    break
                starts[holder] += 1
                ends[holder].append(now_ms + task_ms)
            if record is not None:
                _limits.observe_record(local, holder, record, revision, now_ms)
            write = _limits.next_write(local, holder, TEAM, now_ms, locals_by_holder)
            if write is not None:
                record, revision = write.record, revision + 1
                _limits.observe_record(local, holder, record, revision, now_ms)
    return record.grants_by_member, starts, revision


class FairnessTest(unittest.TestCase):
    def test_small_limit_with_many_hosts(self):
        """Guards against hosts that never start a task, idle slots and many writes."""
        for limit, hosts, least in [(3, 24, 0.8), (23, 24, 0.8), (1, 5, 0.8)]:
            with self.subTest(limit=limit, hosts=hosts):
                _, starts, writes = run_fleet(limit, hosts, lambda *_: 5, 60)
                self.assertGreater(min(starts.values()), 0)
                self.assertGreater(sum(starts.values()), least * limit * 600)
                self.assertLess(writes, 60 * min(limit, hosts - limit) + 2 * hosts)

    def test_grants_even_out(self):
        """Guards against a host that keeps the whole limit because it was the first."""

        def demands(holder, now_ms):
            return 100 if holder == 'h00' or now_ms > 5000 else 0

        grants, _, _ = run_fleet(100, 5, demands, 30)
        self.assertEqual(sum(grants.values()), 100)
        self.assertLessEqual(max(grants.values()) - min(grants.values()), 2)

    def test_idle_grant_reaches_a_late_requester(self):
        """Guards against urgent requests that wait longer than 1.1 s for idle grant."""

        def demands(holder, now_ms):
            busy = 'h00' if now_ms < 5000 else 'h01'
            return 50 if holder == busy else 0

        _, starts, _ = run_fleet(50, 24, demands, 7, task_ms=60000)
        self.assertEqual(starts['h01'], 0)
        _, starts, _ = run_fleet(50, 24, demands, 7, task_ms=100)
        self.assertGreater(starts['h01'], 0)


class WriteBudgetTest(unittest.TestCase):
    def test_allowance_limits_writes_to_the_budget(self):
        """Guards against a holder that writes more than its part of the budget."""
        allowance = _limits.WriteAllowance()
        writes = 0
        for now_ms in range(0, 60_000, 20):
            _limits.refill(allowance, 4, now_ms)
            if _limits.may_write(allowance):
                _limits.count_write(allowance)
                writes += 1
        self.assertLessEqual(writes, 60 * 4 + 1)
        self.assertGreaterEqual(writes, 59 * 4)

    def test_a_pause_saves_at_most_the_writes_of_a_second(self):
        """Guards against a burst of writes after a long idle time."""
        allowance = _limits.WriteAllowance()
        _limits.refill(allowance, 4, 3_600_000)
        self.assertLessEqual(allowance.writes, 4)

    def test_holders_begin_with_different_teams(self):
        """Guards against holders that all write the record of one team at once."""
        teams = [f'team-{number}' for number in range(33)]
        first = {
            _limits.initial_last_written(teams, f'entry-{number}')
            for number in range(24)
        }
        self.assertGreater(len(first), 12)
        order = _limits.writing_order(teams, 'team-5')
        self.assertEqual(order[-1], 'team-5')
        self.assertEqual(sorted(order), sorted(teams))
