"""Measurements of the decision code on small in-memory loops."""
