"""Rows of measured values, printed as a table and written as JSON."""

from dataclasses import dataclass, field

import msgspec


@dataclass(frozen=True, slots=True)
class Row:
    """The measured values of one variant in one measurement.

    The field names are keys of the written JSON.
    """

    measurement: str
    variant: str
    figures: dict[str, float] = field(default_factory=dict)


def format_rows(rows: list[Row]) -> str:
    """Returns the rows as text, with one table for each measurement."""
    lines: list[str] = []
    for name in dict.fromkeys(row.measurement for row in rows):
        chosen = [row for row in rows if row.measurement == name]
        headers = list(dict.fromkeys(key for row in chosen for key in row.figures))
        width = max(len(row.variant) for row in chosen)
        lines += ['', name, ' ' * width + ''.join(f'  {key}' for key in headers)]
        for row in chosen:
            cells = [f'{row.figures.get(key, 0):>{len(key)}g}' for key in headers]
            lines.append(row.variant.ljust(width) + ''.join(f'  {c}' for c in cells))
    return '\n'.join(lines)


def encode_rows(rows: list[Row]) -> bytes:
    """Returns the rows as an indented JSON array."""
    return msgspec.json.format(msgspec.json.encode(rows), indent=2)
