"""Manager processes, a store and backend servers in one process and virtual time."""
