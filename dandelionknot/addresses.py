"""Addresses of the form `IP:PORT`."""


def split_address(address: str) -> tuple[str, int]:
    """Splits an `IP:PORT` address whose form the schema has already checked."""
    host, _, port = address.rpartition(':')
    return host, int(port)
