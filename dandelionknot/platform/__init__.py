"""Adapter to the users' platform: names, formats and calls, no decisions."""

from dandelionknot.platform._adapter import PlatformAdapter
from dandelionknot.platform._callers import CallerPort, CallerServer, ReadinessServer
from dandelionknot.platform._items import CONFIGURATION_KEY, wave_status

__all__ = [
    'CONFIGURATION_KEY',
    'CallerPort',
    'CallerServer',
    'PlatformAdapter',
    'ReadinessServer',
    'wave_status',
]
