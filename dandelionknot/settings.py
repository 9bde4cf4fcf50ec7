"""Settings of a process, loaded from a YAML file and checked against the schema."""

from pathlib import Path

from result import Err, Result

from dandelionknot import codec
from dandelionknot._generated_classes import (
    EntrySettings,
    LogLevel,
    PeerAddress,
    StatsdSettings,
    TlsSettings,
)

__all__ = [
    'EntrySettings',
    'LogLevel',
    'PeerAddress',
    'StatsdSettings',
    'TlsSettings',
    'load_entry_settings',
    'split_address',
]


def load_entry_settings(path: Path) -> Result[EntrySettings, codec.DecodeError]:
    """Reads the settings of an entry host.

    Unknown fields, duplicate keys, wrong types and values out of range are
    errors that name the file, the line or the field.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(codec.DecodeError(where=str(path), problem=str(error)))
    return codec.decode_yaml(text, EntrySettings, str(path))


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` as checked by the schema."""
    host, _, port = address.rpartition(':')
    return host, int(port)
