"""Guards against requests that are accepted without a valid key of their team."""

import hashlib
import hmac
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings, strategies

from dandelionknot.configuration import Configuration, QueueAccess, Service, Team
from dandelionknot.decisions._keys import (
    KEY_RANDOM_BYTES,
    CallerIdentity,
    authenticate,
    issue_key,
)
from dandelionknot.messages import ErrorCode, RunState


def key(team_id, key_id, fill):
    return issue_key(team_id, key_id, bytes([fill]) * KEY_RANDOM_BYTES).unwrap()


FIRST = key('balkanfit', 'desk', 1)
SECOND = key('balkanfit', 'batch', 2)
OTHER = key('remansito', 'desk', 3)
SERVICES = {
    'quotes': Service(pool='quotes'),
    'status': Service(pool='quotes', access=QueueAccess.OPEN),
}
KEYS = {'desk': FIRST.record, 'batch': SECOND.record}
TEAMS = {
    'balkanfit': Team(upper_limit=4, keys_by_id=KEYS),
    'remansito': Team(upper_limit=4, keys_by_id={'desk': OTHER.record}),
}
CONFIGURATION = Configuration(version=1, services_by_id=SERVICES, teams_by_id=TEAMS)
SECRET = FIRST.key.rpartition('.')[2]
OTHER_SECRET = OTHER.key.rpartition('.')[2]
ZERO_SECRET = '0' * 64
# Malformed keys first, then well-formed keys of unknown or other teams and key ids.
REFUSED_KEYS = f"""
    balkanfit {SECRET} balkanfit.desk. {FIRST.key}.x {FIRST.key[:-1]}
    {FIRST.key.upper()} balkanfit.desk.{'é' * 64} {'a' * 10_000}.desk.{SECRET}
    nobody.desk.{SECRET} nobody.desk.{ZERO_SECRET} balkanfit.night.{SECRET}
    balkanfit.batch.{SECRET} balkanfit.desk.{OTHER_SECRET}
    balkanfit.desk.{FIRST.record.digest}
""".split()
REFUSED_KEYS += [FIRST.key + '\n', 'balkanfit.desk.\ud800']


class KeysTest(unittest.TestCase):
    def test_each_key_names_its_own_team(self):
        """Guards against a request that is counted for another team."""
        teams = [('balkanfit', 'desk'), ('balkanfit', 'batch'), ('remansito', 'desk')]
        for issued, (team_id, key_id) in zip(
            (FIRST, SECOND, OTHER), teams, strict=True
        ):
            caller = authenticate(CONFIGURATION, 'quotes', issued.key).unwrap()
            self.assertEqual(caller, CallerIdentity(team_id=team_id, key_id=key_id))

    def test_wrong_keys_are_refused_at_the_same_cost_without_the_secret(self):
        """Guards against accepting wrong keys, timing side channels and leaked secrets.

        The number of hash and compare calls must not depend on the key.
        """
        for presented in REFUSED_KEYS:
            sha256 = mock.patch('hashlib.sha256', wraps=hashlib.sha256)
            compare = mock.patch('hmac.compare_digest', wraps=hmac.compare_digest)
            with self.subTest(presented[:80]), sha256 as hashed, compare as compared:
                refusal = authenticate(CONFIGURATION, 'quotes', presented).unwrap_err()
                self.assertEqual((hashed.call_count, compared.call_count), (1, 1))
                outcome = (refusal.code, refusal.run_state)
                self.assertEqual(outcome, (ErrorCode.KEY_NOT_VALID, RunState.NOT_RUN))
                for secret in (SECRET, OTHER_SECRET, FIRST.record.digest):
                    self.assertNotIn(secret, repr(refusal))

    def test_withdrawn_key_is_refused_and_the_other_key_still_works(self):
        """Guards against a withdrawn key that is still accepted."""
        left = Team(upper_limit=4, keys_by_id={'batch': SECOND.record})
        withdrawn = replace(CONFIGURATION, teams_by_id={'balkanfit': left})
        refusal = authenticate(withdrawn, 'quotes', FIRST.key).unwrap_err()
        self.assertEqual(refusal.code, ErrorCode.KEY_NOT_VALID)
        self.assertTrue(authenticate(withdrawn, 'quotes', SECOND.key).is_ok())

    def test_missing_key_unknown_service_and_open_queue(self):
        """Guards against refusing requests of open queues because of their key.

        A cut-off entry host serves open queues but cannot check keys.
        """
        for service_id, presented, code in [
            ('quotes', None, ErrorCode.KEY_MISSING),
            ('quotes', '', ErrorCode.KEY_MISSING),
            ('kayaks', FIRST.key, ErrorCode.SERVICE_NOT_FOUND),
        ]:
            outcome = authenticate(CONFIGURATION, service_id, presented)
            self.assertEqual(outcome.unwrap_err().code, code)
        for presented in (None, '', 'malformed', FIRST.key):
            caller = authenticate(CONFIGURATION, 'status', presented).unwrap()
            self.assertEqual(caller, CallerIdentity(team_id=None))

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(strategies.text(max_size=300))
    def test_arbitrary_text_is_refused_and_never_raises(self, presented):
        """Guards against a malformed header that raises and ends the daemon."""
        self.assertTrue(authenticate(CONFIGURATION, 'quotes', presented).is_err())

    def test_issue_hides_the_secret_and_refuses_bad_input(self):
        """Guards against a secret in a log line and against invalid team or key ids.

        A wrong number of random bytes must raise, since the key could be guessable.
        """
        self.assertNotIn(SECRET, repr(FIRST))
        for team_id, key_id in [('a.b', 'desk'), ('a', ''), ('A', 'x'), ('a', 'x\n')]:
            outcome = issue_key(team_id, key_id, bytes(KEY_RANDOM_BYTES))
            self.assertEqual(outcome.unwrap_err().code, ErrorCode.MALFORMED_REQUEST)
        with self.assertRaises(ValueError):
            issue_key('a', 'x', b'short')
