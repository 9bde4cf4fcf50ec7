"""Guards against requests that start on a configuration that was replaced."""

import itertools
import unittest
from dataclasses import replace
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from dandelionknot import decisions as d
from dandelionknot.configuration import FleetBounds
from dandelionknot.messages import ErrorCode, Pong, RunState
from tests.test_acceptance import member

BOUNDS = FleetBounds()
LIST = frozenset({'a', 'b', 'c'})


def state_at(version, read_ms=0):
    state = d.freshness.FreshnessState(member_id='a')
    d.freshness.observe_adoption(state, version)
    d.freshness.observe_platform_read(state, read_ms, version, 3, LIST)
    return state


def pong(version=5, revision=3, age=60_000):
    known = {'members_revision': revision, 'platform_age_ms': age}
    return Pong(configuration_version=version, **known)


class SourcesTest(unittest.TestCase):
    def test_age_counts_from_the_question_and_the_bound_is_exclusive(self):
        """Guards against an answer that was delayed by a pause and is taken as new."""
        state = state_at(5, read_ms=10_000)
        d.freshness.observe_platform_read(state, 9_000, 5, 3, LIST)
        times_ms = [9_999, 10_000, 14_999, 15_000, 900_000]
        fresh_ms = [
            time for time in times_ms if d.freshness.is_fresh(state, BOUNDS, time)
        ]
        self.assertEqual(fresh_ms, [10_000, 14_999])

    def test_peer_answers_and_full_rounds(self):
        """Guards against evidence that does not show the version to be the latest."""
        ok, old = pong(), pong(4)
        cases = [
            ('full round', {'b': (20_000, ok), 'c': (21_000, ok)}, 20_000),
            ('older versions', {'b': (20_000, old), 'c': (21_000, old)}, 20_000),
            ('one unresponsive peer', {'b': (20_000, ok)}, 0),
            ('newer version', {'b': (20_000, ok), 'c': (21_000, pong(6))}, 0),
            ('newer list', {'b': (20_000, ok), 'c': (21_000, pong(revision=4))}, 0),
            ('unlisted peer, newer', {'b': (20_000, ok), 'd': (1, pong(6))}, 0),
            ('restarted', {'b': (20_000, ok), 'c': (21_000, pong(age=None))}, 0),
            ('recent platform contact', {'b': (20_000, pong(age=500))}, 19_500),
            ('contact, newer version', {'b': (20_000, pong(6, age=500))}, 0),
            ('contact, newer list', {'b': (20_000, pong(5, 9, 500))}, 19_500),
        ]
        for name, answers, as_of_ms in cases:
            with self.subTest(name):
                state = state_at(5)
                for member_id, (sent_ms, answer) in answers.items():
                    d.freshness.observe_pong(state, member_id, sent_ms, answer)
                    d.freshness.observe_pong(state, member_id, sent_ms - 1, pong(7, 9))
                self.assertEqual(d.freshness.fresh_as_of_ms(state, 5, 3), as_of_ms)

    def test_a_list_without_its_configuration_gives_no_full_round(self):
        """Guards against a member list without the member that has a newer version."""
        state = state_at(5)
        d.freshness.observe_pong(state, 'c', 5_000, pong())
        d.freshness.observe_platform_read(state, 10_000, 6, 4, frozenset({'a', 'b'}))
        self.assertEqual(state.answers_by_member, {})
        d.freshness.observe_pong(state, 'b', 20_000, pong())
        self.assertEqual(d.freshness.fresh_as_of_ms(state, 5, 4), 20_000 - 60_000)
        d.freshness.observe_adoption(state, 6)
        self.assertEqual(d.freshness.fresh_as_of_ms(state, 6, 4), 20_000)

    def test_unlisted_or_empty_states_are_never_fresh(self):
        """Guards against a start by a member for which no acceptance waits."""
        unlisted = replace(state_at(5, 100), member_id='d')
        d.freshness.observe_pong(unlisted, 'b', 100, pong(age=0))
        alone = replace(state_at(5, -9_000), member_ids=frozenset({'a'}))
        for state in (unlisted, alone, d.freshness.FreshnessState(member_id='a')):
            self.assertFalse(d.freshness.is_fresh(state, BOUNDS, 100))

    def test_pings_are_answered_with_own_knowledge_only(self):
        """Guards against trust in a restored platform or a restarted member."""
        state = state_at(5)
        d.freshness.observe_platform_read(state, 9_000, 4, 3, LIST)
        self.assertEqual(d.freshness.answer_ping(state, 9_100), pong(age=9_100))
        state = d.freshness.FreshnessState(member_id='a')
        self.assertIsNone(d.freshness.answer_ping(state, 0))
        d.freshness.observe_adoption(state, 5)
        d.freshness.observe_adoption(state, 4)
        self.assertEqual(d.freshness.answer_ping(state, 0), pong(5, 0, None))

    def test_open_queues_of_the_own_zone_continue_to_the_isolation_bound(self):
        """Guards against open-queue starts past the bound, elsewhere or unconfirmed."""
        none = replace(BOUNDS, isolation_bound_ms=0)
        longer = FleetBounds(freshness_bound_ms=9_000, isolation_bound_ms=900_000)
        cases = [
            # bounds, confirmed version, open queue, own zone, now, starts
            (BOUNDS, 5, True, True, 124_999, True),
            (BOUNDS, 5, True, True, 125_000, False),
            (BOUNDS, 5, True, True, -1, False),
            (BOUNDS, 5, False, True, 5_000, False),
            (BOUNDS, 5, True, False, 5_000, False),
            (BOUNDS, 4, True, True, 5_000, False),
            (BOUNDS, None, True, True, 5_000, False),
            (BOUNDS, None, False, False, 4_999, True),
            (none, 5, True, True, 5_000, False),
            (none, 5, True, True, 4_999, True),
            (longer, 5, False, True, 5_000, False),
            (longer, 5, True, True, 125_000, False),
        ]
        for bounds, confirmed, *request, starts in cases:
            state = state_at(5)
            if confirmed is not None:
                d.freshness.observe_confirmation(state, confirmed, BOUNDS)
            outcome = d.freshness.may_start(state, bounds, *request)
            self.assertEqual(outcome.is_ok(), starts, (confirmed, request))
            if not starts:
                refusal = outcome.unwrap_err()
                self.assertEqual(refusal.code, ErrorCode.CONFIGURATION_NOT_FRESH)
                self.assertEqual(refusal.run_state, RunState.NOT_RUN)


