"""Runs all tests but those in KNOWN-RED.txt and prints the totals.

`python -m tests [PATTERN]` runs only the tests whose id contains PATTERN.
"""

import logging
import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: '


def known_red_ids() -> set[str]:
    """Returns the test ids that KNOWN-RED.txt lists on its `test: ` lines."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def each_test(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from each_test(item)
        else:
            yield item


def _test_id(test: unittest.TestCase) -> str:
    """Returns the id of a test; all its subtests count as one."""
    return getattr(test, 'test_case', test).id()


def main(pattern: str = '') -> int:
    """Runs the tests and returns 0 only if at least one ran and none failed."""
    found = list(
        each_test(unittest.defaultTestLoader.discover('tests', top_level_dir='.'))
    )
    red_ids = known_red_ids()
    missing = red_ids - {test.id() for test in found}
    selected = [
        test for test in found if test.id() not in red_ids and pattern in test.id()
    ]
    logging.disable(logging.ERROR)
    started = time.monotonic()
    result = unittest.TextTestRunner(verbosity=1).run(unittest.TestSuite(selected))
    for test_id in sorted(red_ids - missing):
        print(f'known red, not run: {test_id}')
    for test_id in sorted(missing):
        print(f'KNOWN-RED.txt names a test that does not exist: {test_id}')
    failed = len({_test_id(test) for test, _ in result.failures + result.errors})
    failed += len(result.unexpectedSuccesses) + len(missing)
    passed = result.testsRun - failed + len(missing)
    print(f'took {time.monotonic() - started:.1f} s')
    print(f'{passed} passed, {failed} failed')
    return 0 if passed and not failed and result.wasSuccessful() else 1


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:2]))
