"""Guards against work that starts on a configuration that was replaced."""

import unittest
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from dandelionknot.configuration import FleetBounds
from dandelionknot.decisions import (
    Accepted,
    FreshnessState,
    acceptance,
    answer_ping,
    fresh_as_of_ms,
    is_fresh,
    may_delete_record,
    may_start,
    observe_adoption,
    observe_confirmation,
    observe_confirmations,
    observe_platform_read,
    observe_pong,
)
from dandelionknot.messages import ErrorCode, Member, Pong, RunState

BOUNDS = FleetBounds()
LIST = frozenset({'a', 'b', 'c'})


def state_at(version, revision=3, read_ms=None):
    state = FreshnessState(member_id='a')
    observe_adoption(state, version)
    observe_platform_read(state, read_ms or 0, version, revision, LIST)
    return state


def pong(version=5, revision=3, age_ms=60_000):
    return Pong(
        configuration_version=version, members_revision=revision, platform_age_ms=age_ms
    )


class SourcesTest(unittest.TestCase):
    def test_age_counts_from_the_question_and_the_bound_is_exclusive(self):
        """Guards against an answer that arrives after a pause and looks new."""
        state = state_at(5, read_ms=10_000)
        for now_ms, fresh in [
            (10_000, True),
            (14_999, True),
            (15_000, False),
            (900_000, False),
            (9_999, False),
        ]:
            self.assertEqual(is_fresh(state, BOUNDS, now_ms), fresh, now_ms)
        observe_platform_read(state, 9_000, 5, 3, LIST)
        self.assertEqual(fresh_as_of_ms(state, 5, 3), 10_000)

    def test_peer_answers_and_full_rounds(self):
        """Guards against evidence that does not show the version to be the latest."""
        ok, old = pong(), pong(version=4)
        cases = [
            ('full round', {'b': (20_000, ok), 'c': (21_000, ok)}, 20_000),
            (
                'peers on older versions',
                {'b': (20_000, old), 'c': (21_000, old)},
                20_000,
            ),
            ('one peer silent', {'b': (20_000, ok)}, 0),
            ('peer on newer version', {'b': (20_000, ok), 'c': (21_000, pong(6))}, 0),
            ('newer list', {'b': (20_000, ok), 'c': (21_000, pong(revision=4))}, 0),
            ('unlisted peer, newer', {'b': (20_000, ok), 'd': (1, pong(6))}, 0),
            ('restarted', {'b': (20_000, ok), 'c': (21_000, pong(age_ms=None))}, 0),
            ('recent platform contact', {'b': (20_000, pong(age_ms=500))}, 19_500),
            ('contact, newer version', {'b': (20_000, pong(6, age_ms=500))}, 0),
            ('contact, newer list', {'b': (20_000, pong(5, 9, 500))}, 19_500),
        ]
        for name, answers, as_of_ms in cases:
            with self.subTest(name):
                state = state_at(5)
                for member_id, (sent_ms, answer) in answers.items():
                    observe_pong(state, member_id, sent_ms, answer)
                    observe_pong(state, member_id, sent_ms - 1, pong(7, 9))
                self.assertEqual(fresh_as_of_ms(state, 5, 3), as_of_ms)

    def test_a_list_without_its_configuration_gives_no_full_round(self):
        """Guards against a list that lacks the member that knows a newer version."""
        state = state_at(5)
        observe_platform_read(state, 10_000, 6, 4, frozenset({'a', 'b'}))
        observe_pong(state, 'b', 20_000, pong())
        self.assertEqual(fresh_as_of_ms(state, 5, 4), 20_000 - 60_000)
        observe_adoption(state, 6)
        self.assertEqual(fresh_as_of_ms(state, 6, 4), 20_000)

    def test_unlisted_or_empty_states_are_never_fresh(self):
        """Guards against a start by a member that no acceptance waits for."""
        unlisted = FreshnessState(member_id='d', configuration_version=5)
        observe_platform_read(unlisted, 100, 5, 3, LIST)
        observe_pong(unlisted, 'b', 100, pong(age_ms=0))
        alone = FreshnessState(member_id='a', configuration_version=5)
        observe_platform_read(alone, -9_000, 5, 3, frozenset({'a'}))
        for state in (unlisted, alone, FreshnessState(member_id='a')):
            self.assertFalse(is_fresh(state, BOUNDS, 100))

    def test_read_of_an_older_version_is_no_evidence(self):
        """Guards against trust in a platform that was restored to an old value."""
        state = state_at(5)
        observe_platform_read(state, 9_000, 4, 3, LIST)
        self.assertEqual(fresh_as_of_ms(state, 5, 3), 0)
        self.assertEqual(answer_ping(state, 9_100), pong(age_ms=9_100))

    def test_ping_is_answered_only_with_own_knowledge(self):
        """Guards against a restarted member that vouches for a peer's version."""
        state = FreshnessState(member_id='a')
        self.assertIsNone(answer_ping(state, 0))
        observe_adoption(state, 5)
        self.assertEqual(answer_ping(state, 0), pong(5, 0, None))
        observe_adoption(state, 4)
        self.assertEqual(state.configuration_version, 5)

    def test_open_queues_of_the_own_zone_continue_to_the_isolation_bound(self):
        """Guards against open work past its bound, elsewhere, or unconfirmed."""
        none = replace(BOUNDS, isolation_bound_ms=0)
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
        ]
        for bounds, confirmed, is_open, own_zone, now_ms, starts in cases:
            with self.subTest(confirmed=confirmed, open=is_open, now_ms=now_ms):
                state = state_at(5)
                if confirmed is not None:
                    observe_confirmation(state, confirmed)
                outcome = may_start(state, bounds, is_open, own_zone, now_ms)
                self.assertEqual(outcome.is_ok(), starts)
                if not starts:
                    refusal = outcome.unwrap_err()
                    self.assertEqual(refusal.code, ErrorCode.CONFIGURATION_NOT_FRESH)
                    self.assertEqual(refusal.run_state, RunState.NOT_RUN)


