"""Guards against overlays of one site that change entries of another or of the base."""

import copy
import tempfile
import unittest
from pathlib import Path

import yaml
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from dandelionknot.configuration import (
    FaultKind,
    Host,
    KeyRecord,
    diff,
    load_base,
    load_overlay,
    merge,
)

RECORD = {'salt': '0' * 32, 'digest': 'a' * 64}
BASE = """\
bounds: {freshness_bound_ms: 4000}
sites_by_id:
  north: {availability_zones: [zone-a], teams: [gyms]}
  south: {availability_zones: [zone-b], teams: [hostels]}
availability_zones_by_id:
  zone-a: {region: region-1}
  zone-b: {region: region-1}
pools_by_id: {quotes: {}, spare: {spare: true}}
hosts_by_id:
  host-a: {availability_zone: zone-a, rack: rack-a, pool: quotes, address: 10.0.0.1:80}
  host-b: {availability_zone: zone-b, rack: rack-b, pool: quotes, address: 10.0.0.2:80}
services_by_id:
  quotes: {pool: quotes, max_unavailable: 1}
teams_by_id:
  gyms: {share: 2, upper_limit: 10}
  hostels: {share: 1, upper_limit: 5}
cooperatives_by_id:
  buyers: {voters: [ana, boris]}
  renters: {voters: [carla]}
maintenance_plans_by_id:
  plan-b: {hosts: [host-b]}
"""
NEW = {'availability_zone': 'zone-a', 'rack': 'rack-a', 'pool': 'spare'}


def north(**sections):
    header = {'site': 'north', 'availability_zones': ['zone-a']}
    return yaml.safe_dump(header | sections, sort_keys=False)


class FilesTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def merged(self, base, *overlays):
        """Writes files and merges them; returns the faults of the first faulty file."""
        base_path = self.directory / 'base.yaml'
        base_path.write_text(base)
        loaded = load_base(base_path)
        if isinstance(loaded, Err):
            return loaded
        files = []
        for index, text in enumerate(overlays):
            path = self.directory / f'overlay-{index}.yaml'
            path.write_text(text)
            overlay = load_overlay(path)
            if isinstance(overlay, Err):
                return overlay
            files.append(overlay.ok_value)
        return merge(loaded.ok_value, files)


