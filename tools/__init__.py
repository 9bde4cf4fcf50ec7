"""Generators of code and pages."""
