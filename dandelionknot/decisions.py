"""All decisions, as pure functions over configuration, state and time."""

from dandelionknot._keys import (
    KEY_RANDOM_BYTES,
    Caller,
    IssuedKey,
    authenticate,
    issue_key,
)

__all__ = [
    'KEY_RANDOM_BYTES',
    'Caller',
    'IssuedKey',
    'authenticate',
    'issue_key',
]
