"""Guards against edits that accept wrong input, change too much or undo other edits."""

import unittest
from dataclasses import replace

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from dandelionknot.configuration import (
    Configuration,
    Cooperative,
    HostState,
    KeyRecord,
    MaintenancePlan,
    PlanState,
    Team,
    VotersProposal,
    ZoneState,
)
from dandelionknot.operators import (
    Edit,
    EditDecisions,
    EditErrorKind,
    EditKind,
    apply_edit,
    differences_from_files,
)
from tests.test_examples import load_example

RECORD = KeyRecord(salt='0' * 32, digest='a' * 64)
HOST = 'quotes-north-sofia-1'
FIRST = replace(load_example('balkanfit'), version=1)


def decisions(calls):
    """Returns decisions that allow every edit and add their calls to `calls`."""

    def note(name):
        def decide(configuration, *arguments):
            calls.append((name, arguments))
            return Ok(configuration)

        return decide

    names = EditDecisions.__slots__
    return EditDecisions(**{name: note(name) for name in names})


def edited(current, kind, **fields):
    """Returns the result of an edit that every decision allows."""
    edit = Edit(kind=EditKind(kind), **fields)
    return apply_edit(current, edit, 'ana', 0, decisions([]))


class RefusalTest(unittest.TestCase):
    def test_wrong_edits_are_refused_with_their_kind(self):
        """Guards against accepting edits of absent entries or with wrong fields."""
        finished = replace(
            FIRST.maintenance_plans_by_id['sofia-spring'], state=PlanState.FINISHED
        )
        ended = replace(FIRST, maintenance_plans_by_id={'sofia-spring': finished})
        running = edited(FIRST, 'plan_resume', plan_id='sofia-spring').unwrap()
        key = {'team': 'hotel-group', 'key_id': 'demo'}
        kinds = EditErrorKind
        cases = [
            (FIRST, 'give_key', key, kinds.MALFORMED),
            (FIRST, 'zone_out', {}, kinds.MALFORMED),
            (FIRST, 'vote', {'proposal_id': 'p', 'team': 'x'}, kinds.MALFORMED),
            (FIRST, 'drain_host', {'host_id': HOST, 'force': True}, kinds.MALFORMED),
            (FIRST, 'give_key', key | {'key_record': RECORD}, kinds.ALREADY_EXISTS),
            (FIRST, 'withdraw_key', key | {'key_id': 'other'}, kinds.NOT_FOUND),
            (FIRST, 'withdraw_key', key | {'team': 'other'}, kinds.NOT_FOUND),
            (FIRST, 'zone_out', {'availability_zone': 'rome'}, kinds.NOT_FOUND),
            (FIRST, 'drain_host', {'host_id': 'other'}, kinds.NOT_FOUND),
            (running, 'undrain_host', {'host_id': HOST}, kinds.WRONG_STATE),
            (FIRST, 'plan_create', {'plan_id': 'p', 'hosts': ['x']}, kinds.NOT_FOUND),
            (
                FIRST,
                'plan_create',
                {'plan_id': 'p', 'hosts': [HOST, HOST]},
                kinds.MALFORMED,
            ),
            (
                FIRST,
                'plan_create',
                {'plan_id': 'sofia-spring', 'hosts': [HOST]},
                kinds.ALREADY_EXISTS,
            ),
            (ended, 'plan_resume', {'plan_id': 'sofia-spring'}, kinds.WRONG_STATE),
            (
                FIRST,
                'member_gone',
                {'member_id': 'entry-1'},
                kinds.NOT_A_CONFIGURATION_EDIT,
            ),
        ]
        for configuration, kind, fields, expected in cases:
            with self.subTest(kind=kind, fields=fields):
                outcome = edited(configuration, kind, **fields)
                self.assertIsInstance(outcome, Err)
                self.assertEqual(outcome.err_value.kind, expected)

    def test_moves_votes_and_drains_ask_the_decisions(self):
        """Guards against moves, votes and drains that do not call their decision."""
        voters = {'proposal_id': 'p', 'cooperatives_by_id': {}}
        cases = [
            ('move_host', {'host_id': HOST, 'to_pool': 'ledger-bridge'}, 'begin_move'),
            ('cancel_move', {'host_id': HOST}, 'cancel_move'),
            (
                'propose_limit',
                {'proposal_id': 'p', 'team': 'hotel-group', 'new_limit': 9},
                'propose_limit',
            ),
            ('propose_voters', voters, 'propose_voters'),
            ('vote', {'proposal_id': 'p'}, 'cast_vote'),
            ('drain_host', {'host_id': HOST}, 'may_drain'),
            ('zone_out', {'availability_zone': 'sofia'}, 'may_take_zone_out'),
        ]
        for kind, fields, name in cases:
            with self.subTest(kind=kind):
                edit = Edit(kind=EditKind(kind), **fields)
                calls = []
                apply_edit(FIRST, edit, 'ana', 0, decisions(calls)).unwrap()
                self.assertEqual([call[0] for call in calls], [name])
                votes = ('propose_limit', 'propose_voters', 'cast_vote')
                operator = ('ana',) if name in votes else ()
                self.assertEqual(calls[0][1], (*fields.values(), *operator))
                refusing = replace(
                    decisions([]), **{name: lambda *_: Err('over the budget')}
                )
                outcome = apply_edit(FIRST, edit, 'ana', 0, refusing)
                self.assertEqual(outcome.err_value.message, 'over the budget')


