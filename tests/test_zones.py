"""Guards against starts in a zone out of service and full load on a returning one."""

import unittest
from dataclasses import replace

from dandelionknot.configuration import (
    AvailabilityZone,
    Configuration,
    Host,
    Service,
    ZoneState,
)
from dandelionknot.decisions import _budgets, _routing, _zones
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
    def test_hosts_of_a_zone_that_is_out_are_unavailable(self):
        """Guards against a start in a zone that is out of service or unknown."""
        host = Host(availability_zone='z0', rack='r', pool='p', address='127.0.0.1:1')
        out = _budgets.UnavailableReason.ZONE_OUT
        for configuration, reason in ((IN_SERVICE, None), (OUT, out), (GONE, out)):
            with self.subTest(reason=reason):
                with_host = replace(
                    configuration,
                    hosts_by_id={'h': host},
                    services_by_id={'s': Service(pool='p')},
                )
                found = _budgets.unavailable_reason(
                    with_host, _budgets.FleetHealth(), 'h', host
                )
                self.assertIs(found, reason)
                table = _routing.RoutingTable.from_configuration(with_host, 'z0')
                outcome = _routing.choose(table, 's', (0, 0, 0), 0)
                self.assertEqual(outcome.is_ok(), reason is None)
                if reason is not None:
                    refusal = outcome.err_value
                    self.assertEqual(refusal.code, ErrorCode.AVAILABILITY_ZONE_OUT)
                    self.assertEqual(refusal.run_state, RunState.NOT_RUN)

    def test_ramped_weight_fraction(self):
        """Guards against full load on a returned zone and a ramp that never ends."""
        cases = [
            (None, 1000, 0, 1.0),
            (0, 1000, 0, _zones.MIN_RAMP_FRACTION),
            (0, 1000, 500, 0.5),
            (0, 1000, 1000, 1.0),
            (0, 0, 0, 1.0),
            (50, 1000, 0, _zones.MIN_RAMP_FRACTION),
        ]
        for returned_at_ms, ramp_ms, now_ms, fraction in cases:
            with self.subTest(
                returned_at_ms=returned_at_ms, ramp_ms=ramp_ms, now_ms=now_ms
            ):
                found = _zones.ramped_weight_fraction(returned_at_ms, ramp_ms, now_ms)
                self.assertEqual(found, fraction)

    def test_ramp_follows_the_configuration(self):
        """Guards against a ramp at start-up and a stale ramp after a second exit."""
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
                found = _zones.zone_weight_fraction(ramp, 'z0', 1000, now_ms)
                self.assertEqual(found, fraction)
