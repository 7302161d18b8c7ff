"""Keys of the replicated state: their greatest length, and names from outside as parts of keys.

A name from outside may be longer than a key. It is then represented by its digest, so that no name makes a
write that the store refuses.
"""

from __future__ import annotations

import hashlib

MAX_KEY_BYTES = 511  # of LMDB as built by default
# Begins with a space, which no value of an HTTP header does: no id that a client sends has this form.
DIGEST_MARK = " sha256:"


def fits(name: str, max_bytes: int) -> bool:
    """Whether a name takes at most this many bytes of a key."""
    return len(name.encode(errors="surrogatepass")) <= max_bytes


def digest_name(name: str) -> str:
    """The name that represents a longer one."""
    return DIGEST_MARK + hashlib.sha256(name.encode(errors="surrogatepass")).hexdigest()


def name_in_key(name: str, max_bytes: int) -> str:
    """The name itself if it takes at most `max_bytes`, else its digest."""
    return name if fits(name, max_bytes) else digest_name(name)


def prefixed_key(prefix: str, name: str) -> str:
    """The key of a record under its name, which may be any text; different names have different keys."""
    if name.startswith(DIGEST_MARK) or not fits(prefix + name, MAX_KEY_BYTES):
        return prefix + digest_name(name)
    return prefix + name
