"""Measurements on the running daemons, each with `run() -> dict`."""
