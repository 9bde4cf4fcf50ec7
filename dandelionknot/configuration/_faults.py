"""Faults of configuration files, each with its file and line."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """What is wrong with a configuration."""

    UNREADABLE = 'unreadable'
    MALFORMED = 'malformed'
    NOT_IN_BASE = 'not_in_base'
    NOT_IN_OVERLAY = 'not_in_overlay'
    NOT_OF_SITE = 'not_of_site'
    UNKNOWN_REFERENCE = 'unknown_reference'
    DUPLICATE = 'duplicate'
    OUT_OF_RANGE = 'out_of_range'


@dataclass(frozen=True, slots=True, kw_only=True)
class FieldFault:
    """A fault of one field, which is named by its path in the configuration."""

    kind: FaultKind
    field: str
    problem: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFault:
    """A fault with the file and the line of the field; `line` is None if unknown."""

    kind: FaultKind
    file: str
    line: int | None
    field: str
    problem: str

    def __str__(self) -> str:
        """Formats the fault as one line, such as `base.yaml:3: pools_by_id: ...`."""
        location = self.file if self.line is None else f'{self.file}:{self.line}'
        subject = f'{self.field}: ' if self.field else ''
        return f'{location}: {subject}{self.problem}'


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceFile:
    """The name of a configuration file and the line number of each field in it."""

    name: str
    lines_by_field: dict[str, int]


Locate = Callable[[FieldFault], ConfigurationFault]


def parent_field(field: str) -> str:
    """Returns the path of the containing field, or '' for a top-level field."""
    end = max(field.rfind('.'), field.rfind('['), 0)
    return field[:end]


def locate_in(files: list[SourceFile]) -> Locate:
    """Returns a function that adds the file and the line to a fault.

    The location is that of the first file that contains the field. If no file contains
    it, the same is tried with the containing field, up to the top level. A fault for
    which no file contains any of these fields gets the last file and no line.
    """

    def locate(fault: FieldFault) -> ConfigurationFault:
        field = fault.field
        while field:
            for file in files:
                if field in file.lines_by_field:
                    return fault_at(fault, file.name, file.lines_by_field[field])
            field = parent_field(field)
        return fault_at(fault, files[-1].name, None)

    return locate


def fault_at(fault: FieldFault, file: str, line: int | None) -> ConfigurationFault:
    """Returns the fault with the given file and line."""
    return ConfigurationFault(
        kind=fault.kind,
        file=file,
        line=line,
        field=fault.field,
        problem=fault.problem,
    )
