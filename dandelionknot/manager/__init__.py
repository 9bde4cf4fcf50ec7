"""The manager process: tasks that own connections and state.

One process runs on each entry host. All of them take calls; the one that holds
the leader lease decides where tasks run.
"""