class MergeTest(FilesTest):
    def test_overlay_changes_only_its_own_entries(self):
        """Guards against overlays that change other sites or base-only fields."""
        kinds = FaultKind
        cases = [
            ({'hosts_by_id': {'host-b': {'slots': 4}}}, kinds.NOT_OF_SITE, 'host-b'),
            ({'hosts_by_id': {'host-b': None}}, kinds.NOT_OF_SITE, 'host-b'),
            (
                {'hosts_by_id': {'host-a': {'availability_zone': 'zone-b'}}},
                kinds.NOT_OF_SITE,
                'hosts_by_id.host-a.availability_zone',
            ),
            (
                {'availability_zones_by_id': {'zone-b': {'state': 'out_of_service'}}},
                kinds.NOT_OF_SITE,
                'zone-b',
            ),
            (
                {
                    'availability_zones_by_id': {
                        'zone-a': {'state': 'in_service', 'region': 'x'}
                    }
                },
                kinds.NOT_IN_OVERLAY,
                'zone-a.region',
            ),
            (
                {'teams_by_id': {'hostels': {'keys_by_id': {'k': RECORD}}}},
                kinds.NOT_OF_SITE,
                'hostels',
            ),
            (
                {'teams_by_id': {'gyms': {'keys_by_id': {}, 'upper_limit': 99}}},
                kinds.NOT_IN_OVERLAY,
                'teams_by_id.gyms.upper_limit',
            ),
            (
                {'teams_by_id': {'gyms': {'keys_by_id': {}, 'share': 99}}},
                kinds.NOT_IN_OVERLAY,
                'teams_by_id.gyms.share',
            ),
            ({'cooperatives_by_id': {}}, kinds.NOT_IN_OVERLAY, 'cooperatives_by_id'),
            ({'bounds': {}}, kinds.NOT_IN_OVERLAY, 'bounds'),
            ({'services_by_id': {}}, kinds.NOT_IN_OVERLAY, 'services_by_id'),
            (
                {'maintenance_plans_by_id': {'plan-b': None}},
                kinds.NOT_OF_SITE,
                'plan-b',
            ),
            (
                {'maintenance_plans_by_id': {'p': {'hosts': ['host-b']}}},
                kinds.NOT_OF_SITE,
                'p.hosts',
            ),
            ({'site': 'west'}, kinds.UNKNOWN_REFERENCE, 'site'),
            (
                {'availability_zones': ['zone-a', 'zone-b']},
                kinds.NOT_OF_SITE,
                'availability_zones',
            ),
            ({'hosts_by_id': {'gone': None}}, kinds.UNKNOWN_REFERENCE, 'gone'),
            (
                {'hosts_by_id': {'host-a': {'slots': 0}}},
                kinds.MALFORMED,
                'host-a.slots',
            ),
            ({'hosts_by_id': {'new': {'pool': 'quotes'}}}, kinds.MALFORMED, 'new.rack'),
        ]
        for sections, kind, field in cases:
            with self.subTest(sections=sections):
                outcome = self.merged(BASE, north(**sections))
                self.assertIsInstance(outcome, Err)
                found = [(fault.kind, fault.field) for fault in outcome.err_value]
                self.assertTrue(
                    any(kind == k and f.endswith(field) for k, f in found), found
                )
                for fault in outcome.err_value:
                    self.assertIn('overlay-0.yaml:', str(fault))

    def test_cross_checks_name_file_line_and_field(self):
        """Guards against accepting a base file whose entries contradict each other."""
        cases = [
            ('pool: quotes, address', 'pool: nowhere, address'),
            ('{availability_zone: zone-a', '{availability_zone: zone-x'),
            ('10.0.0.2:80', '10.0.0.1:80'),
            ('10.0.0.2:80', '10.0.0.2:99999'),
            ('10.0.0.2:80', '10.0.0.299:80'),
            ('rack: rack-b', 'rack: rack-a'),
            ('{pool: quotes, max', '{pool: nowhere, max'),
            ('max_unavailable: 1', 'max_unavailable: 3'),
            ('voters: [carla]', 'voters: [carla, ana]'),
            ('hosts: [host-b]', 'hosts: [host-b, host-b]'),
            ('hosts: [host-b]', 'hosts: [host-c]'),
            ('teams: [hostels]', 'teams: [gyms]'),
            ('[zone-b]', '[zone-a]'),
            ('[zone-b]', '[zone-c]'),
            ('share: 2', 'share: 0'),
            ('share: 2', 'shares: 2'),
            ('  zone-b:', '  zone-a:'),
            ('bounds: {freshness_bound_ms: 4000}', 'version: 3'),
        ]
        for old, new in cases:
            with self.subTest(new=new):
                text = BASE.replace(old, new, 1)
                line = text[: BASE.index(old)].count('\n') + 1
                outcome = self.merged(text)
                self.assertIsInstance(outcome, Err)
                self.assertIn(f'base.yaml:{line}: ', str(outcome.err_value[0]))

    def test_entries_are_merged_by_key_and_null_removes(self):
        """Guards against overlays that reset other fields or do not remove entries."""
        base = BASE.replace(
            'upper_limit: 10', f'upper_limit: 10, keys_by_id: {{k: {RECORD}}}'
        )
        overlay = north(
            availability_zones_by_id={'zone-a': {'state': 'out_of_service'}},
            hosts_by_id={
                'host-a': {'slots': 4},
                'new': NEW | {'address': '10.0.0.3:80'},
            },
            teams_by_id={'gyms': {'keys_by_id': {'k': None, 'k2': RECORD}}},
            maintenance_plans_by_id={'p': {'hosts': ['new']}},
        )
        merged = self.merged(base, overlay).unwrap()
        self.assertEqual(merged.hosts_by_id['host-a'].slots, 4)
        self.assertEqual(merged.hosts_by_id['host-a'].rack, 'rack-a')
        self.assertEqual(merged.hosts_by_id['new'], Host(address='10.0.0.3:80', **NEW))
        self.assertEqual(
            merged.teams_by_id['gyms'].keys_by_id, {'k2': KeyRecord(**RECORD)}
        )
        self.assertEqual(merged.teams_by_id['gyms'].upper_limit, 10)
        lines = [str(change) for change in diff(self.merged(base).unwrap(), merged)]
        self.assertEqual(
            lines,
            [
                'availability zone zone-a: state in_service -> out_of_service',
                'host host-a: slots 8 -> 4',
                'host new: added',
                'team gyms: key k: removed',
                'team gyms: key k2: added',
                'maintenance plan p: added',
            ],
        )

    def test_two_overlays_cannot_state_the_same_entry(self):
        """Guards against a host that is added by the overlays of two sites."""
        new = {'new': NEW | {'address': '10.0.0.3:80'}}
        south = {'site': 'south', 'availability_zones': ['zone-b'], 'hosts_by_id': new}
        outcome = self.merged(BASE, north(hosts_by_id=new), yaml.safe_dump(south))
        self.assertEqual(outcome.err_value[0].kind, FaultKind.DUPLICATE)
        self.assertIn('overlay-1.yaml:', str(outcome.err_value[0]))


