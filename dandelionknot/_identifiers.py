"""Identifiers that a client makes: request ids, change ids and team keys."""

import hashlib
import uuid
from dataclasses import dataclass

from dandelionknot.configuration import KeyRecord

SALT_BYTES = 16
SECRET_BYTES = 32
REQUEST_ID_BYTES = 10
CHANGE_ID_BYTES = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class NewKey:
    """The text of a key, which only its team gets, and the record of it."""

    text: str
    record: KeyRecord


def new_request_id(unix_ms: int, random_bytes: bytes) -> str:
    """Returns a UUIDv7 from the time and `REQUEST_ID_BYTES` random bytes."""
    raw = bytearray(unix_ms.to_bytes(6, 'big') + random_bytes)
    raw[6] = (raw[6] & 0x0F) | 0x70
    raw[8] = (raw[8] & 0x3F) | 0x80
    return str(uuid.UUID(bytes=bytes(raw)))


def new_change_id(random_bytes: bytes) -> str:
    """Returns a change id from random bytes."""
    return f'change-{random_bytes.hex()}'


def new_key(team_id: str, key_id: str, random_bytes: bytes) -> NewKey:
    """Returns a key `team.key_id.secret` from the bytes of salt and secret.

    The digest is SHA-256 over the salt followed by the secret as text.
    """
    salt = random_bytes[:SALT_BYTES]
    secret = random_bytes[SALT_BYTES : SALT_BYTES + SECRET_BYTES].hex()
    digest = hashlib.sha256(salt + secret.encode()).hexdigest()
    record = KeyRecord(salt=salt.hex(), digest=digest)
    return NewKey(text=f'{team_id}.{key_id}.{secret}', record=record)
