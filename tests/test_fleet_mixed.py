"""Guards the guarantees while faults of all kinds come one after the other."""

import asyncio
import unittest

from tests.mixed_faults import run, violations

SEED = 3
STEPS = 6


class MixedFaultsTest(unittest.TestCase):
    def test_guarantees_and_repair(self):
        """Guards against promises that hold under each fault but not under several."""
        scene = asyncio.run(run(SEED, STEPS, lambda line: None))
        self.assertEqual(violations(scene), [], scene.steps)
        self.assertTrue(any(each.is_answered for each in scene.exchanges))
