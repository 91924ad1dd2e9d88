"""Addresses of listeners and peers: an IP address and a port. DNS names are not supported."""

from __future__ import annotations

MAX_PORT = 65535


def check_address(value: str) -> str:
    """Return ``value`` if it is ``IP:port`` (IPv6 in brackets).

    :raises ValueError: if the host is not an IP address or the port is not 1..65535.
    """
    import ipaddress  # the import takes some milliseconds at start, and a running node rarely needs it

    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must be IP:port, for example 10.0.0.5:7000")
    try:
        parsed = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"the host {host!r} is not an IP number") from None
    if host != (f"[{parsed}]" if parsed.version == 6 else str(parsed)) or "%" in host:
        raise ValueError(f"the host {host!r} must be an IP number in its shortest form, IPv6 in brackets")
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port {port!r} is not a number from 1 to {MAX_PORT}")
    return value


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of an address that :func:`check_address` accepted."""
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
