"""Addresses of the form `IP:PORT`."""


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` as checked by the schema."""
    host, _, port = address.rpartition(':')
    return host, int(port)
