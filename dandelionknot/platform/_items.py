"""Keys of the items that operators and backend servers store, and their decoding."""

import msgspec
from result import Err, Ok, Result

from dandelionknot.errors import DecodeError
from dandelionknot.jobs import _stored
from dandelionknot.platform import _decode
from dandelionknot.store import Item, Put

OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
EXCLUDED_ZONE_PREFIX = 'op/evacuate/'
WAVE_PREFIX = 'op/wave/'
BACKEND_PREFIX = 'servers/'
WAVE_STATUS_PREFIX = 'status/wave/'


def decode_fact(item: Item) -> Result[_stored.Fact | None, DecodeError]:
    """Decodes an item that operators or backend servers wrote.

    Returns None for items of dandelionknot itself, for those of other writers and for
    a deleted configuration.
    """
    key = item.key
    if key == CONFIGURATION_KEY:
        if item.deleted:
            return Ok(None)
        return _decode.configuration(item.value).map(
            lambda found: _stored.ConfigurationFact(found, item.revision)
        )
    if key.startswith(BACKEND_PREFIX):
        return _backend(key.removeprefix(BACKEND_PREFIX), item)
    if key.startswith(EXCLUDED_ZONE_PREFIX):
        zone = key.removeprefix(EXCLUDED_ZONE_PREFIX)
        return Ok(_stored.ZoneFact(zone, excluded=not item.deleted))
    if key.startswith(WAVE_PREFIX):
        number = key.removeprefix(WAVE_PREFIX)
        if item.deleted:
            return Ok(_stored.WaveFact(number, None))
        return _decode.wave(item.value).map(
            lambda found: _stored.WaveFact(number, found)
        )
    return Ok(None)


def _backend(backend_id: str, item: Item) -> Result[_stored.Fact, DecodeError]:
    if item.deleted:
        return Ok(_stored.BackendFact(backend_id, None))
    report = _decode.decode_backend_report(backend_id, item.value)
    if isinstance(report, Err):
        return report
    return Ok(_stored.BackendFact(backend_id, report.ok_value))


def wave_status(number: int, done: bool) -> Put:
    """Returns the item that shows operators the state of a wave."""
    state = 'done' if done else 'running'
    value = msgspec.json.encode({'wave': number, 'state': state})
    return Put(f'{WAVE_STATUS_PREFIX}{number}', value)