class ReplacementTest(unittest.TestCase):
    def test_files_cannot_stop_or_move_active_hosts(self):
        """Guards against files that remove or relocate a host while it runs tasks."""
        without = {k: v for k, v in FIRST.hosts_by_id.items() if k != HOST}
        host = FIRST.hosts_by_id[HOST]
        moved = replace(host, address='10.9.9.9:7000')
        drained = edited(FIRST, 'drain_host', host_id=HOST).unwrap()
        service = replace(FIRST.services_by_id['quotes-north'], max_unavailable=8)
        services = FIRST.services_by_id | {'quotes-north': service}
        needs_all_hosts = replace(drained, services_by_id=services)
        cases = [
            (FIRST, without, EditErrorKind.WRONG_STATE),
            (FIRST, FIRST.hosts_by_id | {HOST: moved}, EditErrorKind.WRONG_STATE),
            (needs_all_hosts, without, EditErrorKind.INCONSISTENT),
            (drained, without, None),
            (drained, FIRST.hosts_by_id | {HOST: moved}, None),
        ]
        for current, hosts, expected in cases:
            offered = replace(current, hosts_by_id=hosts)
            outcome = edited(current, 'apply_configuration', configuration=offered)
            found = outcome.err_value.kind if isinstance(outcome, Err) else None
            self.assertEqual(found, expected)

    def test_files_cannot_change_the_voters(self):
        """Guards against a base file that changes voters or proposals without a vote.

        Without this, an operator could make themselves the only voter.
        """
        voters = FIRST.cooperatives_by_id
        name = min(voters)
        first, *others = voters[name].voters
        eve_alone = Cooperative(voters=['eve'])
        forged = VotersProposal(
            base_cooperatives_by_id=voters,
            new_cooperatives_by_id=voters | {name: eve_alone},
            proposer=first,
            approvals=voters[name].voters,
        )
        empty = {name: Cooperative(voters=[])}
        no_voters = replace(FIRST, cooperatives_by_id=empty)
        field = f'cooperatives_by_id.{name}'
        cases = [
            (
                FIRST,
                voters | {name: eve_alone},
                f'{field}.voters: changes only with a vote',
            ),
            (FIRST, {}, f'{field}, cooperatives_by_id.'),
            (
                FIRST,
                voters | {'new': eve_alone},
                'cooperatives_by_id.new: changes only',
            ),
            (FIRST, voters | {name: Cooperative(voters=[*others, first])}, None),
            (no_voters, {name: eve_alone}, None),
        ]
        for current, offered_voters, text in cases:
            with self.subTest(text=text):
                offered = replace(
                    FIRST,
                    cooperatives_by_id=offered_voters,
                    voters_proposals_by_id={'p': forged},
                )
                outcome = edited(current, 'apply_configuration', configuration=offered)
                if text is None:
                    after = outcome.unwrap()
                    self.assertEqual(after.cooperatives_by_id, offered_voters)
                    self.assertEqual(after.voters_proposals_by_id, {})
                    continue
                self.assertEqual(outcome.err_value.kind, EditErrorKind.NEEDS_VOTE)
                self.assertIn(text, outcome.err_value.message)

    def test_plans_lose_removed_hosts_and_finished_plans_are_dropped(self):
        """Guards against plans that block the removal of a host or accumulate."""
        drained = edited(FIRST, 'drain_host', host_id=HOST).unwrap()
        hosts = [HOST, 'quotes-south-varna-1']
        ended = MaintenancePlan(hosts=hosts, state=PlanState.FINISHED)
        plans = {'old': ended, 'only': MaintenancePlan(hosts=[HOST])}
        plans |= FIRST.maintenance_plans_by_id
        current = replace(drained, maintenance_plans_by_id=plans)
        hosts = {k: v for k, v in FIRST.hosts_by_id.items() if k != HOST}
        offered = replace(FIRST, hosts_by_id=hosts, maintenance_plans_by_id={})
        after = edited(current, 'apply_configuration', configuration=offered).unwrap()
        self.assertEqual(list(after.maintenance_plans_by_id), ['sofia-spring'])
        self.assertNotIn(HOST, after.maintenance_plans_by_id['sofia-spring'].hosts)
        many = {f'old-{number}': ended for number in range(30)} | plans
        current = replace(FIRST, maintenance_plans_by_id=many)
        after = edited(current, 'plan_create', plan_id='p', hosts=[HOST]).unwrap()
        states = [plan.state for plan in after.maintenance_plans_by_id.values()]
        self.assertEqual(states.count(PlanState.FINISHED), 20)
        self.assertNotIn('old-10', after.maintenance_plans_by_id)
        self.assertEqual(
            list(after.maintenance_plans_by_id)[-2:], ['sofia-spring', 'p']
        )

    def test_only_the_first_configuration_sets_limits(self):
        """Guards against files that set an upper limit without a vote."""
        team = Team(upper_limit=50, keys_by_id={'k': RECORD})
        teams = FIRST.teams_by_id | {'new': team}
        teams['hotel-group'] = replace(teams['hotel-group'], upper_limit=900, share=9)
        offered = replace(FIRST, teams_by_id=teams)
        empty = Configuration(version=0)
        first = edited(empty, 'apply_configuration', configuration=offered).unwrap()
        self.assertEqual(first.teams_by_id, teams)
        later = edited(FIRST, 'apply_configuration', configuration=offered).unwrap()
        self.assertEqual(later.teams_by_id['new'], replace(team, upper_limit=0))
        self.assertEqual(later.teams_by_id['hotel-group'].upper_limit, 60)
        self.assertEqual(later.teams_by_id['hotel-group'].share, 9)
        self.assertEqual(
            [str(change) for change in differences_from_files(offered, later)],
            [
                'team hotel-group: upper_limit 900 -> 60',
                'team new: upper_limit 50 -> 0',
            ],
        )


