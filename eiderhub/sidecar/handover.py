"""An upgrade: two processes of one sidecar beside each other, with one listening socket between them.

In the directory that they share stand locks, which tell who lives, and one file with what the module in
service has learned. Nothing there is needed, and nothing that is stale or damaged does harm.
"""

from __future__ import annotations

import fcntl
import math
import os
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from eiderhub.interface import EndpointMemory, Memory, PoolMemory
from eiderhub.sidecar.clock import now_us
from eiderhub.sidecar.config import ConfigError

PREFIX = "eiderhub-live-"
LEARNED = "eiderhub-learned.json"
FRESH_US = 10_000_000  # what was learned longer ago says little of now
MOST_BYTES = 1 << 20


def inherited_socket(environ: Mapping[str, str]) -> socket.socket | None:
    """The clients' listening socket where the platform holds it, as `$GW_FD` says."""
    text = environ.get("GW_FD")
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"GW_FD: no descriptor: {text!r}")
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, OverflowError):
        raise ConfigError(f"GW_FD: descriptor {text} is no socket") from None
    listens = sock.type == socket.SOCK_STREAM and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if not listens:
        sock.detach()  # it is not ours to close
        raise ConfigError(f"GW_FD: descriptor {text} is no listening socket")
    return sock


class Presence:
    """Tells whether other processes of this sidecar live, by the locks they hold in a common directory.

    The kernel drops a lock with its process, so what is left behind there means nothing; where there is no
    directory, or none that can be written to, the process is taken to be alone.
    """

    def __init__(self, directory: str | None) -> None:
        self._directory = Path(directory) if directory else None
        self._own: int | None = None
        self._name = f"{PREFIX}{os.getpid()}"

    def enter(self) -> None:
        if self._directory is None:
            return
        try:
            self._own = os.open(self._directory / self._name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._own, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.leave()

    def leave(self) -> None:
        if self._own is not None:
            os.close(self._own)
            self._own = None

    def others(self) -> int:
        """How many other processes live."""
        if self._directory is None:
            return 0
        try:
            names = [name for name in os.listdir(self._directory) if name.startswith(PREFIX)]
        except OSError:
            return 0
        return sum(self._lives(self._directory / name) for name in names if name != self._name)

    @staticmethod
    def _lives(path: Path) -> bool:
        try:
            # Not blocking: it may be a pipe that was left there.
            found = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NONBLOCK)
        except OSError:
            return False
        try:
            fcntl.flock(found, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.unlink(path)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(found)
        return False


def remember(directory: str, memory: Memory) -> None:
    """Write what the module has learned, for a successor that may come; a rename keeps it whole."""
    path = Path(directory) / LEARNED
    beside = path.with_suffix(f".{os.getpid()}")
    # Not UTC: the machine's monotonic clock is common to its processes, and never set.
    document = {"at_us": now_us(), "pools": memory.pools, "endpoints": memory.endpoints}
    try:
        beside.write_bytes(msgspec.json.encode(document))
        beside.replace(path)
    except OSError:
        beside.unlink(missing_ok=True)


def recollect(directory: str) -> Memory | None:
    """What the process in service has learned, or nothing where that can't be told for sure."""
    try:
        with (Path(directory) / LEARNED).open("rb") as file:
            document = msgspec.json.decode(file.read(MOST_BYTES))
        if not 0 <= now_us() - int(document["at_us"]) <= FRESH_US:
            return None
        return Memory(
            [PoolMemory(*(_figure(value) for value in row)) for row in document["pools"]],
            [_endpoint(*row) for row in document["endpoints"]],
        )
    except (OSError, ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return None


def _figure(value: Any) -> float:
    figure = float(value)
    if not 0 <= figure <= 1e6 or math.isnan(figure):
        raise ValueError("out of range")
    return figure


def _endpoint(name: Any, launched_us: Any, failing: Any, slow: Any, ejected_us: Any) -> EndpointMemory:
    return EndpointMemory(
        str(name), int(launched_us), min(1.0, _figure(failing)), _figure(slow), int(ejected_us)
    )
