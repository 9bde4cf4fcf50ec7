"""Guards against a configuration that goes back or a change made twice."""

import unittest
from dataclasses import replace

from result import Err, Ok

from dandelionknot import decisions as d
from dandelionknot.configuration import Configuration, Pool


def after(*change_ids, pools=()):
    document = Configuration(version=len(change_ids), change_ids=list(change_ids[-64:]))
    return replace(document, pools_by_id={name: Pool() for name in pools})


def add_pool(current):
    return Ok(replace(current, version=99, change_ids=[], pools_by_id={'p': Pool()}))


class VersionsTest(unittest.TestCase):
    def test_adoption(self):
        """Guards against a return to an older version and against two histories."""
        known = after('x', 'y')
        many = [str(number) for number in range(d.MAX_CHANGE_IDS + 2)]
        cases = [
            ('first', None, known, d.Adopt(configuration=known)),
            ('next', known, after('x', 'y', 'z'), d.Adopt),
            ('oldest id listed', after('0', '1'), after(*many[:65]), d.Adopt),
            ('oldest id differs', known, after(*many[:65]), d.Diverged),
            ('beyond the list', known, after(*many), d.Adopt),
            ('no history', Configuration(version=0), known, d.Adopt),
            ('same', known, after('x', 'y'), d.Keep(configuration=known)),
            ('restored platform', known, after('x'), d.Republish(configuration=known)),
            ('other content', known, after('x', 'y', pools='p'), d.Diverged),
            ('newer, other history', known, after('x', 'o', 'z'), d.Diverged),
            ('history cut', known, replace(known, version=3), d.Diverged),
            ('no ids', known, replace(known, version=3, change_ids=[]), d.Diverged),
        ]
        for name, ours, offered, expected in cases:
            outcome = d.adopt(ours, offered)
            is_kind = isinstance(expected, type)
            self.assertEqual(type(outcome) if is_kind else outcome, expected, name)
        diverged = d.adopt(known, after('x', 'o', pools='p'))
        self.assertEqual(diverged.fields, ('change_ids', 'pools_by_id'))

    def test_a_write_whose_answer_was_lost_is_not_made_twice(self):
        """Guards against a change that is applied again on a retry."""
        written = d.next_version(after('x'), 'y', add_pool).unwrap()
        self.assertEqual(written, after('x', 'y', pools='p'))
        followed = d.next_version(written, 'z', Ok).unwrap()
        self.assertIs(d.next_version(followed, 'y', add_pool).unwrap(), followed)
        versions = [
            d.version_of_change(followed, each) for each in ('x', 'y', 'z', '?')
        ]
        self.assertEqual(versions, [1, 2, 3, None])

    def test_the_second_of_two_operators_gets_a_conflict(self):
        """Guards against a change that silently undoes another operator's."""
        base, mine, other = after('x'), after('x', pools='m'), after('x', pools='o')
        first = d.next_version(base, 'y', d.replace_base(1, mine)).unwrap()
        second = d.next_version(first, 'z', d.replace_base(1, other))
        self.assertEqual(second, Err(d.Conflict(base_version=1, current_version=2)))

    def test_the_list_of_change_ids_is_bounded(self):
        """Guards against a document that outgrows its schema."""
        full = after(*[str(number) for number in range(d.MAX_CHANGE_IDS)])
        grown = d.next_version(full, 'last', Ok).unwrap()
        self.assertEqual(grown.change_ids, [*full.change_ids[1:], 'last'])
        self.assertEqual(d.version_of_change(grown, '1'), 2)
