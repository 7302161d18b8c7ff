"""Draws what comes from outside, from a seed: ids, header values, paths and batch items.

It draws what a proper client sends, what the pages do not rule out, and what an attacker would send.
"""

from __future__ import annotations

import base64
import random
import string
from collections.abc import Callable
from typing import Any

LINE_ENDS = ("\r\n", "\n", "\r", "\r\n\r\n", "\x00", "\x0b", "\x7f", "\x85", "\u2028")
SMUGGLED = "1\r\nContent-Length: 0\r\n\r\nPOST /live/x HTTP/1.1\r\nHost: h\r\nRequest-Id: smuggled\r\nX: 1"
CONTROLLING_NAMES = (
    "Host", "Request-Id", "Expect-Instance", "Last-Event-Id", "Content-Length", "Transfer-Encoding",
    "Timeout-Ms", "Connection", "Expect", "Trailer", "Upgrade",
)  # fmt: skip
CASES: tuple[Callable[[str], str], ...] = (str, str.lower, str.upper, str.swapcase)
SPECIAL_TEXTS = (SMUGGLED, " ", "\t", "", "a b", " a", "a ", "a/b", "a%2Fb", "a?b", "a#b", "é", "a\r\nX: 1")
SPECIAL_PATHS = (
    "",
    "x",
    "*",
    "http://other/x",
    "//other/x",
    "/a b",
    "/a#b",
    "/a?b=c",
    "/é",
    "/a HTTP/1.1\r\nX: 1",
)
PLAIN_VALUES = ("m", "540,400", "chunked", "0", "other.example", "7")
SOUND_ITEM: dict[str, Any] = {
    "id": "a", "path": "/lots/a", "headers": {"Model": "m"}, "body": "Yg==", "tokens": 1,
}  # fmt: skip


def hex_id(rng: random.Random) -> str:
    """An id of the usual form."""
    return f"{rng.getrandbits(64):016x}"


def any_text(rng: random.Random) -> str:
    """Text that JSON can carry."""
    printable = "".join(rng.choices(string.printable[:95], k=rng.randrange(1, 12)))
    characters = "".join(chr(rng.choice((rng.randrange(256), rng.randrange(0xD000)))) for _ in range(3))
    line_end = printable[:3] + rng.choice(LINE_ENDS) + printable[3:]
    return rng.choice((hex_id(rng), printable, characters, line_end, rng.choice(SPECIAL_TEXTS)))


def header(rng: random.Random) -> tuple[str, str]:
    """The name and value of a header."""
    controlling = rng.choice(CASES)(rng.choice(CONTROLLING_NAMES))
    name = rng.choice(
        ("X-Tag", controlling, controlling + rng.choice((" ", "\t", ":", "\r\n")), any_text(rng))
    )
    return name, rng.choice((rng.choice(PLAIN_VALUES), any_text(rng)))


def item(rng: random.Random) -> dict[str, Any]:
    """An item of a batch job that is sound but for one field at most, so that each check is reached."""
    changed = rng.choice((*SOUND_ITEM, "headers", "headers", ""))
    values: dict[str, Any] = {
        "id": any_text(rng),
        "path": rng.choice((rng.choice(SPECIAL_PATHS), "/lots/" + any_text(rng), any_text(rng))),
        "headers": dict(header(rng) for _ in range(rng.randrange(1, 4))),
        "body": rng.choice((base64.b64encode(rng.randbytes(9)).decode(), "", "é", "=", "a")),
        "tokens": rng.choice((rng.randrange(2_000), -1, 1e300, 0.5)),
        "": None,
    }
    return SOUND_ITEM | ({changed: values[changed]} if changed else {})


def request_id(rng: random.Random) -> bytes:
    """A `Request-Id` as an HTTP parser gives it: any bytes without control characters, trimmed."""
    length = rng.choice((1, 8, 16, 30, 248, 490, 496, 497, 504, 505, 511, 512, 4_000, 16_000))
    alphabet = rng.choice(
        (b"0123456789abcdef", b"0/", b"a/%2F?# ;+&=", bytes(range(33, 127)), bytes(range(128, 256)))
    )
    drawn = bytes(rng.choices(alphabet, k=length)).strip(b" \t")
    special = rng.choice(
        (b"20261204", b"20261204/2", b"a/0000000", b"a", b"/", b"..", b"job", b"%00", b"sha256:00")
    )
    return rng.choice((drawn, drawn, special)) or b"0"
