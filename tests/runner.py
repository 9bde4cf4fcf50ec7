"""Runs all tests except those in KNOWN-RED.txt and prints the totals.

`python -m tests [PATTERN]` runs only the tests whose module or id contains PATTERN.
Modules run in parallel in a few processes, since fleet tests mostly wait.
"""

import io
import logging
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: '
PROCESSES = 4


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
    """Yields each test of a suite and of the suites in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from each_test(item)
        else:
            yield item


def _test_id(test: unittest.TestCase) -> str:
    """Returns the id of a test, or that of the test to which a subtest belongs."""
    # A test class may have its own attribute `id`, which hides the method.
    return unittest.TestCase.id(getattr(test, 'test_case', test))


@dataclass(frozen=True, slots=True)
class Totals:
    """The number of tests run in one module, its failed tests and their report."""

    run: int
    failed_ids: frozenset[str]
    report: str


def run_module(module: str, test_ids: list[str]) -> Totals:
    """Runs the listed tests of one module in this process."""
    logging.disable(logging.ERROR)
    wanted = set(test_ids)
    loaded = unittest.defaultTestLoader.loadTestsFromName(module)
    suite = unittest.TestSuite(
        test for test in each_test(loaded) if test.id() in wanted
    )
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream=stream, verbosity=1).run(suite)
    failed = {_test_id(test) for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    return Totals(result.testsRun, frozenset(failed), stream.getvalue())


def select(pattern: str, red_ids: set[str]) -> dict[str, list[str]]:
    """Returns the ids of the tests to run, by module.

    Prints the known red tests, and exits if a listed one does not exist.
    """
    ids_by_module: dict[str, list[str]] = {}
    found_ids: set[str] = set()
    for path in sorted((ROOT / 'tests').glob('test_*.py')):
        module = f'tests.{path.stem}'
        for test in each_test(unittest.defaultTestLoader.loadTestsFromName(module)):
            name = f'{module} {test.id()}'
            if test.id() not in red_ids and pattern in name:
                ids_by_module.setdefault(module, []).append(test.id())
            found_ids.add(test.id())
    for test_id in sorted(red_ids & found_ids):
        print(f'known red, not run: {test_id}')
    for test_id in sorted(red_ids - found_ids):
        raise SystemExit(f'KNOWN-RED.txt names a test that does not exist: {test_id}')
    return ids_by_module


def main(pattern: str = '') -> int:
    """Runs the tests; returns 0 if at least one ran and none failed, otherwise 1."""
    red_ids = known_red_ids()
    ids_by_module = select(pattern, red_ids)
    started = time.monotonic()
    run = 0
    failed: set[str] = set()
    with ProcessPoolExecutor(PROCESSES, mp_context=get_context('spawn')) as pool:
        totals_by_module = {
            module: pool.submit(run_module, module, ids)
            for module, ids in ids_by_module.items()
        }
        for module, future in totals_by_module.items():
            totals = future.result()
            run += totals.run
            failed |= totals.failed_ids
            outcome = 'failed' if totals.failed_ids else 'passed'
            print(f'{module}: {totals.run} tests, {outcome}', flush=True)
            if totals.failed_ids:
                print(totals.report)
    print(f'took {time.monotonic() - started:.1f} s')
    print(f'{run - len(failed)} passed, {len(failed)} failed')
    return 0 if run and not failed else 1
