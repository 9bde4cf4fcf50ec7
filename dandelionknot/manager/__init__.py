"""The manager process: asyncio tasks that own connections and state.

One process runs on each entry host. All of them answer calls of callers; the one that
has the leader lease decides on which backend servers tasks run.
"""
