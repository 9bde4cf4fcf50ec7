"""The tree of commands, the parsing of a command line with `fire`, and help texts."""

import contextlib
import inspect
import io
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import fire
from result import Err, Ok, Result

from dandelionknot.cli import (
    _commands_changes as changes,
)
from dandelionknot.cli import (
    _commands_files as files,
)
from dandelionknot.cli import (
    _commands_local as local,
)
from dandelionknot.cli import (
    _commands_queries as queries,
)
from dandelionknot.cli import (
    _commands_where as where_to,
)
from dandelionknot.cli._command_options import Command

PROGRAM = 'dandelionknot'
HELP_FLAGS = ('--help', '-h')
# `fire` takes the words after this separator as its own flags. The separator is
# rejected, since one of these flags, --interactive, opens a Python shell.
FIRE_FLAGS_SEPARATOR = '--'

# Beginnings of two error texts of `fire`, followed by the name of the argument.
FIRE_UNEXPECTED_PREFIX = 'Could not consume arg: '
FIRE_MISSING_PREFIX = 'The function received no value for the required argument: '

COMMANDS: dict[str, Any] = {
    'entry': local.entry,
    'manager': local.manager,
    'explain': local.explain,
    'where': where_to.where,
    'check': files.check,
    'diff': files.diff_files,
    'apply': files.apply,
    'confirmed': queries.confirmed,
    'key': {'give': changes.key_give, 'withdraw': changes.key_withdraw},
    'move': changes.move,
    'cancel-move': changes.cancel_move,
    'zone': {'out': changes.zone_out, 'back': changes.zone_back},
    'drain': changes.drain,
    'undrain': changes.undrain,
    'limit': {'propose': changes.limit_propose, 'vote': changes.vote},
    'voters': {
        'propose': files.voters_propose,
        'vote': changes.vote,
        'show': queries.voters_show,
    },
    'plan': {
        'create': changes.plan_create,
        'show': queries.plan_show,
        'pause': changes.plan_pause,
        'resume': changes.plan_resume,
    },
    'member': {'gone': changes.member_gone},
    'status': queries.status,
    'why': queries.why,
    'histograms': queries.histograms,
    'submit': local.submit,
}
COMMANDS['completion'] = local.completion_for(COMMANDS)


def parse(argv: Sequence[str]) -> Result[Command, str]:
    """Parses a command line into a command; an error is one line of text."""
    if not argv:
        return Err(f'a command is missing; {PROGRAM} --help lists them')
    if FIRE_FLAGS_SEPARATOR in argv:
        return Err(f'{FIRE_FLAGS_SEPARATOR} is not an option')
    problem = _command_name_problem(argv)
    if problem:
        return Err(problem)
    # On an error, `fire` prints a usage text of many lines, which is discarded.
    discarded_output = io.StringIO()
    try:
        with (
            contextlib.redirect_stdout(discarded_output),
            contextlib.redirect_stderr(discarded_output),
        ):
            parsed = fire.Fire(COMMANDS, list(argv), PROGRAM, lambda _: None)
    except fire.core.FireExit as stop:
        if stop.trace.HasError():
            return Err(_simplify_error(stop.trace.elements[-1].ErrorAsStr()))
        return Err(f'{argv[-1]!r} is not an option')
    if isinstance(parsed, Command):
        return Ok(parsed)
    return Err(f'unexpected argument {argv[-1]!r}')


def _simplify_error(error_text: str) -> str:
    """Rewords the two most frequent errors of `fire`; returns others as they are."""
    if error_text.startswith(FIRE_UNEXPECTED_PREFIX):
        return (
            f'unexpected argument {error_text.removeprefix(FIRE_UNEXPECTED_PREFIX)!r}'
        )
    if error_text.startswith(FIRE_MISSING_PREFIX):
        return f'argument {error_text.removeprefix(FIRE_MISSING_PREFIX)} is missing'
    return error_text


def _command_name_problem(argv: Sequence[str]) -> str:
    """Returns why the first words do not name a command, or an empty string."""
    node: Any = COMMANDS
    path: list[str] = []
    for word in argv:
        if not isinstance(node, dict):
            return ''
        if word not in node:
            known = ', '.join(node)
            parent_words = ' '.join(path) + ' ' if path else ''
            return f'unknown command {parent_words + word!r}; known are: {known}'
        node = node[word]
        path.append(word)
    if isinstance(node, dict):
        return f'{" ".join(path)} needs one of: {", ".join(node)}'
    return ''


def help_lines(argv: Sequence[str]) -> list[str]:
    """Returns the usage and a description of each command that matches the words."""
    words = ' '.join(word for word in argv if word not in HELP_FLAGS)
    lines: list[str] = []
    for name, function in leaves(COMMANDS):
        if name == words or name.startswith(f'{words} ') or not words:
            lines.append(f'{PROGRAM} {name}{_usage(function)}')
            lines.append(f'    {inspect.getdoc(function)}')
    return lines


def leaves(tree: Mapping[str, Any], prefix: str = '') -> Iterator[tuple[str, Any]]:
    """Yields the full name and the function of each command of the tree."""
    for word, node in tree.items():
        name = f'{prefix} {word}'.strip()
        if isinstance(node, dict):
            yield from leaves(node, name)
        else:
            yield name, node


def _usage(function: Any) -> str:
    text = ''
    for name, parameter in inspect.signature(function).parameters.items():
        if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
            text += f' [{name.upper()}...]'
        elif parameter.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD:
            optional = parameter.default is not inspect.Parameter.empty
            text += f' [{name.upper()}]' if optional else f' {name.upper()}'
        elif parameter.default == 'False':
            text += f' [--{name}]'
        elif parameter.default is inspect.Parameter.empty:
            text += f' --{name} VALUE'
        else:
            text += f' [--{name} VALUE]'
    return text
