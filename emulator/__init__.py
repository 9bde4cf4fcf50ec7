"""Emulator of managers, a store and backend servers in one process in virtual time."""
