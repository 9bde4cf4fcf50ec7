"""Decisions about jobs: acceptance, placement, leases, limits and maintenance.

No module here reads a clock, uses a socket or encodes a message.
"""
