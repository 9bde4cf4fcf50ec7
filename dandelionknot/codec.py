"""Encoding of the schema's classes as JSON, CBOR and YAML.

Functions that decode external data return a `Result`. Malformed data is returned
as a `DecodeError` with its location and the problem, never raised as an exception.
"""

import json
import re
from dataclasses import dataclass
from typing import Any, TypeVar

import cbor2
import fastjsonschema
import msgspec
import yaml
from result import Err, Ok, Result

from dandelionknot._generated_validators import VALIDATORS_BY_NAME
from dandelionknot.errors import DecodeError

T = TypeVar('T')


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys, which PyYAML silently accepts."""

    def construct_object(self, node: yaml.Node, deep: bool = False) -> Any:
        """Constructs a value; an error in it is raised with its position.

        For a value that is not valid for its implicit type, such as a date that does
        not exist, PyYAML raises a `ValueError` without a position.
        """
        try:
            return super().construct_object(node, deep=deep)
        except ValueError as error:
            raise yaml.constructor.ConstructorError(
                None, None, str(error), node.start_mark
            ) from error


def _construct_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict:
    keys: set = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)  # type: ignore[no-untyped-call]
        if not isinstance(key, str):
            raise yaml.constructor.ConstructorError(
                None, None, f'key {key!r} is not a string', key_node.start_mark
            )
        if key in keys:
            raise yaml.constructor.ConstructorError(
                None, None, f'key {key!r} is defined twice', key_node.start_mark
            )
        keys.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


_UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping
)


def parse_yaml(text: str, where: str) -> Result[Any, DecodeError]:
    """Parses YAML text; duplicate keys and keys that are not strings are errors."""
    try:
        return Ok(yaml.load(text, Loader=_UniqueKeyLoader))  # noqa: S506
    except RecursionError:
        return Err(DecodeError(where=where, problem='nested too deeply'))
    except yaml.reader.ReaderError as error:
        line = text.count('\n', 0, error.position) + 1
        problem = f'character #x{error.character:04x} is not allowed'
        return Err(DecodeError(where=f'{where}:{line}', problem=problem, line=line))
    except (yaml.YAMLError, ValueError) as error:
        mark = getattr(error, 'problem_mark', None)
        location = f'{where}:{mark.line + 1}' if mark else where
        problem = getattr(error, 'problem', None) or str(error)
        return Err(
            DecodeError(
                where=location, problem=problem, line=mark.line + 1 if mark else None
            )
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class YamlWithLines:
    """Plain data, and the line of each field by its path, such as `a.b[0]`."""

    data: Any
    lines_by_field: dict[str, int]


def _record_lines(
    node: yaml.Node | None, field: str, lines: dict[str, int], seen: set[int]
) -> None:
    # Each aliased node is visited once, since nested aliases expand exponentially.
    if node is None or id(node) in seen:
        return
    seen.add(id(node))
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            inner = f'{field}.{key_node.value}' if field else str(key_node.value)
            lines[inner] = key_node.start_mark.line + 1
            _record_lines(value_node, inner, lines, seen)
    elif isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            lines[f'{field}[{index}]'] = item.start_mark.line + 1
            _record_lines(item, f'{field}[{index}]', lines, seen)


def parse_yaml_with_lines(text: str, where: str) -> Result[YamlWithLines, DecodeError]:
    """Parses YAML text like `parse_yaml` and records the line of each field."""
    parsed = parse_yaml(text, where)
    if isinstance(parsed, Err):
        return parsed
    lines: dict[str, int] = {}
    try:
        _record_lines(yaml.compose(text, Loader=yaml.SafeLoader), '', lines, set())
    except RecursionError:
        return Err(DecodeError(where=where, problem='nested too deeply'))
    return Ok(YamlWithLines(data=parsed.ok_value, lines_by_field=lines))


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldProblem:
    """Path of a field that does not match the schema, and the problem."""

    field: str
    problem: str


def check_fields(data: Any, cls: type) -> Result[None, FieldProblem]:
    """Checks plain data against the schema of a class.

    The error has the path of the innermost field, unlike the error of `check`.
    """
    try:
        VALIDATORS_BY_NAME[cls.__name__](data, {}, None)
    except fastjsonschema.JsonSchemaValueException as error:
        return Err(_field_problem(error))
    except RecursionError:
        return Err(FieldProblem(field='', problem='nested too deeply'))
    return Ok(None)


def _field_problem(error: fastjsonschema.JsonSchemaValueException) -> FieldProblem:
    name = str(error.name)
    field = name.removeprefix('data').removeprefix('.')
    problem = error.message.removeprefix(name).strip()
    if not isinstance(error.value, dict):
        return FieldProblem(field=field, problem=problem)
    names = sorted(map(str, error.value))
    known = error.definition.get('properties', {})
    if error.rule == 'additionalProperties':
        name = next(name for name in names if name not in known)
        problem = 'is not a known field'
    elif error.rule == 'required':
        name = next(name for name in error.rule_definition if name not in error.value)
        problem = 'is missing'
    elif error.rule == 'propertyNames':
        pattern = error.rule_definition['pattern']
        name = next(name for name in names if not re.search(pattern, name))
        problem = f'the name must match pattern {pattern}'
    else:
        return FieldProblem(field=field, problem=problem)
    return FieldProblem(field=f'{field}.{name}' if field else name, problem=problem)


def check(data: Any, cls: type, where: str) -> Result[None, DecodeError]:
    """Checks plain data against the schema of a class."""
    try:
        VALIDATORS_BY_NAME[cls.__name__](data, {}, where)
    except fastjsonschema.JsonSchemaValueException as error:
        return Err(DecodeError(where=where, problem=error.message))
    except RecursionError:
        return Err(DecodeError(where=where, problem='nested too deeply'))
    return Ok(None)


def from_data(data: Any, cls: type[T], where: str) -> Result[T, DecodeError]:
    """Checks plain data and converts it to an instance of the class."""
    checked = check(data, cls, where)
    if isinstance(checked, Err):
        return checked
    try:
        return Ok(msgspec.convert(data, cls))
    except (msgspec.ValidationError, OverflowError) as error:
        return Err(DecodeError(where=where, problem=str(error)))


def to_data(value: Any) -> Any:
    """Converts an instance of a schema class to plain data."""
    return msgspec.to_builtins(value)


def decode_yaml(text: str, cls: type[T], where: str) -> Result[T, DecodeError]:
    """Decodes YAML text into an instance of a schema class."""
    return parse_yaml(text, where).and_then(lambda data: from_data(data, cls, where))


def decode_json(data: bytes | str, cls: type[T], where: str) -> Result[T, DecodeError]:
    """Decodes a JSON document into an instance of a schema class."""
    try:
        plain = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Err(DecodeError(where=where, problem=str(error)))
    return from_data(plain, cls, where)


def encode_json(value: Any) -> bytes:
    """Encodes an instance of a schema class as JSON."""
    return msgspec.json.encode(value)


def decode_cbor(data: bytes, cls: type[T], where: str) -> Result[T, DecodeError]:
    """Decodes a CBOR document into an instance of a schema class."""
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, OverflowError) as error:
        return Err(DecodeError(where=where, problem=str(error)))
    return from_data(plain, cls, where)


def encode_cbor(value: Any) -> bytes:
    """Encodes an instance of a schema class as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value))


def pretty_json(value: Any) -> str:
    """Returns indented JSON with sorted keys, for reading and for `diff`."""
    return json.dumps(to_data(value), indent=2, sort_keys=True)
