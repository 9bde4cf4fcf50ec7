"""Addresses of the form `IP:PORT`."""

import ipaddress
import re

MAX_PORT = 65535
# Most characters of an address that a message contains.
MAX_LOGGED = 100
# Other digits than those of ASCII would pass `int`, as would spaces and underscores.
PORT_PATTERN = re.compile(r'[0-9]{1,5}')


def split_address(address: str) -> tuple[str, int]:
    """Splits an `IP:PORT` address whose form has been checked already."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def address_problem(address: str) -> str:
    """Returns why an address is not a valid `IP:PORT`, or an empty string."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return f'{address[:MAX_LOGGED]!r} is not an IPv4 address with a port'
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return f'the port of {address[:MAX_LOGGED]!r} is not between 1 and {MAX_PORT}'
    return ''
