"""Temporary."""

from dataclasses import dataclass


@dataclass(slots=True)
class HealthTable:
    pass


def ejected_hosts(h):
    return []
