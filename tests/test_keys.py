"""Guards against work that is accepted without the key of its team."""

import hashlib
import hmac
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings, strategies

from dandelionknot._keys import KEY_RANDOM_BYTES, Caller, authenticate, issue_key
from dandelionknot.configuration import Configuration, QueueAccess, Service, Team
from dandelionknot.messages import ErrorCode, RunState


def key(team_id, key_id, fill):
    return issue_key(team_id, key_id, bytes([fill]) * KEY_RANDOM_BYTES).unwrap()


FIRST = key('balkanfit', 'desk', 1)
SECOND = key('balkanfit', 'batch', 2)
OTHER = key('remansito', 'desk', 3)
CONFIGURATION = Configuration(
    version=1,
    services_by_id={
        'quotes': Service(pool='quotes'),
        'status': Service(pool='quotes', access=QueueAccess.OPEN),
    },
    teams_by_id={
        'balkanfit': Team(
            upper_limit=4,
            keys_by_id={'desk': FIRST.record, 'batch': SECOND.record},
        ),
        'remansito': Team(upper_limit=4, keys_by_id={'desk': OTHER.record}),
    },
)
SECRET = FIRST.presented.rpartition('.')[2]
OTHER_SECRET = OTHER.presented.rpartition('.')[2]
MISSING, INVALID = ErrorCode.KEY_MISSING, ErrorCode.KEY_NOT_VALID
REFUSED_KEYS = [
    ('no key', None, MISSING),
    ('empty', '', MISSING),
    ('one part', 'balkanfit', INVALID),
    ('four parts', FIRST.presented + '.x', INVALID),
    ('secret only', SECRET, INVALID),
    ('empty secret', 'balkanfit.desk.', INVALID),
    ('secret cut short', FIRST.presented[:-1], INVALID),
    ('upper case', FIRST.presented.upper(), INVALID),
    ('line feed', FIRST.presented + '\n', INVALID),
    ('not ASCII', 'balkanfit.desk.' + 'é' * 64, INVALID),
    ('lone surrogate', 'balkanfit.desk.\ud800', INVALID),
    ('too long', 'a' * 10_000 + '.desk.' + SECRET, INVALID),
    ('unknown team', f'nobody.desk.{SECRET}', INVALID),
    ('unknown key id', f'balkanfit.night.{SECRET}', INVALID),
    ('secret of another key', f'balkanfit.batch.{SECRET}', INVALID),
    ('secret of another team', f'balkanfit.desk.{OTHER_SECRET}', INVALID),
    ('digest as secret', f'balkanfit.desk.{FIRST.record.digest}', INVALID),
    ('zero secret, unknown team', 'nobody.desk.' + '0' * 64, INVALID),
]


class AuthenticateTest(unittest.TestCase):
    def test_each_key_names_its_own_team(self):
        """Guards against work that is booked to another team."""
        for issued, team_id, key_id in [
            (FIRST, 'balkanfit', 'desk'),
            (SECOND, 'balkanfit', 'batch'),
            (OTHER, 'remansito', 'desk'),
        ]:
            caller = authenticate(CONFIGURATION, 'quotes', issued.presented).unwrap()
            self.assertEqual(caller, Caller(team_id=team_id, key_id=key_id))

    def test_other_keys_are_refused_as_not_run_without_the_secret(self):
        """Guards against an accepted wrong key and against secrets in messages."""
        for name, presented, code in REFUSED_KEYS:
            with self.subTest(name):
                refusal = authenticate(CONFIGURATION, 'quotes', presented).unwrap_err()
                self.assertEqual(refusal.code, code)
                self.assertEqual(refusal.run_state, RunState.NOT_RUN)
                for secret in (SECRET, OTHER_SECRET, FIRST.record.digest):
                    self.assertNotIn(secret, repr(refusal))

    def test_withdrawn_key_is_refused_and_the_other_key_still_works(self):
        """Guards against a withdrawn key that works on."""
        team = CONFIGURATION.teams_by_id['balkanfit']
        left = replace(team, keys_by_id={'batch': SECOND.record})
        withdrawn = replace(CONFIGURATION, teams_by_id={'balkanfit': left})
        refusal = authenticate(withdrawn, 'quotes', FIRST.presented).unwrap_err()
        self.assertEqual(refusal.code, INVALID)
        self.assertTrue(authenticate(withdrawn, 'quotes', SECOND.presented).is_ok())

    def test_open_queue_takes_every_caller_for_no_team(self):
        """Guards against a key check where a cut-off host cannot trust it."""
        for presented in (None, '', 'malformed', FIRST.presented):
            caller = authenticate(CONFIGURATION, 'status', presented).unwrap()
            self.assertEqual(caller, Caller(team_id=None))

    def test_unknown_service_is_named(self):
        """Guards against a key that is valid for a service nobody configured."""
        refusal = authenticate(CONFIGURATION, 'kayaks', FIRST.presented).unwrap_err()
        self.assertEqual(refusal.code, ErrorCode.SERVICE_NOT_FOUND)
        self.assertIn('kayaks', refusal.message)

    def test_every_presented_key_costs_one_hash_and_one_comparison(self):
        """Guards against timing that tells which teams and key ids exist."""
        for name, presented, code in REFUSED_KEYS:
            if code is MISSING:
                continue
            with (
                self.subTest(name),
                mock.patch.object(hashlib, 'sha256', wraps=hashlib.sha256) as hashed,
                mock.patch.object(
                    hmac, 'compare_digest', wraps=hmac.compare_digest
                ) as compared,
            ):
                authenticate(CONFIGURATION, 'quotes', presented)
                self.assertEqual((hashed.call_count, compared.call_count), (1, 1))

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(strategies.text(max_size=300))
    def test_arbitrary_text_is_refused_and_never_raises(self, presented):
        """Guards against a malformed header that ends the daemon."""
        self.assertTrue(authenticate(CONFIGURATION, 'quotes', presented).is_err())


class IssueTest(unittest.TestCase):
    def test_repr_hides_the_secret(self):
        """Guards against a secret in a log line."""
        self.assertNotIn(SECRET, repr(FIRST))

    def test_bad_names_and_too_few_random_bytes(self):
        """Guards against a key that can never be parsed, or that is guessable."""
        for team_id, key_id in [('a.b', 'desk'), ('a', ''), ('A', 'x'), ('a', 'x\n')]:
            outcome = issue_key(team_id, key_id, bytes(KEY_RANDOM_BYTES))
            self.assertEqual(outcome.unwrap_err().code, ErrorCode.MALFORMED_REQUEST)
        with self.assertRaises(ValueError):
            issue_key('a', 'x', b'short')
