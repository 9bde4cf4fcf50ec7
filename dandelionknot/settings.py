"""Settings of an entry host, loaded from YAML and checked against the schema."""

from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot._generated_classes import (
    EntrySettings,
    LogLevel,
    OperatorAccess,
    OperatorRole,
    PeerAddress,
    StatsdSettings,
    TlsSettings,
)
from dandelionknot.addresses import address_problem, split_address
from dandelionknot.configuration._configuration_files import read_yaml_with_lines
from dandelionknot.configuration._faults import (
    ConfigurationFault,
    FaultKind,
    FieldFault,
    SourceFile,
    locate_in,
)

__all__ = [
    'EntrySettings',
    'LogLevel',
    'OperatorAccess',
    'OperatorRole',
    'PeerAddress',
    'StatsdSettings',
    'TlsSettings',
    'load_entry_settings',
    'operators_of',
    'split_address',
]

ADDRESS_FIELDS = (
    'caller_address',
    'operator_address',
    'peer_address',
    'platform_address',
    'advertised_peer_address',
)
# Class of each optional group of settings, by the field that contains the group.
CLASSES_BY_GROUP: dict[str, type] = {
    'caller_tls': TlsSettings,
    'statsd': StatsdSettings,
}


def load_entry_settings(path: Path) -> Result[EntrySettings, ConfigurationFault]:
    """Reads and checks the settings of an entry host.

    Unknown fields, duplicate keys, wrong types and values out of range are returned
    as faults with the file, the line and the field.
    """
    yaml_content = read_yaml_with_lines(path)
    if isinstance(yaml_content, Err):
        return yaml_content
    data = yaml_content.ok_value.data
    source = SourceFile(
        name=str(path), lines_by_field=yaml_content.ok_value.lines_by_field
    )
    locate = locate_in([source])
    checked = codec.check_fields(data, EntrySettings)
    if isinstance(checked, Err):
        problem = _problem_in_group(data, checked.err_value)
        return Err(locate(_malformed_fault(problem.field, problem.problem)))
    decoded = codec.from_data(data, EntrySettings, str(path))
    if isinstance(decoded, Err):
        return Err(locate(_malformed_fault('', decoded.err_value.problem)))
    fault = _operator_fault(decoded.ok_value) or _address_fault(decoded.ok_value)
    return Err(locate(fault)) if fault else Ok(decoded.ok_value)


def _problem_in_group(data: Any, outer: codec.FieldProblem) -> codec.FieldProblem:
    """Returns the problem of the innermost field if the outer field is a group.

    For a group that may also be null, the validator reports only the group itself.
    """
    cls = CLASSES_BY_GROUP.get(outer.field)
    if cls is None:
        return outer
    checked = codec.check_fields(data[outer.field], cls)
    if isinstance(checked, Ok):
        return outer
    inner = checked.err_value
    field = f'{outer.field}.{inner.field}' if inner.field else outer.field
    return codec.FieldProblem(field=field, problem=inner.problem)


def _address_fault(settings: EntrySettings) -> FieldFault | None:
    """Returns a fault for the first address that is not valid, or None.

    The schema checks only the form of an address.
    """
    for field in ADDRESS_FIELDS:
        address = getattr(settings, field)
        problem = address_problem(address) if address is not None else ''
        if problem:
            return FieldFault(kind=FaultKind.OUT_OF_RANGE, field=field, problem=problem)
    return None


def _malformed_fault(field: str, problem: str) -> FieldFault:
    return FieldFault(kind=FaultKind.MALFORMED, field=field, problem=problem)


def _operator_fault(settings: EntrySettings) -> FieldFault | None:
    """Returns the first fault of the two fields that define operators, or None."""
    fields_by_id = {
        **{name: f'operators_by_id.{name}' for name in settings.operators_by_id},
        **{
            name: f'operator_tokens_by_id.{name}'
            for name in settings.operator_tokens_by_id
        },
    }
    if not fields_by_id:
        return _malformed_fault(
            'operators_by_id',
            'names no operator, and neither does operator_tokens_by_id',
        )
    for name in settings.operator_tokens_by_id:
        if name in settings.operators_by_id:
            problem = f'operator {name!r} is in operators_by_id too'
            return _duplicate_fault(fields_by_id[name], problem)
    ids_by_token: dict[str, str] = {}
    for name, access in operators_of(settings).items():
        other = ids_by_token.setdefault(access.token, name)
        if other != name:
            # Operators are identified by their token, so both would vote as one.
            problem = f'operator {other!r} has the same token'
            return _duplicate_fault(fields_by_id[name], problem)
    return None


def _duplicate_fault(field: str, problem: str) -> FieldFault:
    return FieldFault(kind=FaultKind.DUPLICATE, field=field, problem=problem)


def operators_of(settings: EntrySettings) -> dict[str, OperatorAccess]:
    """Returns the operators of both fields by id.

    The older field `operator_tokens_by_id` has no roles. Its operators were allowed
    everything, so they are administrators.
    """
    administrators = {
        operator_id: OperatorAccess(token=token, role=OperatorRole.ADMINISTRATOR)
        for operator_id, token in settings.operator_tokens_by_id.items()
    }
    return administrators | settings.operators_by_id
