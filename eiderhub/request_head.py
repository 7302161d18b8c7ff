"""Heads of HTTP/1.1 requests to endpoints: the one place that renders them, and what may stand in them.

A head is rendered only if an HTTP parser reads it as exactly the given request: nothing in it ends a line or
the head. The text may come from outside, so whatever cannot be rendered is refused with `UnsendableRequest`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

# RFC 9110, section 5.6.2 (token) and section 5.5 (field value); RFC 9112, section 3.2.1 (origin-form).
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_ORIGIN_FORM = re.compile(rb"/[\x21\x22\x24-\x7e]*")
OPTIONAL_WHITESPACE = b" \t"

# Request headers for one connection only (RFC 9110, section 7.6.1), and those that the sidecar sets itself.
NOT_FORWARDED = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect", b"timeout-ms", b"expect-instance",
    )
)  # fmt: skip
# Those of a batch item that say which request it is: they follow from the item and its route.
ITEM_IDENTITY_HEADERS = frozenset((b"host", b"request-id", b"last-event-id"))
HOST_FIELD = "host"  # the field named where the route's host cannot stand in a head
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


class UnsendableRequest(ValueError):
    """A part of a request cannot stand in the head of an HTTP request; `field` names the part."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field


def is_field_value(value: bytes) -> bool:
    """Whether a header may have this value: no control character but the tab."""
    return _FIELD_VALUE.fullmatch(value) is not None


def is_identifier(value: bytes) -> bool:
    """Whether a header carries this value unchanged: parsers strip the whitespace around a value."""
    return bool(value) and value == value.strip(OPTIONAL_WHITESPACE) and is_field_value(value)


def is_origin_form(target: bytes) -> bool:
    """Whether a request to an endpoint may have this target: a path with an optional query."""
    return _ORIGIN_FORM.fullmatch(target) is not None


def field_line(name: bytes, value: bytes) -> bytes:
    """One header line.

    Raises:
        UnsendableRequest: the name is no token, or the value has a control character.
    """
    if _TOKEN.fullmatch(name) is None:
        raise UnsendableRequest(f"header {_shown(name)}", "the name is not a token")
    if not is_field_value(value):
        raise UnsendableRequest(f"header {_shown(name)}", "the value has a control character")
    return b"%s: %s\r\n" % (name, value)


def request_line(method: bytes, target: bytes) -> bytes:
    """The first line of a head.

    Raises:
        UnsendableRequest: the method is no token, or the target is not a path with an optional query.
    """
    if _TOKEN.fullmatch(method) is None:
        raise UnsendableRequest("method", "not a token")
    if not is_origin_form(target):
        raise UnsendableRequest("path", "must start with / and be printable ASCII without spaces or #")
    return b"%s %s HTTP/1.1\r\n" % (method, target)


def request_head(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Request line and headers, except the headers that differ between attempts and the final blank line.

    Raises:
        UnsendableRequest: a part cannot stand in a head.
    """
    lines = [request_line(method, target)]
    lines += [field_line(name, value) for name, value in headers if name.lower() not in NOT_FORWARDED]
    if body or method in METHODS_WITH_BODY:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines)


def item_head(item: str, path: str, headers: Mapping[str, str], host: str, body: bytes) -> bytes:
    """The head of the request that runs a batch item.

    Of the item's headers, those that say which request it is are left out, however they are written.

    Raises:
        UnsendableRequest: a part cannot stand in a head.
    """
    identity = item.encode()
    if not is_identifier(identity):
        raise UnsendableRequest("id", "empty, or has a control character or whitespace around it")
    if not is_field_value(host.encode()):
        raise UnsendableRequest(HOST_FIELD, "the route's host has a control character")
    encoded = [(name.encode(), value.encode()) for name, value in headers.items()]
    own = [(b"Host", host.encode()), (b"Request-Id", identity)]
    forwarded = [pair for pair in encoded if pair[0].lower() not in ITEM_IDENTITY_HEADERS]
    return request_head(b"POST", path.encode(), [*own, *forwarded], body)


def _shown(name: bytes) -> str:
    """A header's name for an error message."""
    return repr(name[:60].decode("utf-8", "replace"))
