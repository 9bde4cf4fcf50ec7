"""Guards against example files that do not load or do not have the documented size."""

import hashlib
import unittest
from collections import Counter
from pathlib import Path

from dandelionknot.configuration import load_base, load_overlay, merge
from dandelionknot.settings import load_entry_settings, operators_of

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'


def load_example(name):
    base = load_base(EXAMPLES / name / 'base.yaml').unwrap()
    paths = sorted((EXAMPLES / name / 'overlays').glob('*.yaml'))
    return merge(base, [load_overlay(path).unwrap() for path in paths]).unwrap()


class ExamplesTest(unittest.TestCase):
    def test_voters_can_vote(self):
        """Guards against example settings in which a voter has no role to vote."""
        settings = load_entry_settings(EXAMPLES / 'entry.yaml').unwrap()
        voters = load_example('balkanfit').cooperatives_by_id['balkanfit'].voters
        roles = {operators_of(settings)[voter].role for voter in voters}
        self.assertEqual(roles, {'administrator'})

    def test_sizes_and_keys(self):
        """Guards against examples that differ from section 1.6 of the design."""
        cases = [('balkanfit', 4, 8, 32, 65536), ('remansito', 3, 6, 64, 131072)]
        for name, zones, workers, cores, memory_mb in cases:
            with self.subTest(name=name):
                loaded = load_example(name)
                hosts = loaded.hosts_by_id.values()
                pools = Counter(host.pool for host in hosts)
                self.assertEqual(set(pools.values()), {workers})
                self.assertEqual(len(loaded.availability_zones_by_id), zones)
                self.assertEqual(len(loaded.services_by_id), 5)
                self.assertEqual(len(loaded.teams_by_id), 6)
                sizes = {
                    (host.cores, host.memory_mb, host.slots, host.connections)
                    for host in hosts
                }
                self.assertEqual(sizes, {(cores, memory_mb, 8, 64)})
                racks = Counter(host.rack for host in hosts)
                self.assertLessEqual(max(racks.values()), 4)
                self.assertEqual(
                    max(Counter((host.rack, host.pool) for host in hosts).values()), 1
                )
                spare = [pool for pool in loaded.pools_by_id.values() if pool.spare]
                self.assertEqual(len(spare), 1)
                access = Counter(s.access for s in loaded.services_by_id.values())
                self.assertEqual(access['open'], 1)
                for team_id, team in loaded.teams_by_id.items():
                    record = team.keys_by_id['demo']
                    secret = f'demo-secret-of-{team_id}'.encode()
                    digest = hashlib.sha256(bytes.fromhex(record.salt) + secret)
                    self.assertEqual(record.digest, digest.hexdigest())
