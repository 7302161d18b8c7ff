"""Handover during an upgrade, when two processes of one sidecar share a listening socket.

The processes share a directory. It holds a lock file for each running process and one file with the balancer
state of the serving process. Both are optional: missing, stale or damaged files are ignored.
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

LOCK_FILE_PREFIX = "eiderhub-live-"
MEMORY_FILE = "eiderhub-learned.json"
MAX_MEMORY_AGE_US = 10_000_000  # older balancer state no longer describes the endpoints
MAX_MEMORY_FILE_BYTES = 1 << 20


def inherited_socket(environ: Mapping[str, str]) -> socket.socket | None:
    """Return the listening socket that the platform passes as descriptor `$GW_FD`, if any."""
    text = environ.get("GW_FD")
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"GW_FD: not a file descriptor number: {text!r}")
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, OverflowError):
        raise ConfigError(f"GW_FD: descriptor {text} is no socket") from None
    is_listening = sock.type == socket.SOCK_STREAM and sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_ACCEPTCONN
    )
    if not is_listening:
        sock.detach()  # not owned by this process: don't close it
        raise ConfigError(f"GW_FD: descriptor {text} is no listening socket")
    return sock


class ProcessLocks:
    """Detects other running processes of this sidecar by the file locks they hold in a shared directory.

    The kernel releases a lock when its process ends, so files left behind are harmless. Without a writable
    directory, no other process is assumed to run.
    """

    def __init__(self, directory: str | None) -> None:
        self._directory = Path(directory) if directory else None
        self._own_lock: int | None = None
        self._own_name = f"{LOCK_FILE_PREFIX}{os.getpid()}"

    def acquire(self) -> None:
        if self._directory is None:
            return
        try:
            self._own_lock = os.open(
                self._directory / self._own_name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            fcntl.flock(self._own_lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.release()

    def release(self) -> None:
        if self._own_lock is not None:
            os.close(self._own_lock)
            self._own_lock = None

    def count_others(self) -> int:
        """The number of other running processes."""
        if self._directory is None:
            return 0
        try:
            names = [name for name in os.listdir(self._directory) if name.startswith(LOCK_FILE_PREFIX)]
        except OSError:
            return 0
        return sum(self._is_locked(self._directory / name) for name in names if name != self._own_name)

    @staticmethod
    def _is_locked(path: Path) -> bool:
        try:
            # Non-blocking: opening a FIFO of that name would block otherwise.
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NONBLOCK)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.unlink(path)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(descriptor)
        return False


def write_memory(directory: str, memory: Memory) -> None:
    """Store the balancer state for a successor process; the rename makes the write atomic."""
    path = Path(directory) / MEMORY_FILE
    temporary = path.with_suffix(f".{os.getpid()}")
    # Monotonic time, not UTC: all processes of the machine share it, and it is never set.
    document = {"at_us": now_us(), "pools": memory.pools, "endpoints": memory.endpoints}
    try:
        temporary.write_bytes(msgspec.json.encode(document))
        temporary.replace(path)
    except OSError:
        temporary.unlink(missing_ok=True)


def read_memory(directory: str) -> Memory | None:
    """Read the balancer state of the serving process; None if it is missing, too old or invalid."""
    try:
        with (Path(directory) / MEMORY_FILE).open("rb") as file:
            document = msgspec.json.decode(file.read(MAX_MEMORY_FILE_BYTES))
        if not 0 <= now_us() - int(document["at_us"]) <= MAX_MEMORY_AGE_US:
            return None
        return Memory(
            [PoolMemory(*(_bounded_number(value) for value in row)) for row in document["pools"]],
            [_endpoint_memory(*row) for row in document["endpoints"]],
        )
    except (OSError, ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return None


def _bounded_number(value: Any) -> float:
    number = float(value)
    if not 0 <= number <= 1e6 or math.isnan(number):
        raise ValueError("out of range")
    return number


def _endpoint_memory(name: Any, launched_us: Any, failing: Any, slow: Any, ejected_us: Any) -> EndpointMemory:
    return EndpointMemory(
        str(name),
        int(launched_us),
        min(1.0, _bounded_number(failing)),
        _bounded_number(slow),
        int(ejected_us),
    )
