"""Measurements of the decision modules and of the daemons."""
