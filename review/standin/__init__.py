"""Stand-ins for the cases of the review, with the standard library only."""
