"""Host and port pairs in the accepted notations: 10.0.0.4:7070, [::1]:7070 and ::1:7070."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta

ADDRESS_PATTERN = r"^(\[[0-9A-Fa-f:.]+\]|[^\[\]:\s]+|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*):[0-9]{1,5}$"
ADDRESS_EXAMPLE = "127.0.0.1:7070 or [::1]:7070"
AddressText = Annotated[str, Meta(pattern=ADDRESS_PATTERN, max_length=300, description="an address:port")]


class Address(NamedTuple):
    """Host and port of a listener; `host` has no brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_host_port(text: str) -> Address:
    """Parse `host:port`; the last colon separates the port, and an IPv6 address may be in brackets.

    Raises:
        ValueError: the text is not a valid address:port.
    """
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    unbracketed = host[1:-1] if bracketed else host
    try:
        if ":" in unbracketed or bracketed:
            import ipaddress  # only when needed: it would add to the memory of every sidecar

            ipaddress.IPv6Address(unbracketed)
        valid = bool(unbracketed) and not any(c.isspace() or c in "[]" for c in unbracketed)
    except ValueError:
        valid = False
    if not valid or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise ValueError(f"invalid address:port: {text!r}")
    return Address(unbracketed, int(port))
