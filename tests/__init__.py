"""Tests, sorted by feature."""
