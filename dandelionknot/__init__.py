"""Fleet capacity and maintenance manager: the library behind the daemons."""

__version__ = '0.1.0'