# The isolation bound is short and the clocks run up to 2% too fast or too slow, so
# that waits are completed and the drift margin is used up.
MODEL_BOUNDS = FleetBounds(isolation_bound_ms=3_000)
STOP_TIME_MS = MODEL_BOUNDS.freshness_bound_ms + MODEL_BOUNDS.drift_margin_ms
NAMES = ('a', 'b', 'c', 'd')
PLATFORM = 'platform'
ENDS = (*NAMES, PLATFORM)
ZONES = {'a': 'zone-1', 'b': 'zone-1', 'c': 'zone-2', 'd': 'zone-2'}
RATES_PERCENT = {'a': 100, 'b': 102, 'c': 98, 'd': 101}
TICK_MS = 500
PARTITIONS = ['', 'a', 'b', 'ab', 'bc', 'ac', 'abc', 'bd', 'd', 'abcd']
optional_name = st.sampled_from([None] * 6 + list(NAMES))
delay_ms = st.sampled_from([0] * 5 + [700, 3_000, 6_000])


class FleetMachine(RuleBasedStateMachine):
    """Up to four members; the oracle knows the true time of each acceptance.

    A start takes effect up to `start_token_ms` after its check. The last start of
    an unresponsive member on an older version must have taken effect before the
    acceptance. A member whose record was deleted may still run. The acceptance does
    not wait for it, and it stops within the freshness bound.
    """

    def __init__(self):
        super().__init__()
        self.now_ms, self.version, self.list_revision = 0, 1, 0
        self.zones_by_version = {1: frozenset()}
        self.accepted, self.seen, self.last_start_ms, self.records = {}, {}, {}, {}
        self.partition, self.questions = frozenset(), []
        self.states = {
            name: d.freshness.FreshnessState(member_id=name) for name in NAMES
        }

    def clock(self, name):
        return 50_000 * NAMES.index(name) + self.now_ms * RATES_PERCENT[name] // 100

    def are_linked(self, first, second):
        return (first in self.partition) == (second in self.partition)

    @initialize(count=st.integers(2, 4))
    def start_fleet(self, count):
        for name in NAMES[:count]:
            self.join(name)
        self.run(4, (0, 0), None)

    @rule(name=st.sampled_from(NAMES))
    def join(self, name):
        if name not in self.records and self.are_linked(name, PLATFORM):
            self.list_revision += 1
            self.records[name] = member(name, 0, self.list_revision, 0, ZONES[name])

    @rule(
        partition=st.sampled_from(PARTITIONS).map(frozenset),
        restarted=optional_name,
        zones=st.sampled_from([None, None, '', 'zone-1', 'zone-2']),
        pause_ms=st.sampled_from([0] * 5 + [4_000, 20_000]),
        ticks=st.sampled_from([2, 9, 17, 34]),
        delays_ms=st.tuples(delay_ms, delay_ms),
        stopped=optional_name,
    )
    def phase(self, partition, restarted, zones, pause_ms, **run):
        """Partitions the fleet, restarts a member, withdraws a key or a zone.

        Then time passes. A pause of all processes delays the delivery of answers.
        """
        self.partition = partition
        if restarted:
            self.states[restarted] = d.freshness.FreshnessState(member_id=restarted)
        if zones is not None:
            self.change(frozenset({zones}))
        self.now_ms += pause_ms
        self.run(**run)

    def change(self, zones):
        """Writes a new version through a member, which reads it back later."""
        for name in self.records:
            is_current = self.states[name].configuration_version == self.version
            if is_current and self.are_linked(name, PLATFORM):
                self.version += 1
                self.zones_by_version[self.version] = zones
                return

    def run(self, ticks, delays_ms, stopped):
        active = [name for name in NAMES if name != stopped]
        for tick in range(ticks):
            self.check_starts()
            for name, target in itertools.product(active, ENDS):
                if tick % 2 == 0 and target != name and self.are_linked(name, target):
                    self.ask(name, target, *delays_ms)
            for question in list(self.questions):
                if {question.name, question.target} <= {*active, PLATFORM}:
                    self.handle(question)
            for name in active:
                if name in self.records and self.are_linked(name, PLATFORM):
                    self.confirm(name)
                    self.decide_acceptance(name)
            self.check_starts()
            self.now_ms += TICK_MS

    def ask(self, name, target, question_delay_ms, answer_delay_ms):
        question = SimpleNamespace(name=name, target=target, answer=None)
        question.state, question.sent_ms = self.states[name], self.clock(name)
        question.members = (self.list_revision, frozenset(self.records))
        question.answer_ms = self.now_ms + question_delay_ms
        question.deliver_ms = question.answer_ms + answer_delay_ms
        self.questions.append(question)

    def handle(self, question):
        if question.answer is None and question.answer_ms <= self.now_ms:
            is_linked = self.are_linked(question.name, question.target)
            question.answer = is_linked and self.answer(question.target)
        is_waiting = question.answer and question.deliver_ms > self.now_ms
        if question.answer is not None and not is_waiting:
            self.questions.remove(question)
            if question.answer and question.state is self.states[question.name]:
                self.deliver(question, question.state, question.answer)

    def answer(self, target):
        if target == PLATFORM:
            return self.version
        return d.freshness.answer_ping(self.states[target], self.clock(target)) or False

    def deliver(self, question, state, answer):
        sent_ms, target = question.sent_ms, question.target
        if target == PLATFORM:
            d.freshness.observe_adoption(state, answer)
            d.freshness.observe_platform_read(state, sent_ms, answer, *question.members)
        else:
            d.freshness.observe_pong(state, target, sent_ms, answer)
            d.freshness.observe_adoption(state, answer.configuration_version)

    def confirm(self, name):
        state, joined = self.states[name], self.records[name].joined_revision
        version, listed = state.configuration_version, state.members_revision
        if version is not None:
            self.records[name] = member(name, version, joined, listed, ZONES[name])
            d.freshness.observe_confirmation(state, version, MODEL_BOUNDS)

    def decide_acceptance(self, name):
        """Decides on acceptance of each version and deletes stopped members."""
        now_ms = self.clock(name)
        for version, zones in self.zones_by_version.items():
            seen = self.seen.get((name, version), {})
            seen = d.acceptance.observe_confirmations(
                seen, version, self.records, now_ms
            )
            self.seen[name, version] = seen
            observed = d.acceptance.Observation(
                version=version,
                members_by_id=self.records,
                first_seen_confirmed_ms_by_member=seen,
                bounds=MODEL_BOUNDS,
                now_ms=now_ms,
            )
            if isinstance(
                d.acceptance.acceptance(observed, zones), d.acceptance.Accepted
            ):
                self.accept(version)
        for absent in NAMES:
            if d.acceptance.may_delete_record(
                observed, absent, holds_grants=False, owns_slices=False
            ).is_ok():
                del self.records[absent]
                self.list_revision += 1

    def is_affected(self, name, is_open, version):
        return not is_open or ZONES[name] in self.zones_by_version[version]

    def accept(self, version):
        if version in self.accepted:
            return
        self.accepted[version] = (self.now_ms, frozenset(self.records))
        for (name, used, is_open), start_ms in self.last_start_ms.items():
            record = self.records.get(name)
            if record and record.confirmed_version < version and used < version:
                is_late = start_ms + MODEL_BOUNDS.start_token_ms > self.now_ms
                assert not (is_late and self.is_affected(name, is_open, version)), name

    def check_starts(self):
        for name, is_open in itertools.product(NAMES, (False, True)):
            state, now_ms = self.states[name], self.clock(name)
            if d.freshness.may_start(
                state, MODEL_BOUNDS, is_open, True, now_ms
            ).is_err():
                continue
            used = state.configuration_version
            self.last_start_ms[name, used, is_open] = self.now_ms
            for version, (accepted_ms, waited_for) in self.accepted.items():
                if version > used and self.is_affected(name, is_open, version):
                    is_unrecorded = name not in waited_for
                    is_in_time = self.now_ms - accepted_ms <= STOP_TIME_MS
                    assert is_unrecorded and is_in_time, (name, used, version, is_open)


class ScenarioTest(unittest.TestCase):
    def test_full_rounds_do_not_rely_on_a_restarted_or_an_unlisted_witness(self):
        """Guards against peers that lost a version or whose list is too old.

        The random search does not reach these sequences within its examples.
        """
        restart = [('ab', None, ''), ('abc', 'c', None)]
        joined_later = [('ab', None, None), ('ab', None, '')]
        for count, joining, phases in [(3, 'c', restart), (2, 'c', joined_later)]:
            machine = FleetMachine()
            machine.start_fleet(count=count)
            machine.partition = frozenset('ab')
            machine.join(joining)
            for partition, restarted, zones in phases:
                run = {'ticks': 34, 'delays_ms': (0, 0), 'stopped': None}
                machine.phase(frozenset(partition), restarted, zones, 0, **run)
            self.assertEqual(machine.version, 2)


FleetTest = FleetMachine.TestCase
LIMITS = {'max_examples': 400, 'stateful_step_count': 12}
FleetTest.settings = settings(derandomize=True, deadline=None, database=None, **LIMITS)
