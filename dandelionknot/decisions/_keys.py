"""Issues and checks team keys.

A key has the form `team.key_id.secret`. Only a salted SHA-256 digest of the secret
is stored. The secret has 256 random bits, so a slow password hash would add
milliseconds to every request without adding protection.
"""

import hashlib
import hmac
import re
import sys
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration, KeyRecord, QueueAccess
from dandelionknot.messages import ErrorCode, Refusal, RunState

SALT_BYTES = 16
SECRET_BYTES = 32
KEY_RANDOM_BYTES = SALT_BYTES + SECRET_BYTES
MAX_KEY_LENGTH = 256

_NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_SECRET = re.compile(r'[0-9a-f]{64}')

# Used in place of the record of a team or key id that does not exist, so that the
# response time does not reveal which of them exist.
_DUMMY_RECORD = KeyRecord(salt='00' * SALT_BYTES, digest='00' * 32)


@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedKey:
    """A new key, which is shown to the operator once, and the record to store."""

    key: str = field(repr=False)
    record: KeyRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerIdentity:
    """Team and key of a request; both are None on an open queue."""

    team_id: str | None
    key_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class _PresentedKey:
    """The parts of a key that a caller sent."""

    team_id: str
    key_id: str
    secret: str = field(repr=False)


_MALFORMED_KEY = _PresentedKey(team_id='', key_id='', secret='')


def issue_key(
    team_id: str, key_id: str, random_bytes: bytes
) -> Result[IssuedKey, Refusal]:
    """Creates a key from `KEY_RANDOM_BYTES` random bytes.

    A team or key id that the schema does not allow is refused. A wrong number
    of random bytes is a programming error and raises `ValueError`.
    """
    if len(random_bytes) != KEY_RANDOM_BYTES:
        raise ValueError(f'a key needs exactly {KEY_RANDOM_BYTES} random bytes')
    for name in (team_id, key_id):
        if not _NAME.fullmatch(name):
            message = f'{name!r} is not a valid team or key id'
            return Err(_refusal(ErrorCode.MALFORMED_REQUEST, message))
    salt = random_bytes[:SALT_BYTES]
    secret = random_bytes[SALT_BYTES:].hex()
    record = KeyRecord(salt=salt.hex(), digest=_digest(salt.hex(), secret))
    key = f'{team_id}.{key_id}.{secret}'
    return Ok(IssuedKey(key=key, record=record))


def authenticate(
    configuration: Configuration, service_id: str, presented: str | None
) -> Result[CallerIdentity, Refusal]:
    """Checks the key of a request to a service and returns its team and key id.

    A key sent to an open queue is ignored, and the request belongs to no team. An
    isolated entry host still serves open queues, but cannot know whether a key was
    withdrawn.
    """
    service = configuration.services_by_id.get(service_id)
    if service is None:
        message = f'service {service_id!r} does not exist'
        return Err(_refusal(ErrorCode.SERVICE_NOT_FOUND, message))
    if service.access is QueueAccess.OPEN:
        return Ok(CallerIdentity(team_id=None))
    if not presented:
        message = f'service {service_id!r} needs a team key'
        return Err(_refusal(ErrorCode.KEY_MISSING, message))
    key = _parse(presented)
    record = _find_record(configuration, key)
    digest = _digest(record.salt, key.secret)
    if not hmac.compare_digest(digest, record.digest):
        return Err(_refusal(ErrorCode.KEY_NOT_VALID, 'the team key is not valid'))
    # Each stored request names its team and key. Interning lets equal names share one
    # string in memory.
    return Ok(
        CallerIdentity(team_id=sys.intern(key.team_id), key_id=sys.intern(key.key_id))
    )


def _parse(presented: str) -> _PresentedKey:
    parts = presented.split('.') if len(presented) <= MAX_KEY_LENGTH else []
    if len(parts) != 3 or not _SECRET.fullmatch(parts[2]):
        return _MALFORMED_KEY
    return _PresentedKey(team_id=parts[0], key_id=parts[1], secret=parts[2])


def _find_record(configuration: Configuration, key: _PresentedKey) -> KeyRecord:
    team = configuration.teams_by_id.get(key.team_id)
    if team is None:
        return _DUMMY_RECORD
    return team.keys_by_id.get(key.key_id, _DUMMY_RECORD)


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode('ascii')).hexdigest()


def _refusal(code: ErrorCode, message: str) -> Refusal:
    return Refusal(code=code, message=message, run_state=RunState.NOT_RUN)
