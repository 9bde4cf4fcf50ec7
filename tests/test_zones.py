"""Guards against starts in a zone that is out and a rush into one that returns."""

import unittest
from dataclasses import replace

from result import Err, Ok

from dandelionknot import _zones
from dandelionknot.configuration import AvailabilityZone, Configuration, ZoneState
from dandelionknot.messages import ErrorCode, RunState

IN_SERVICE = Configuration(
    version=1, availability_zones_by_id={'z0': AvailabilityZone(region='north')}
)
OUT = replace(
    IN_SERVICE,
    availability_zones_by_id={
        'z0': AvailabilityZone(region='north', state=ZoneState.OUT_OF_SERVICE)
    },
)
GONE = replace(IN_SERVICE, availability_zones_by_id={})


class ZoneTest(unittest.TestCase):
    def test_may_start_in(self):
        """Guards against a start in a zone that is out, unknown or not back yet."""
        cases = [
            (IN_SERVICE, None, 0, True),
            (IN_SERVICE, 100, 100, True),
            (IN_SERVICE, 100, 99, False),
            (OUT, None, 0, False),
            (OUT, 0, 100, False),
            (GONE, None, 0, False),
        ]
        for configuration, since_ms, now_ms, allowed in cases:
            with self.subTest(since_ms=since_ms, now_ms=now_ms, allowed=allowed):
                outcome = _zones.may_start_in(configuration, 'z0', since_ms, now_ms)
                self.assertIsInstance(outcome, Ok if allowed else Err)
                if not allowed:
                    refusal = outcome.err_value
                    self.assertEqual(refusal.code, ErrorCode.AVAILABILITY_ZONE_OUT)
                    self.assertEqual(refusal.run_state, RunState.NOT_RUN)

    def test_ramp_fraction(self):
        """Guards against a full rush at once and a ramp that never ends."""
        cases = [
            (None, 1000, 0, 1.0),
            (0, 1000, 0, _zones.MIN_RAMP_FRACTION),
            (0, 1000, 500, 0.5),
            (0, 1000, 1000, 1.0),
            (0, 0, 0, 1.0),
            (50, 1000, 0, _zones.MIN_RAMP_FRACTION),
        ]
        for since_ms, ramp_ms, now_ms, fraction in cases:
            with self.subTest(since_ms=since_ms, ramp_ms=ramp_ms, now_ms=now_ms):
                found = _zones.ramp_fraction(since_ms, ramp_ms, now_ms)
                self.assertEqual(found, fraction)

    def test_ramp_follows_the_configuration(self):
        """Guards against a ramp at start-up and an old ramp after a second exit."""
        ramp = _zones.ZoneRamp()
        steps = [
            (IN_SERVICE, 0, 1.0),
            (OUT, 100, 1.0),
            (IN_SERVICE, 1000, 0.05),
            (IN_SERVICE, 1500, 0.5),
            (OUT, 1600, 1.0),
            (IN_SERVICE, 1700, 0.05),
            (GONE, 1800, 1.0),
            (IN_SERVICE, 1900, 1.0),
            (OUT, 2000, 1.0),
            (GONE, 2100, 1.0),
            (IN_SERVICE, 2200, 0.05),
        ]
        for number, (configuration, now_ms, fraction) in enumerate(steps):
            with self.subTest(number=number):
                _zones.observe_zones(ramp, configuration, now_ms)
                found = _zones.zone_fraction(ramp, 'z0', 1000, now_ms)
                self.assertEqual(found, fraction)
