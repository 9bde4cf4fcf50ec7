"""Guards against faulty files that are accepted, or reported without line and field."""

import tempfile
import unittest
from pathlib import Path

from result import Err

from dandelionknot.configuration import load_base, load_overlay
from dandelionknot.settings import load_entry_settings, operators_of

# Ten lines long, so that the text that a case adds begins in line 11.
SETTINGS = """member_id: entry-1
availability_zone: sofia
region: balkans
caller_address: 127.0.0.1:8001
operator_address: 127.0.0.1:8002
peer_address: 127.0.0.1:8003
platform_address: 127.0.0.1:8004
peer_secret: a-secret-of-peers
operators_by_id:
  ana: {token: a-token-of-ana-1, role: viewer}
"""
OVERLAY = 'site: sofia\navailability_zones: [sofia]\n'
# One digit shorter than a valid digest.
DIGEST = 'a' * 63
KEY = f'{{salt: "", digest: {DIGEST}}}'
ANA_TWICE = ":11: operator_tokens_by_id.ana: operator 'ana' is in operators_by_id too"
SAME_TOKEN = ":10: operators_by_id.ana: operator 'bo' has the same token"
NO_OPERATOR = 'operators_by_id: names no operator, and neither does operator_tokens'
WITHOUT_OPERATORS = SETTINGS.partition('operators_by_id')[0]
# Text that is added to a valid file, and the start of the error after the file name:
# the line, the field and the problem.
SETTINGS_CASES = [
    ('max_requests: many', ':11: max_requests: must be integer'),
    ('max_requests: true', ':11: max_requests: must be integer'),
    ('max_requests: 1.5', ':11: max_requests: must be integer'),
    ('max_requests: 0', ':11: max_requests: must be bigger than or equal to 1'),
    ('max_requests: 1000001', ':11: max_requests: must be smaller than or equal to'),
    ('log_level: LOUD', ":11: log_level: must be one of ['DEBUG'"),
    ('source_ip: 3', ':11: source_ip: must be string or null'),
    ('colour: red', ':11: colour: is not a known field'),
    ('region: thrace', ":11: key 'region' is defined twice"),
    ('7: red', ':11: key 7 is not a string'),
    ('statsd: {host: 10.0.0.1}', ':11: statsd.port: is missing'),
    ('statsd:\n  host: 10.0.0.1\n  port: 0', ':13: statsd.port: must be bigger'),
    ('statsd: {host: h, host: i}', ":11: key 'host' is defined twice"),
    ('caller_tls: [a, b]', ':11: caller_tls: must be object'),
    ('caller_tls: {key_file: k, certificate_file: ""}', ':11: caller_tls.certificate_'),
    (
        'operator_tokens_by_id:\n  Bo: a-token-of-bo-123',
        ':12: operator_tokens_by_id.Bo: the name',
    ),
    ('operator_tokens_by_id:\n  boris: x', ':12: operator_tokens_by_id.boris: must be'),
    ('operator_tokens_by_id: {ana: a-token-of-bo-123}', ANA_TWICE),
    ('operator_tokens_by_id: {bo: a-token-of-ana-1}', SAME_TOKEN),
    ('advertised_peer_address: 10.0.0.1:0', ':11: advertised_peer_address: the port'),
    ('advertised_peer_address: 10.0.256.1:80', ":11: advertised_peer_address: '10."),
    ('statsd: [', ':11: expected the node content'),
    ('statsd: 2026-13-45', ':11: month must be in 1..12'),
    ('statsd: \x01', ':11: character #x0001 is not allowed'),
    ('statsd: *other', ":11: found undefined alias 'other'"),
    ('statsd: !!python/name:os.system', ':11: could not determine a constructor'),
    ('---', ':11: but found another document'),
    (b'log_level: \xff', ':11: is not UTF-8 text'),
]
# Content of a complete settings file, and the start of the error after its name.
COMPLETE_SETTINGS_CASES = [
    ('', ': must be object'),
    ('- member_id', ': must be object'),
    ('[' * 5000, ': nested too deeply'),
    (SETTINGS.replace('region: balkans\n', ''), ': region: is missing'),
    (WITHOUT_OPERATORS, f': {NO_OPERATOR}'),
    (WITHOUT_OPERATORS + 'operators_by_id: {}', f':9: {NO_OPERATOR}'),
    (WITHOUT_OPERATORS + 'operator_tokens_by_id: {}', f': {NO_OPERATOR}'),
    (SETTINGS.replace('viewer', 'owner'), ':10: operators_by_id.ana.role: must be one'),
    (
        SETTINGS.replace(', role: viewer', ''),
        ':10: operators_by_id.ana.role: is missin',
    ),
    (SETTINGS.replace('a-token-of-ana-1', 'a'), ':10: operators_by_id.ana.token: must'),
    (SETTINGS.replace('127.0.0.1:8003', '10.0.0.256:1'), ':6: peer_address: '),
    (SETTINGS.replace('a-secret-of-peers', 'short'), ':8: peer_secret: must be longer'),
]
BASE_CASES = [
    ('bounds: {ramp_ms: soon}', ':1: bounds.ramp_ms: must be integer'),
    ('bounds:\n  ramp_ms: -1', ':2: bounds.ramp_ms: must be bigger than or equal to 0'),
    ('teams_by_id: []', ':1: teams_by_id: must be object'),
    ('teams_by_id:\n  t: {}', ':2: teams_by_id.t.upper_limit: is missing'),
    ('teams_by_id:\n  t: {upper_limit: 1}\n  t: {}', ":3: key 't' is defined twice"),
    ('pools_by_id: {P: {}}', ':1: pools_by_id.P: the name must match pattern'),
    ('colours: {}', ':1: colours: is not a known field'),
    ('version: 3', ':1: version: is written by the fleet'),
    ('voters_proposals_by_id: {}', ':1: voters_proposals_by_id: is written by the'),
    (
        'cooperatives_by_id:\n  c: {voters: ana}',
        ':2: cooperatives_by_id.c.voters: must',
    ),
    ('pools_by_id: {}\n\x00', ':2: character #x0000 is not allowed'),
    (b'pools_by_id: {}\n\xc3\x28', ':2: is not UTF-8 text'),
]
OVERLAY_CASES = [
    ('bounds: {}', ':3: bounds: belongs to the base file'),
    ('hosts_by_id:\n  h: {slots: 0}', ':4: hosts_by_id.h.slots: must be bigger'),
    (f'teams_by_id:\n  t:\n    keys_by_id:\n      k: {KEY}', ':6: teams_by_id.t.keys'),
    ('site: varna', ":3: key 'site' is defined twice"),
    (b'# \xe9', ':3: is not UTF-8 text'),
]


