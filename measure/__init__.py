<<<<<<< HEAD
"""Measurements of the decision modules and of the daemons."""
=======
"""Measurements of the decision code on small in-memory loops."""
>>>>>>> limits