names = strategies.sampled_from(['host-a', 'host-b', 'host-c', 'host-d'])
zones = strategies.sampled_from(['zone-a', 'zone-b'])
sites = strategies.sampled_from(['north', 'south'])


class OverlayMachine(RuleBasedStateMachine):
    """Guards against sequences of overlays that change an entry of another site."""

    def __init__(self):
        super().__init__()
        self.sections_by_site = {'north': {}, 'south': {}}
        self.files = FilesTest()
        self.files.setUp()
        self.base = self.files.merged(BASE).unwrap()

    def teardown(self):
        self.files.doCleanups()

    def _section(self, site, name):
        return self.sections_by_site[site].setdefault(name, {})

    @rule(site=sites, host=names, zone=zones, slots=strategies.integers(1, 9))
    def state_host(self, site, host, zone, slots):
        entry = {
            'availability_zone': zone,
            'rack': f'rack-{zone[-1]}',
            'pool': 'quotes',
        }
        entry |= {'address': f'10.0.1.{ord(host[-1])}:80', 'slots': slots}
        self._section(site, 'hosts_by_id')[host] = entry

    @rule(site=sites, host=names)
    def remove_host(self, site, host):
        self._section(site, 'hosts_by_id')[host] = None

    @rule(site=sites, team=strategies.sampled_from(['gyms', 'hostels']))
    def state_key(self, site, team):
        entry = {'keys_by_id': {'k': RECORD}}
        self._section(site, 'teams_by_id')[team] = entry

    @rule(site=sites, zone=zones)
    def take_zone_out(self, site, zone):
        entry = {'state': 'out_of_service'}
        self._section(site, 'availability_zones_by_id')[zone] = entry

    @rule(site=sites, section=strategies.sampled_from(['hosts_by_id', 'teams_by_id']))
    def omit_section(self, site, section):
        self.sections_by_site[site].pop(section, None)

    @invariant()
    def entries_of_other_sites_stay(self):
        sections = copy.deepcopy(self.sections_by_site)
        south = {'site': 'south', 'availability_zones': ['zone-b']} | sections['south']
        texts = [north(**sections['north']), yaml.safe_dump(south)]
        outcome = self.files.merged(BASE, *texts)
        reordered = self.files.merged(BASE, *reversed(texts))
        assert isinstance(outcome, Ok) == isinstance(reordered, Ok)
        if isinstance(outcome, Err):
            return
        merged = outcome.ok_value
        assert merged.cooperatives_by_id == self.base.cooperatives_by_id
        assert merged.bounds == self.base.bounds
        for site, zone, team in (
            ('north', 'zone-a', 'gyms'),
            ('south', 'zone-b', 'hostels'),
        ):
            stated = sections[site]
            assert set(stated.get('teams_by_id', {})) <= {team}
            assert set(stated.get('availability_zones_by_id', {})) <= {zone}
            for host in stated.get('hosts_by_id', {}):
                for configuration in (self.base, merged):
                    entry = configuration.hosts_by_id.get(host)
                    assert entry is None or entry.availability_zone == zone


OverlayMachineTest = OverlayMachine.TestCase
OverlayMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=20,
    stateful_step_count=10,
)
