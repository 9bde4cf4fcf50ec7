"""Recurrent surges, and loads that look like them but are not."""

import random
import unittest

from dandelionknot.jobs._turns import LEAD_MS, Turns

POOLS = ('a', 'b', 'c', 'd')
TURN_MS = 4500
PERIOD_MS = TURN_MS * len(POOLS)
PEAK = 3_000_000.0
STEP_MS = 200


def turns_load(pool, now_ms):
    """Returns the demand of a pool whose surges come by turns."""
    number = now_ms // TURN_MS % len(POOLS)
    return PEAK if POOLS[number] == pool else PEAK / 100


class TurnsTest(unittest.TestCase):
    def run_load(self, load, until_ms, turns=None):
        """Passes a load on and returns each prediction as (time, pool, demand)."""
        turns = turns or Turns()
        predictions = []
        for now_ms in range(0, until_ms, STEP_MS):
            for pool in POOLS:
                predicted = turns.predicted_millicores(pool, turns.period_ms(), now_ms)
                if predicted:
                    predictions.append((now_ms, pool, predicted))
                turns.observe(pool, load(pool, now_ms), now_ms)
        return predictions

    def test_the_second_round_of_turns_is_predicted(self):
        """Guards against turns that begin with waiting jobs, round after round."""
        predictions = self.run_load(turns_load, 3 * PERIOD_MS)
        for number in range(1, 4):
            begin_ms = PERIOD_MS + number * TURN_MS
            ahead = [
                (now_ms, predicted)
                for now_ms, pool, predicted in predictions
                if pool == POOLS[number] and begin_ms - LEAD_MS <= now_ms < begin_ms
            ]
            with self.subTest(pool=POOLS[number]):
                self.assertGreaterEqual(len(ahead), (LEAD_MS - 2 * STEP_MS) // STEP_MS)
                self.assertEqual({predicted for _, predicted in ahead}, {PEAK})

    def test_nothing_is_predicted_far_ahead(self):
        """Guards against hosts that wait for a turn, and cost money, all the time."""
        for now_ms, pool, _ in self.run_load(turns_load, 4 * PERIOD_MS):
            place = (now_ms - POOLS.index(pool) * TURN_MS) % PERIOD_MS
            self.assertTrue(place >= PERIOD_MS - LEAD_MS - STEP_MS or place < 2000)

    def test_steady_load_and_single_bursts_are_not_predicted(self):
        """Guards against hosts for a surge that does not recur."""

        def steady(pool, now_ms):
            return PEAK

        def single(pool, now_ms):
            return PEAK if pool == 'b' and 5000 <= now_ms < 9000 else 0.0

        for load in (steady, single):
            self.assertEqual(self.run_load(load, 60_000), [])

    def test_bursts_without_a_period_are_seldom_predicted(self):
        """Guards against predictions from intervals that do not agree."""
        rng = random.Random(7)
        begins_by_pool = {pool: [] for pool in POOLS}
        now = 0
        while now < 240_000:
            now += rng.randrange(2000, 24_000)
            begins_by_pool[rng.choice(POOLS)].append(now)

        def load(pool, now_ms):
            begins = begins_by_pool[pool]
            return PEAK * any(begin <= now_ms < begin + 2500 for begin in begins)

        predictions = self.run_load(load, 240_000)
        steps = 240_000 // STEP_MS * len(POOLS)
        self.assertLess(len(predictions), 0.05 * steps)

    def test_a_skipped_turn_and_the_end_of_traffic_cost_one_prediction(self):
        """Guards against hosts that are kept for surges that no longer come."""

        def stops(pool, now_ms):
            return turns_load(pool, now_ms) if now_ms < 2 * PERIOD_MS else 0.0

        predictions = self.run_load(stops, 6 * PERIOD_MS)
        self.assertLess(
            max(now_ms for now_ms, _, _ in predictions), 3 * PERIOD_MS + 2000
        )

    def test_a_turn_of_another_height_is_learnt(self):
        """Guards against a prediction that stays at the highest turn ever seen."""

        def shrinking(pool, now_ms):
            return turns_load(pool, now_ms) * (1.0 if now_ms < PERIOD_MS else 0.6)

        later = [p for t, _, p in self.run_load(shrinking, 4 * PERIOD_MS) if t > 50_000]
        self.assertEqual(set(later), {PEAK * 0.6})

    def test_a_clock_that_steps_back_predicts_nothing_wrong(self):
        """Guards against an endless prediction after a step of the clock."""
        turns = Turns()
        self.run_load(turns_load, 2 * PERIOD_MS, turns)
        predictions = self.run_load(lambda pool, now_ms: 0.0, 20_000, turns)
        self.assertLess(len(predictions), 2 * (LEAD_MS + 1500) // STEP_MS * len(POOLS))


if __name__ == '__main__':
    unittest.main()
