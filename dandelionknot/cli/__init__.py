"""Command line for operators, and to start an entry host or a manager."""

import secrets
import sys
import time
from collections.abc import Sequence

from result import Err

from dandelionknot import codec
from dandelionknot.cli._command_options import CommandResult, Environment, run
from dandelionknot.cli._command_outcomes import Outcome, failure
from dandelionknot.cli._commands import HELP_FLAGS, PROGRAM, help_lines, parse
from dandelionknot.exit_status import ExitStatus

__all__ = ['Environment', 'main']

SYSTEM_ENVIRONMENT = Environment(
    random_bytes=secrets.token_bytes, unix_ms=lambda: time.time_ns() // 1_000_000
)


def main(
    argv: Sequence[str] | None = None, environment: Environment = SYSTEM_ENVIRONMENT
) -> ExitStatus:
    """Runs one command line and returns the exit status.

    Results are printed to standard output. A failure also prints one line to standard
    error.
    """
    words = list(sys.argv[1:] if argv is None else argv)
    if any(word in HELP_FLAGS for word in words):
        return _print_result(CommandResult(outcome=_help_outcome(words), json=False))
    parsed = parse(words)
    if isinstance(parsed, Err):
        outcome = failure(ExitStatus.USAGE, parsed.err_value)
        return _print_result(CommandResult(outcome=outcome, json=False))
    try:
        command_result = run(parsed.ok_value, environment)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return _print_result(command_result)


def _help_outcome(words: list[str]) -> Outcome:
    lines = help_lines(words)
    if lines:
        return Outcome(lines=lines)
    name = ' '.join(word for word in words if word not in HELP_FLAGS)
    return failure(ExitStatus.USAGE, f'no command begins with {name!r}')


def _print_result(command_result: CommandResult) -> ExitStatus:
    outcome = command_result.outcome
    if command_result.json and outcome.data is not None:
        print(codec.pretty_json(outcome.data))
    elif not command_result.json:
        for line in outcome.lines:
            print(line)
    if outcome.error:
        print(f'{PROGRAM}: {outcome.error}', file=sys.stderr)
    return outcome.status
