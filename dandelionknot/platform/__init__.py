"""Adapter to the users' platform: its names, formats and calls, without decisions."""

from dandelionknot.platform._adapter import PlatformAdapter
from dandelionknot.platform._callers import CallerPort, CallerServer, ReadinessServer
from dandelionknot.platform._decode import decode_job_spec

__all__ = [
    'CallerPort',
    'CallerServer',
    'PlatformAdapter',
    'ReadinessServer',
    'decode_job_spec',
]