# The isolation bound is short and the clocks differ by up to 2%, so that the
# whole waits are reached and the drift margin is used up.
MODEL_BOUNDS = FleetBounds(isolation_bound_ms=3_000)
NAMES = ('a', 'b', 'c', 'd')
PLATFORM = 'platform'
ENDS = (*NAMES, PLATFORM)
ZONES = {'a': 'zone-1', 'b': 'zone-1', 'c': 'zone-2', 'd': 'zone-2'}
RATES_PERCENT = {'a': 100, 'b': 102, 'c': 98, 'd': 101}
TICK_MS = 500
SIDES = ['', 'a', 'b', 'ab', 'bc', 'ac', 'abc', 'bd', 'd', 'abcd']
rarely_a_name = st.sampled_from([None] * 6 + list(NAMES))
delay_ms = st.sampled_from([0] * 5 + [700, 3_000, 6_000])


@dataclass(slots=True, kw_only=True)
class Question:
    """A question in flight, and its answer once it has one."""

    node: 'Node'
    target: str
    sent_ms: int
    members: tuple
    answer_at_ms: int
    deliver_at_ms: int
    answer: Pong | int | None = None


@dataclass(slots=True)
class Node:
    """One incarnation of a member and what it saw of each version."""

    state: FreshnessState
    seen_by_version: dict = field(default_factory=dict)


