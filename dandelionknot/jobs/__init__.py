"""Decisions about jobs: acceptance, placement, leases, limits and maintenance.

Nothing here reads a clock, a socket or a codec.
"""
