"""Generators of code and documentation pages."""
