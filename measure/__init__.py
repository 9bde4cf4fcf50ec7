"""Measurements of the decision code and of running entry hosts."""
