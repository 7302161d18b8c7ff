"""An address and a port, as people and the platform write them: 10.0.0.4:7070, [::1]:7070 or ::1:7070."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta

PATTERN = r"^(\[[0-9A-Fa-f:.]+\]|[^\[\]:\s]+|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*):[0-9]{1,5}$"
EXAMPLE = "127.0.0.1:7070 or [::1]:7070"
AddressText = Annotated[str, Meta(pattern=PATTERN, max_length=300, description="an address:port")]


class Address(NamedTuple):
    """Where something listens; `host` without brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """The last colon parts the port; an IPv6 address may stand in brackets.

    Raises:
        ValueError: where it is no address:port.
    """
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    bare = host[1:-1] if bracketed else host
    try:
        if ":" in bare or bracketed:
            import ipaddress  # few addresses are such, and each sidecar would hold it

            ipaddress.IPv6Address(bare)
        valid = bool(bare) and not any(c.isspace() or c in "[]" for c in bare)
    except ValueError:
        valid = False
    if not valid or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise ValueError(f"no address:port: {text!r}")
    return Address(bare, int(port))