teams = strategies.sampled_from(['hotel-group', 'gym-chain-west'])
keys = strategies.sampled_from(['demo', 'k1', 'k2'])
zones = strategies.sampled_from(['sofia', 'varna'])
hosts = strategies.sampled_from([HOST, 'quotes-south-varna-1'])


class EditMachine(RuleBasedStateMachine):
    """Guards against an edit, or older files, that undo another edit.

    The test oracle is the set of keys, zones out of service and draining hosts that
    result from the steps so far.
    """

    def __init__(self):
        super().__init__()
        self.configuration = FIRST
        self.history = [FIRST]
        self.keys = {(team, 'demo') for team in FIRST.teams_by_id}
        self.zones_out = set()
        self.draining = set()

    def _edit(self, kind, **fields):
        outcome = edited(self.configuration, kind, **fields)
        if isinstance(outcome, Ok):
            self.configuration = outcome.ok_value
            self.history.append(self.configuration)
        return isinstance(outcome, Ok)

    @rule(team=teams, key=keys)
    def give(self, team, key):
        given = self._edit('give_key', team=team, key_id=key, key_record=RECORD)
        record = self.configuration.teams_by_id[team].keys_by_id[key]
        assert given == (record == RECORD)
        self.keys.add((team, key))

    @rule(team=teams, key=keys)
    def withdraw(self, team, key):
        known = (team, key) in self.keys
        assert self._edit('withdraw_key', team=team, key_id=key) == known
        self.keys.discard((team, key))

    @rule(zone=zones, out=strategies.booleans())
    def zone(self, zone, out):
        assert self._edit('zone_out' if out else 'zone_back', availability_zone=zone)
        (self.zones_out.add if out else self.zones_out.discard)(zone)

    @rule(host=hosts, drain=strategies.booleans())
    def drain(self, host, drain):
        assert self._edit('drain_host' if drain else 'undrain_host', host_id=host)
        (self.draining.add if drain else self.draining.discard)(host)

    @rule(choice=strategies.integers(0, 1000))
    def apply_older_files(self, choice):
        offered = self.history[choice % len(self.history)]
        assert self._edit('apply_configuration', configuration=offered)

    @invariant()
    def matches_the_oracle(self):
        now = self.configuration
        found = {(t, k) for t, team in now.teams_by_id.items() for k in team.keys_by_id}
        assert found == self.keys
        states = now.availability_zones_by_id.items()
        out = {zone for zone, z in states if z.state is ZoneState.OUT_OF_SERVICE}
        assert out == self.zones_out
        hosts_now = now.hosts_by_id.items()
        assert {
            h for h, v in hosts_now if v.state is HostState.DRAINING
        } == self.draining
        assert len(hosts_now) == len(FIRST.hosts_by_id)
        assert now.bounds == FIRST.bounds


EditMachineTest = EditMachine.TestCase
EditMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=25,
)
