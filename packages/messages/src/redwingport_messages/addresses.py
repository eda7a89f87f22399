"""Validation of network addresses."""

from ipaddress import ip_address


def require_address(value: str) -> str:
    """Validate an address of the form ``IP:PORT``; an IPv6 address may be in brackets.

    :param value: text of the address.
    :returns: the text, unchanged.
    :raises ValueError: if the text has another form or the port is not in 1 to 65535.
    """
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        host = ""
    if not host or not (port.isdecimal() and len(port) <= 5 and 1 <= int(port) <= 65535):
        raise ValueError("address does not have the form IP:PORT")
    return value
