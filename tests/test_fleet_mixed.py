"""Tests the guarantees under faults of all kinds, one after the other."""

import asyncio
import unittest

from tests.mixed_faults import run, violations

SEED = 3
STEPS = 6


class MixedFaultsTest(unittest.TestCase):
    def test_guarantees_and_repair(self):
        """Guards against a guarantee that is broken by combined faults only."""
        trial = asyncio.run(run(SEED, STEPS, lambda line: None))
        self.assertEqual(violations(trial), [], trial.steps)
        self.assertTrue(any(each.is_answered for each in trial.exchanges))