def encoded(text):
    return text if isinstance(text, bytes) else text.encode()


class BadFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'bad.yaml'

    def check(self, load, content, place):
        """Checks that a file is refused with the expected line, without secrets."""
        self.path.unlink(missing_ok=True)
        if content is not None:
            self.path.write_bytes(content)
        outcome = load(self.path)
        self.assertIsInstance(outcome, Err)
        faults = outcome.err_value
        first = str(faults[0] if isinstance(faults, list) else faults)
        self.assertTrue(first.startswith(f'{self.path}{place}'), first)
        self.assertNotIn('\n', first)
        for secret in ('a-token-of-ana-1', 'a-secret-of-peers', DIGEST):
            self.assertNotIn(secret, first)

    def test_valid_files(self):
        """Guards against cases that fail because the extended file is not valid."""
        self.path.write_text(OVERLAY)
        self.assertEqual(load_overlay(self.path).unwrap().overlay.site, 'sofia')
        self.path.write_text('{}')
        load_base(self.path).unwrap()

    def test_operators_of_both_fields(self):
        """Guards against ignoring operators that are in the older settings field."""
        older_field = 'operator_tokens_by_id: {bo: a-token-of-bo-123}'
        cases = [
            (SETTINGS, {'ana': 'viewer'}),
            (WITHOUT_OPERATORS + older_field, {'bo': 'administrator'}),
            (SETTINGS + older_field, {'ana': 'viewer', 'bo': 'administrator'}),
        ]
        for text, expected in cases:
            self.path.write_text(text)
            operators_by_id = operators_of(load_entry_settings(self.path).unwrap())
            found = {name: each.role for name, each in operators_by_id.items()}
            self.assertEqual(found, expected)

    def test_files_with_one_fault(self):
        """Guards against faults that are missed or reported without line and field."""
        tables = [
            (load_entry_settings, SETTINGS, SETTINGS_CASES),
            (load_entry_settings, '', COMPLETE_SETTINGS_CASES),
            (load_base, '', BASE_CASES),
            (load_overlay, OVERLAY, OVERLAY_CASES),
        ]
        for load, valid, cases in tables:
            self.check(load, None, ': No such file or directory')
            for added, place in cases:
                with self.subTest(load=load.__name__, place=place):
                    self.check(load, encoded(valid) + encoded(added), place)
