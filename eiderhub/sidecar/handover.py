"""An upgrade: two processes of one sidecar beside each other, with one listening socket between them."""

from __future__ import annotations

import fcntl
import os
import socket
from collections.abc import Mapping
from pathlib import Path

from eiderhub.sidecar.config import ConfigError

PREFIX = "eiderhub-live-"


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
