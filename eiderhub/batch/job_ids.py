"""Ids of batch jobs: from the bytes that a client sends to the name under which the job is stored.

PROTOCOL bounds an id only by the size of a request head. Ids that are too long for a key of the store are
represented by their digest, in messages as well: storage nodes of earlier versions can hold such jobs.
"""

from __future__ import annotations

from urllib.parse import unquote_to_bytes

from eiderhub.coordination.keys import MAX_KEY_BYTES, name_in_key
from eiderhub.request_head import is_identifier

JOB_PREFIX, BODY_PREFIX, RESULT_PREFIX, ERRORS_PREFIX = "job/", "body/", "result/", "errors/"
POSITION_DIGITS = 7
MAX_NAME_BYTES = MAX_KEY_BYTES - len(f"{RESULT_PREFIX}/") - POSITION_DIGITS


def stored_name(job_id: str) -> str:
    """The name of a job in keys; that of a stored name is itself."""
    return name_in_key(job_id, MAX_NAME_BYTES)


def name_of_id(request_id: bytes) -> str:
    """The name of the job with this `Request-Id`."""
    return stored_name(request_id.decode("latin-1"))


def name_in_path(part: bytes) -> str | None:
    """The name of the job whose id is percent-encoded in a path; None if no request can have that id."""
    job_id = unquote_to_bytes(part)
    return name_of_id(job_id) if is_identifier(job_id) else None


def items_in_query(query: bytes) -> tuple[str, ...]:
    """The ids of items that the `id` of a query may mean, the likelier first.

    A plus sign stands for a space in the encoding of forms, which most clients use, and else for itself.
    """
    parameters = (parameter.partition(b"=") for parameter in query.split(b"&"))
    encoded = next((value for name, _, value in parameters if name == b"id"), b"")
    meanings = (encoded.replace(b"+", b" "), encoded)
    return tuple(dict.fromkeys(unquote_to_bytes(each).decode(errors="replace") for each in meanings))


def errors_key(job_id: str) -> str:
    """The key of the failed attempts of a job's items."""
    return ERRORS_PREFIX + name_in_key(job_id, MAX_KEY_BYTES - len(ERRORS_PREFIX))


def result_key(job_id: str, position: int) -> str:
    """The key of the result at a position."""
    return f"{result_prefix(job_id)}{position:0{POSITION_DIGITS}d}"


def result_prefix(job_id: str) -> str:
    """What the keys of a job's results begin with; keys of other jobs may begin with it too."""
    return f"{RESULT_PREFIX}{stored_name(job_id)}/"


def is_result_key(key: str, prefix: str) -> bool:
    """Whether a key that begins with the prefix of a job's results is that of one of them.

    An id may hold slashes: the results of `a/2` are under `result/a/2/`, which begins with `result/a/`.
    """
    position = key.removeprefix(prefix)
    return len(position) == POSITION_DIGITS and position.isdigit()
