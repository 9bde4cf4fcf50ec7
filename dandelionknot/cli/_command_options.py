"""Options that commands share, and the wrapper of command functions for `fire`."""

import inspect
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire
from result import Err, Ok, Result

from dandelionknot.addresses import address_problem
from dandelionknot.cli._command_outcomes import Outcome, failure
from dandelionknot.cli._operator_client import Endpoint
from dandelionknot.exit_status import ExitStatus

DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 600_000
# Shared options without a value; `fire` passes them as the text True or False.
FLAGS = ('json', 'dry_run')
# Shared options of each kind of command, with their defaults as text.
OUTPUT_OPTIONS = {'json': 'False'}
REMOTE_OPTIONS = OUTPUT_OPTIONS | {
    'entry': '',
    'token_file': '',
    'timeout_ms': str(DEFAULT_TIMEOUT_MS),
}
CHANGE_OPTIONS = REMOTE_OPTIONS | {'dry_run': 'False', 'change_id': ''}


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """Sources of random bytes and of the wall-clock time, which tests replace."""

    random_bytes: Callable[[int], bytes]
    unix_ms: Callable[[], int]


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandCall:
    """One invocation of a command with the validated shared options."""

    environment: Environment
    json: bool
    dry_run: bool
    entry: str
    token_file: str
    timeout_ms: int
    change_id: str


class Command:
    """A command function with its parsed arguments, to be run after `fire` returns."""

    __slots__ = ('_function', '_arguments', '_keywords')

    def __init__(self, function: Callable[..., Outcome], arguments: Any, keywords: Any):
        self._function = function
        self._arguments = arguments
        self._keywords = keywords

    def __dir__(self) -> list[str]:
        """Hides all members; `fire` would access one that the next word names."""
        return []


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """The outcome of a command, and whether to print it as JSON."""

    outcome: Outcome
    json: bool


def run(command: Command, environment: Environment) -> CommandResult:
    """Checks the shared options of a parsed command and runs it."""
    keywords = dict(command._keywords)
    shared = {
        name: keywords.pop(name, default) for name, default in CHANGE_OPTIONS.items()
    }
    call = _call_from(shared, environment)
    if isinstance(call, Err):
        outcome = failure(ExitStatus.INVALID_INPUT, call.err_value)
        return CommandResult(outcome=outcome, json=False)
    outcome = command._function(call.ok_value, *command._arguments, **keywords)
    return CommandResult(outcome=outcome, json=call.ok_value.json)


def _call_from(
    options: dict[str, str], environment: Environment
) -> Result[CommandCall, str]:
    for name in FLAGS:
        if options[name] not in ('True', 'False'):
            return Err(f'--{name} takes no value, but {options[name]!r} was given')
    timeout_ms = parse_whole_number('--timeout_ms', options['timeout_ms'])
    if isinstance(timeout_ms, Err):
        return timeout_ms
    if not 1 <= timeout_ms.ok_value <= MAX_TIMEOUT_MS:
        return Err(f'--timeout_ms is not between 1 and {MAX_TIMEOUT_MS}')
    return Ok(
        CommandCall(
            environment=environment,
            json=options['json'] == 'True',
            dry_run=options['dry_run'] == 'True',
            entry=options['entry'],
            token_file=options['token_file'],
            timeout_ms=timeout_ms.ok_value,
            change_id=options['change_id'],
        )
    )


def parse_whole_number(name: str, text: str) -> Result[int, str]:
    """Parses a non-negative integer of at most 15 digits."""
    if text.isascii() and text.isdigit() and len(text) <= 15:
        return Ok(int(text))
    return Err(f'{name} {text!r} is not a whole number')


def endpoint(call: CommandCall) -> Result[Endpoint, str]:
    """Returns the entry host to connect to, with the operator's token."""
    if not call.entry:
        return Err('--entry IP:PORT is missing')
    problem = address_problem(call.entry)
    if problem:
        return Err(f'--entry: {problem}')
    if not call.token_file:
        return Err('--token_file FILE is missing')
    token = read_secret(call.token_file)
    if isinstance(token, Err):
        return token
    return Ok(
        Endpoint(address=call.entry, token=token.ok_value, timeout_ms=call.timeout_ms)
    )


def read_secret(path: str) -> Result[str, str]:
    """Reads a file that contains one secret and nothing else."""
    try:
        secret = Path(path).read_text(encoding='ascii').strip()
    except UnicodeDecodeError:
        return Err(f'{path}: is not ASCII text')
    except OSError as error:
        return Err(f'{path}: {error.strerror}')
    if not secret or not secret.isprintable() or ' ' in secret:
        return Err(f'{path}: must contain one secret without spaces on one line')
    return Ok(secret)


def command(
    options: dict[str, str],
) -> Callable[[Callable[..., Outcome]], Callable[..., Command]]:
    """Returns a decorator that wraps a command function for `fire`.

    The function takes a `CommandCall` and the arguments of the command. `fire` sees
    the arguments and the shared options, all as plain text, and gets a `Command`, so
    that nothing runs before the complete command line has been parsed.
    """

    def decorate(function: Callable[..., Outcome]) -> Callable[..., Command]:
        def parsed(*arguments: str, **keywords: str) -> Command:
            return Command(function, arguments, keywords)

        parsed.__name__ = function.__name__
        parsed.__doc__ = function.__doc__
        parsed.__signature__ = _signature(function, options)  # type: ignore[attr-defined]
        return fire.decorators.SetParseFn(str)(parsed)

    return decorate


def _signature(
    function: Callable[..., Outcome], options: dict[str, str]
) -> inspect.Signature:
    own = list(inspect.signature(function).parameters.values())[1:]
    shared = [
        inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=default)
        for name, default in options.items()
    ]
    return inspect.Signature([*own, *shared])
