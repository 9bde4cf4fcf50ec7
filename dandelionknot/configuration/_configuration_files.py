"""Reads and validates the base file and the overlays of the sites."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from result import Err, Ok, Result

from dandelionknot import codec
from dandelionknot._generated_classes import (
    Configuration,
    Host,
    HostOverlay,
    KeyRecord,
    MaintenancePlan,
    PlanOverlay,
    SiteOverlay,
    Team,
)
from dandelionknot.configuration._faults import (
    ConfigurationFault,
    FaultKind,
    FieldFault,
    SourceFile,
    fault_at,
    locate_in,
)

# Only the fleet writes these fields. A base file that contains one is rejected, since
# an old file could undo what the fleet has written.
FLEET_FIELDS = (
    'version',
    'change_ids',
    'moves_by_host',
    'limit_proposals_by_id',
    'voters_proposals_by_id',
)
# Sections in which overlays may change some fields of an entry, with the class that
# an entry has in the base file.
BASE_CLASSES_BY_SECTION: dict[str, Any] = {
    'hosts_by_id': Host,
    'teams_by_id': Team,
    'maintenance_plans_by_id': MaintenancePlan,
}

C = TypeVar('C')


@dataclass(frozen=True, slots=True, kw_only=True)
class BaseFile:
    """The base file that all sites share; its configuration has version 0."""

    source: SourceFile
    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class OverlayFile:
    """The overlay of one site."""

    source: SourceFile
    overlay: SiteOverlay


def load_base(path: Path) -> Result[BaseFile, list[ConfigurationFault]]:
    """Reads the base file, a `Configuration` without the fields the fleet writes."""
    yaml_content = read_yaml_with_lines(path)
    if isinstance(yaml_content, Err):
        return Err([yaml_content.err_value])
    source = SourceFile(
        name=str(path), lines_by_field=yaml_content.ok_value.lines_by_field
    )
    data = yaml_content.ok_value.data
    faults = [
        _not_in_base_fault(field)
        for field in FLEET_FIELDS
        if isinstance(data, dict) and field in data
    ]
    if faults:
        return Err([locate_in([source])(fault) for fault in faults])
    with_version = data | {'version': 0} if isinstance(data, dict) else data
    decoded = _decode(with_version, Configuration, source)
    return decoded.map(lambda value: BaseFile(source=source, configuration=value))


def load_overlay(path: Path) -> Result[OverlayFile, list[ConfigurationFault]]:
    """Reads and validates the overlay of a site."""
    yaml_content = read_yaml_with_lines(path)
    if isinstance(yaml_content, Err):
        return Err([yaml_content.err_value])
    source = SourceFile(
        name=str(path), lines_by_field=yaml_content.ok_value.lines_by_field
    )
    decoded = _decode(yaml_content.ok_value.data, SiteOverlay, source)
    return decoded.map(lambda value: OverlayFile(source=source, overlay=value))


def read_yaml_with_lines(path: Path) -> Result[codec.YamlWithLines, ConfigurationFault]:
    """Reads a YAML file and returns its data with the line number of each field."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return Err(_unreadable_fault(path, error.strerror or str(error), None))
    except UnicodeDecodeError as error:
        line = error.object.count(b'\n', 0, error.start) + 1
        return Err(_unreadable_fault(path, 'is not UTF-8 text', line))
    parsed = codec.parse_yaml_with_lines(text, str(path))
    if isinstance(parsed, Ok):
        return parsed
    problem = parsed.err_value
    fault = FieldFault(kind=FaultKind.MALFORMED, field='', problem=problem.problem)
    return Err(fault_at(fault, str(path), problem.line))


def _unreadable_fault(path: Path, problem: str, line: int | None) -> ConfigurationFault:
    fault = FieldFault(kind=FaultKind.UNREADABLE, field='', problem=problem)
    return fault_at(fault, str(path), line)


def _decode(
    data: Any, cls: type[C], source: SourceFile
) -> Result[C, list[ConfigurationFault]]:
    checked = codec.check_fields(data, cls)
    if isinstance(checked, Err):
        problem = checked.err_value
        if cls is SiteOverlay and isinstance(data, dict):
            problem = _problem_in_entry(data, problem)
        return Err([locate_in([source])(_schema_fault(problem, cls))])
    decoded = codec.from_data(data, cls, source.name)
    if isinstance(decoded, Ok):
        return decoded
    problem = codec.FieldProblem(field='', problem=decoded.err_value.problem)
    return Err([locate_in([source])(_schema_fault(problem, cls))])


def _problem_in_entry(
    overlay: Mapping[str, Any], outer: codec.FieldProblem
) -> codec.FieldProblem:
    """Returns the problem with the path of the field inside a nullable entry.

    For an entry that may be null, the validator reports only the path of the entry.
    Such an entry is checked again against its own class to find the field.
    """
    for prefix, value, cls in _entries_that_may_be_null(overlay):
        if prefix != outer.field or value is None:
            continue
        checked = codec.check_fields(value, cls)
        if isinstance(checked, Err):
            inner = checked.err_value
            field = f'{prefix}.{inner.field}' if inner.field else prefix
            return codec.FieldProblem(field=field, problem=inner.problem)
    return outer


def _entries_that_may_be_null(
    overlay: Mapping[str, Any],
) -> list[tuple[str, Any, type]]:
    """Returns the path, the value and the class of each nullable entry."""
    entries: list[tuple[str, Any, type]] = []
    for section, cls in (
        ('hosts_by_id', HostOverlay),
        ('maintenance_plans_by_id', PlanOverlay),
    ):
        for name, value in _mapping_or_empty(overlay.get(section)).items():
            entries.append((f'{section}.{name}', value, cls))
    for team, value in _mapping_or_empty(overlay.get('teams_by_id')).items():
        for key, record in _mapping_or_empty(
            _mapping_or_empty(value).get('keys_by_id')
        ).items():
            prefix = f'teams_by_id.{team}.keys_by_id.{key}'
            entries.append((prefix, record, KeyRecord))
    return entries


def _mapping_or_empty(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, dict) else {}


def _schema_fault(problem: codec.FieldProblem, cls: type) -> FieldFault:
    if cls is SiteOverlay and _is_base_field(problem.field):
        return FieldFault(
            kind=FaultKind.NOT_IN_OVERLAY,
            field=problem.field,
            problem='belongs to the base file; an overlay cannot change it',
        )
    return FieldFault(
        kind=FaultKind.MALFORMED, field=problem.field, problem=problem.problem
    )


def _is_base_field(field: str) -> bool:
    """Returns whether the field belongs to the base file and not to overlays."""
    section, *inner = field.split('.')
    if section not in SiteOverlay.__slots__:
        return section in Configuration.__slots__
    cls = BASE_CLASSES_BY_SECTION.get(section)
    overlay_fields: set[str] = {'keys_by_id', *HostOverlay.__slots__}
    overlay_fields.update(PlanOverlay.__slots__)
    if section == 'availability_zones_by_id':
        return inner[1:] == ['region']
    if cls is None or len(inner) != 2:
        return False
    return inner[1] in cls.__slots__ and inner[1] not in overlay_fields


def _not_in_base_fault(field: str) -> FieldFault:
    return FieldFault(
        kind=FaultKind.NOT_IN_BASE,
        field=field,
        problem='is written by the fleet and does not belong in a file',
    )
