"""Guards against malformed data that is accepted or raises an exception."""

import unittest

from hypothesis import given, settings, strategies
from result import Err, Ok

from dandelionknot import codec
from dandelionknot.configuration import Configuration, Host
from dandelionknot.messages import Envelope, Pong

HOST = {
    'availability_zone': 'zone-a',
    'rack': 'rack-1',
    'pool': 'quotes',
    'address': '127.0.0.1:8000',
}


class DecodeTest(unittest.TestCase):
    def test_malformed_values_name_the_field(self):
        """Guards against accepted malformed values and errors that name no field."""
        cases = [
            ({'slots': 0}, 'slots'),
            ({'slots': 'eight'}, 'slots'),
            ({'address': 'localhost'}, 'address'),
            ({'state': 'asleep'}, 'state'),
            ({'unknown_field': 1}, 'unknown_field'),
        ]
        for change, field in cases:
            with self.subTest(change=change):
                data = {'version': 1, 'hosts_by_id': {'host-1': HOST | change}}
                outcome = codec.from_data(data, Configuration, 'base.yaml')
                self.assertIsInstance(outcome, Err)
                self.assertIn(field, str(outcome.err_value))
                self.assertIn('host-1', str(outcome.err_value))

    def test_missing_field_is_named(self):
        """Guards against an error that does not name the missing field."""
        outcome = codec.from_data({'pool': 'quotes'}, Host, 'host')
        self.assertIsInstance(outcome, Err)
        self.assertIn('rack', str(outcome.err_value))

    def test_duplicate_yaml_key_names_its_line(self):
        """Guards against duplicate keys, of which PyYAML silently uses the last."""
        text = 'version: 1\npools_by_id: {}\nversion: 2\n'
        outcome = codec.decode_yaml(text, Configuration, 'base.yaml')
        self.assertIsInstance(outcome, Err)
        self.assertIn('base.yaml:3', str(outcome.err_value))
        self.assertIn("'version' is defined twice", str(outcome.err_value))

    def test_cbor_round_trip(self):
        """Guards against messages that decode to other values than were encoded."""
        pong = Pong(configuration_version=7, platform_age_ms=12)
        decoded = codec.decode_cbor(codec.encode_cbor(pong), Pong, 'pong')
        self.assertEqual(decoded, Ok(pong))

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, data):
        """Guards against input of a peer that raises an exception in a decoder."""
        for decode in (codec.decode_cbor, codec.decode_json):
            outcome = decode(data, Envelope, 'peer')
            self.assertIsInstance(outcome, (Ok, Err))
