"""Validation of network addresses."""

import re
from ipaddress import ip_address

# Excludes scope ids and digits of other scripts, which the standard library accepts.
_ADDRESS = re.compile(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9A-Fa-f:.]+)):([0-9]{1,5})")


def require_address(value: str) -> str:
    """Validate an address of the form ``IP:PORT``; an IPv6 address may be in brackets.

    :param value: text of the address.
    :returns: the text, unchanged.
    :raises ValueError: if the text has another form or the port is not in 1 to 65535.
    """
    match = _ADDRESS.fullmatch(value)
    try:
        if match is not None:
            ip_address(match[1] or match[2])
            if 1 <= int(match[3]) <= 65535:
                return value
    except ValueError:
        pass
    raise ValueError("address does not have the form IP:PORT")
