"""Sidecars as real processes: started as the platform starts them, watched, and ended."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from eiderhub.documents import convert, to_human_format
from eiderhub.registry.settings import FollowSettings
from eiderhub.sidecar.config import Document
from eiderhub.world.day import Post

INHERITED = 4  # the descriptor of the clients' listening socket, where the platform holds it
LOG_TAIL = 15
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BACKLOG = 1024


def default_command() -> list[str]:
    """What `run` in the deploy file starts, with this interpreter."""
    return [sys.executable, "-B", "-m", "eiderhub.sidecar"]


def environment() -> dict[str, str]:
    """Ours, and a path on which a child of any working directory finds this package."""
    package = str(Path(__file__).resolve().parents[2])
    path = os.environ.get("PYTHONPATH")
    return {**os.environ, "PYTHONPATH": f"{package}{os.pathsep}{path}" if path else package}


def claim(host: str) -> socket.socket:
    """A port at this address that stays ours until the socket is closed, whoever listens there meanwhile.

    Bound and never listening: connections are refused, a process that we start can listen there (both
    allow reuse), and the system gives the port to nobody else, such as a second emulator.
    """
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
    except OSError:
        sock.close()
        raise
    return sock


def listening(host: str) -> socket.socket:
    """A listening socket such as the platform holds for upgrades."""
    sock = claim(host)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


class DeploymentError(Exception):
    """The run can't go on; `tail` holds the last lines of the log of the process that it names."""

    def __init__(self, why: str, tail: list[str]) -> None:
        super().__init__(why)
        self.tail = tail


@dataclass(slots=True)
class Usage:
    """What processes of one sidecar have used."""

    cpu_s: float = 0.0  # of processes that have ended
    before_s: float = 0.0  # of that and of those that live, when the day began
    memory_mb: float = 0.0  # the most at any time
    starts: int = 0


class Process:
    """One process. `ended` is set once it has; `wanted` says that somebody has told it to."""

    def __init__(
        self,
        name: str,
        command: list[str],
        environ: dict[str, str],
        log: Path,
        descriptors: int,
        inherited: socket.socket | None,
        usage: Usage,
        on_end: Callable[[Process, int], None],
    ) -> None:
        self.name = name
        self.log = log
        self.wanted = False
        self.ended = asyncio.Event()
        self._usage = usage
        self._on_end = on_end
        usage.starts += 1
        output = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        actions: list[Any] = [
            (os.POSIX_SPAWN_OPEN, 0, os.devnull, os.O_RDONLY, 0),
            (os.POSIX_SPAWN_DUP2, output, 1),
            (os.POSIX_SPAWN_DUP2, output, 2),
        ]
        if inherited is not None:
            actions.append((os.POSIX_SPAWN_DUP2, inherited.fileno(), INHERITED))
        try:
            # A group of its own: Ctrl-C at the terminal is ours to pass on, in our order.
            self.pid = os.posix_spawnp(
                command[0], command, environ, file_actions=actions, setpgroup=0, setsigmask=[]
            )
        finally:
            os.close(output)
        with contextlib.suppress(OSError):  # it may have ended already; its end is told below
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self._pidfd = os.pidfd_open(self.pid)
        asyncio.get_running_loop().add_reader(self._pidfd, self._reap)

    def _reap(self) -> None:
        self.measure()
        asyncio.get_running_loop().remove_reader(self._pidfd)
        os.close(self._pidfd)
        _, status, used = os.wait4(self.pid, 0)
        self._usage.cpu_s += used.ru_utime + used.ru_stime
        # Not `ru_maxrss`: it holds the size that our own process had when it spawned this one.
        self.ended.set()
        self._on_end(self, os.waitstatus_to_exitcode(status))

    def send(self, number: signal.Signals) -> None:
        if not self.ended.is_set():
            signal.pidfd_send_signal(self._pidfd, number)

    def terminate(self) -> None:
        self.wanted = True
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """End it and whatever it has started."""
        self.wanted = True
        if not self.ended.is_set():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    def measure(self) -> tuple[float, float]:
        """Seconds of processor time and MB of memory, as of now."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0, 0.0
        memory_mb = pages * PAGE_BYTES / (1 << 20)
        self._usage.memory_mb = max(self._usage.memory_mb, memory_mb)
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, memory_mb

    def tail(self) -> list[str]:
        """The last lines of its log."""
        try:
            return self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-LOG_TAIL:]
        except OSError:
            return []


@dataclass(slots=True)
class Station:
    """All that one sidecar is started with, again and again under the same name and addresses."""

    post: Post
    host: str
    port: int
    claims: list[socket.socket]  # of ports for operators' calls
    folder: Path  # its own: configuration, log, and the directory that processes of it share
    settings: dict[str, Any]
    memory_mb: float
    descriptors: int
    command: list[str]
    inherited: socket.socket | None = None
    discovery: str = ""
    management: str = ""
    usage: Usage = field(default_factory=Usage)
    processes: list[Process] = field(default_factory=list)  # those that live, the newest last
    follow: FollowSettings | None = None  # lists come from the project's own service
    regions: dict[str, list[str]] = field(default_factory=dict)

    @property
    def config(self) -> Path:
        return self.folder / ("config.toml" if self.follow or self.regions else "config.json")

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def write_config(self, known: dict[str, object], seed: int) -> None:
        """The platform's JSON; or TOML, which alone can name the list service and regions."""
        document = {
            "name": self.post.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": self.discovery,
            "management": self.management,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "known": known,
            "settings": self.settings,
        }
        beside = self.config.with_suffix(".new")
        data = msgspec.json.encode(document)
        if self.config.suffix == ".toml":
            found = convert(document, Document)
            found = msgspec.structs.replace(found, registry=self.follow, regions=self.regions)
            data = tomli_w.dumps(to_human_format(found)).encode()
        beside.write_bytes(data)
        beside.replace(self.config)

    def start(self, on_end: Callable[[Process, int], None]) -> Process:
        """One more process; an upgrade has its second one beside the first."""
        temporary = self.folder / "tmp"
        if not self.processes:  # it is empty at a start, and common to processes that live side by side
            shutil.rmtree(temporary, ignore_errors=True)
            temporary.mkdir(parents=True)
        # Two processes of one sidecar live side by side in an upgrade, so they take turns.
        held = self.claims[self.usage.starts % len(self.claims)]
        self.management = f"{self.host}:{held.getsockname()[1]}"
        environ = environment() | {
            "GW_NAME": self.post.name,
            "GW_LISTEN": f"{self.host}:{self.port}",
            "GW_DISCOVERY": self.discovery,
            "GW_CONFIG": str(self.config),
            "GW_MANAGEMENT": self.management,
            "TMPDIR": str(temporary),
        }
        if self.inherited is not None:
            environ["GW_FD"] = str(INHERITED)
        process = Process(
            self.post.name,
            self.command,
            environ,
            self.log,
            self.descriptors,
            self.inherited,
            self.usage,
            on_end,
        )
        self.processes.append(process)
        return process


def new_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="ottercleat-"))


def end_on_signals() -> None:
    """Ctrl-C or SIGTERM cancels the task that runs now, once: what then ends it must not be cut short."""
    task = asyncio.current_task()
    interrupted = False

    def interrupt() -> None:
        nonlocal interrupted
        if task is not None and not interrupted:
            interrupted = True
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, interrupt)
