"""Soak test of real manager processes under random faults from outside of them."""