class FleetMachine(RuleBasedStateMachine):
    """Up to four members; the oracle knows the true time of each acceptance.

    A start takes effect up to `start_token_ms` after its check, so a silent
    member's last start on an older version has taken effect at acceptance. A
    member whose record was deleted may be alive: it is not waited for, and
    stops within the freshness bound.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.version = 1
        self.zones_by_version = {1: frozenset()}
        self.accepted_ms = {}
        self.waited_for = {}
        self.list_revision = 0
        self.records = {}
        self.side = frozenset()
        self.questions = []
        self.nodes = {name: Node(FreshnessState(member_id=name)) for name in NAMES}
        self.last_start_ms = {}

    def clock(self, name):
        return 50_000 * NAMES.index(name) + self.now_ms * RATES_PERCENT[name] // 100

    def linked(self, first, second):
        return (first in self.side) == (second in self.side)

    @initialize(count=st.integers(2, 4))
    def start_fleet(self, count):
        for name in NAMES[:count]:
            self.join(name)
        self.run(4, (0, 0), None)

    @rule(name=st.sampled_from(NAMES))
    def join(self, name):
        if name not in self.records and self.linked(name, PLATFORM):
            self.list_revision += 1
            self.records[name] = Member(
                member_id=name,
                incarnation='',
                availability_zone=ZONES[name],
                peer_address='',
                confirmed_version=0,
                joined_revision=self.list_revision,
            )

    @rule(
        side=st.sampled_from(SIDES).map(frozenset),
        restarted=rarely_a_name,
        is_changed=st.booleans(),
        zones=st.sampled_from([(), ('zone-1',), ('zone-2',)]),
        pause_ms=st.sampled_from([0] * 5 + [4_000, 20_000]),
        ticks=st.sampled_from([2, 9, 17, 34]),
        delays_ms=st.tuples(delay_ms, delay_ms),
        stopped=rarely_a_name,
    )
    def phase(self, side, restarted, is_changed, zones, pause_ms, **run):
        """Partitions the fleet, restarts a member, changes the configuration.

        Then time passes; a pause of all processes leaves answers undelivered.
        """
        self.side = side
        if restarted:
            self.nodes[restarted] = Node(FreshnessState(member_id=restarted))
        if is_changed:
            self.change(frozenset(zones))
        self.now_ms += pause_ms
        self.run(**run)

    def change(self, zones):
        """Withdraws a key, or takes a zone out; the answer to the write is lost."""
        for name in self.records:
            version = self.nodes[name].state.configuration_version
            if version == self.version and self.linked(name, PLATFORM):
                self.version += 1
                self.zones_by_version[self.version] = zones
                return

    def run(self, ticks, delays_ms, stopped):
        for tick in range(ticks):
            self.check_starts()
            active = [name for name in NAMES if name != stopped]
            for name in active:
                for target in ENDS:
                    if target != name and tick % 2 == 0:
                        self.ask(name, target, *delays_ms)
            for question in list(self.questions):
                if question.node.state.member_id in active and question.target in (
                    *active,
                    PLATFORM,
                ):
                    self.handle(question)
            for name in active:
                if name in self.records and self.linked(name, PLATFORM):
                    self.confirm(name)
                    self.judge(name)
            self.check_starts()
            self.now_ms += TICK_MS

    def ask(self, name, target, question_delay_ms, answer_delay_ms):
        if self.linked(name, target):
            answer_at_ms = self.now_ms + question_delay_ms
            question = Question(
                node=self.nodes[name],
                target=target,
                sent_ms=self.clock(name),
                members=(self.list_revision, frozenset(self.records)),
                answer_at_ms=answer_at_ms,
                deliver_at_ms=answer_at_ms + answer_delay_ms,
            )
            self.questions.append(question)

    def handle(self, question):
        state = question.node.state
        if question.answer is None and question.answer_at_ms <= self.now_ms:
            if self.linked(state.member_id, question.target):
                question.answer = self.answer(question.target)
            if question.answer is None:
                self.questions.remove(question)
                return
        if question.answer is not None and question.deliver_at_ms <= self.now_ms:
            self.questions.remove(question)
            if question.node is self.nodes[state.member_id]:
                self.deliver(question, state)

    def answer(self, target):
        if target == PLATFORM:
            return self.version
        return answer_ping(self.nodes[target].state, self.clock(target))

    def deliver(self, question, state):
        sent_ms, answer = question.sent_ms, question.answer
        if question.target == PLATFORM:
            observe_adoption(state, answer)
            observe_platform_read(state, sent_ms, answer, *question.members)
        else:
            observe_pong(state, question.target, sent_ms, answer)
            observe_adoption(state, answer.configuration_version)

    def confirm(self, name):
        state = self.nodes[name].state
        version, revision = state.configuration_version, state.members_revision
        if version is not None:
            self.records[name] = replace(
                self.records[name], confirmed_version=version, members_revision=revision
            )
            observe_confirmation(state, version)

    def judge(self, name):
        """Decides on acceptance of each version and deletes stopped members."""
        seen, now_ms = self.nodes[name].seen_by_version, self.clock(name)
        for version, zones in self.zones_by_version.items():
            known = seen.get(version, {})
            seen[version] = observe_confirmations(known, version, self.records, now_ms)
            evidence = (version, self.records, seen[version], MODEL_BOUNDS, now_ms)
            if isinstance(acceptance(*evidence, zones), Accepted):
                self.accept(version, zones)
        for absent in NAMES:
            if may_delete_record(absent, *evidence, False, False).is_ok():
                del self.records[absent]
                self.list_revision += 1

    def accept(self, version, zones):
        if version in self.accepted_ms:
            return
        self.accepted_ms[version] = self.now_ms
        self.waited_for[version] = frozenset(self.records)
        for (name, used, is_open), start_ms in self.last_start_ms.items():
            record = self.records.get(name)
            if record is None or record.confirmed_version >= version:
                continue
            if used < version and (not is_open or ZONES[name] in zones):
                effect_ms = start_ms + MODEL_BOUNDS.start_token_ms
                assert effect_ms <= self.now_ms, (name, used, version, is_open)

    def check_starts(self):
        for name, node in self.nodes.items():
            for is_open in (False, True):
                clock_ms = self.clock(name)
                if may_start(node.state, MODEL_BOUNDS, is_open, True, clock_ms).is_ok():
                    used = node.state.configuration_version
                    self.last_start_ms[name, used, is_open] = self.now_ms
                    for version in range(used + 1, self.version + 1):
                        zones = self.zones_by_version[version]
                        if not is_open or ZONES[name] in zones:
                            assert not self.is_in_force(version, name), (name, used)

    def is_in_force(self, version, name):
        accepted_ms = self.accepted_ms.get(version)
        if accepted_ms is None or name in self.waited_for[version]:
            return accepted_ms is not None
        grace_ms = MODEL_BOUNDS.freshness_bound_ms + MODEL_BOUNDS.drift_margin_ms
        return self.now_ms - accepted_ms > grace_ms


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=12,
)
FleetTest = FleetMachine.TestCase
