"""Settings of a manager process."""

from pathlib import Path
from typing import Any

import msgspec
import yaml
from result import Err, Ok, Result

from dandelionknot.errors import DecodeError
from dandelionknot.jobs._generated import ManagerSettings

__all__ = ['ManagerSettings', 'load_manager_settings']


def load_manager_settings(path: Path) -> Result[ManagerSettings, DecodeError]:
    """Reads and validates a settings file.

    The error names the file and, where known, the line or the field.
    """
    where = str(path)
    try:
        data = yaml.safe_load(path.read_text(encoding='utf-8'))
        return Ok(msgspec.convert(_without_empty(data), ManagerSettings))
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        place = f'{where}:{mark.line + 1}' if mark else where
        return Err(DecodeError(where=place, problem=str(error)))
    except (OSError, UnicodeDecodeError, msgspec.ValidationError) as error:
        return Err(DecodeError(where=where, problem=str(error)))


def _without_empty(data: Any) -> Any:
    """Drops fields without a value, so that their defaults apply."""
    if not isinstance(data, dict):
        return data
    return {
        name: _without_empty(value) for name, value in data.items() if value is not None
    }
