"""Tests, with one module for each feature."""
