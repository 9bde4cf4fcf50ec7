"""Fleet capacity and maintenance manager: library of the daemons and the CLI."""

__version__ = '0.1.0'
