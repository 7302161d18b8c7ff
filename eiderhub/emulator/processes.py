"""Child processes of the emulator: sidecars are started as the platform starts them, measured and stopped."""

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
from eiderhub.world.day import SidecarPlan

INHERITED_SOCKET_FD = 4  # descriptor of the listening socket for clients, if the platform passes one
LOG_TAIL_LINES = 15
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BACKLOG = 1024


def default_command() -> list[str]:
    """The command that `run` in the deploy file starts, with this interpreter."""
    return [sys.executable, "-B", "-m", "eiderhub.sidecar"]


def child_environment() -> dict[str, str]:
    """This process's environment, with `PYTHONPATH` extended by the directory of this package.

    A child process can then import the package from any working directory.
    """
    package_root = str(Path(__file__).resolve().parents[2])
    python_path = os.environ.get("PYTHONPATH")
    return {
        **os.environ,
        "PYTHONPATH": f"{package_root}{os.pathsep}{python_path}" if python_path else package_root,
    }


def reserve_port(host: str) -> socket.socket:
    """Reserve a free port at this address until the returned socket is closed.

    The socket is bound but never listens, so connections are refused. A child process can listen on the
    port, since both sockets set `SO_REUSEADDR`, and the system does not assign the port to any other
    process, such as a second emulator.
    """
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
    except OSError:
        sock.close()
        raise
    return sock


def open_listening_socket(host: str) -> socket.socket:
    """Open a non-blocking listening socket, as the platform does for sidecars that it upgrades."""
    sock = reserve_port(host)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


class DeploymentError(Exception):
    """The run cannot continue; carries the last log lines of the process named in the message."""

    def __init__(self, reason: str, log_tail: list[str]) -> None:
        super().__init__(reason)
        self.log_tail = log_tail


@dataclass(slots=True)
class Usage:
    """Resources used by all processes of one sidecar or service."""

    cpu_s: float = 0.0  # CPU time of the processes that have exited
    before_s: float = 0.0  # CPU time of exited and running processes when the scenario started
    memory_mb: float = 0.0  # peak resident memory of a single process
    starts: int = 0  # number of processes started


class Process:
    """One child process with its log and its resource usage."""

    def __init__(
        self,
        name: str,
        command: list[str],
        environ: dict[str, str],
        log_path: Path,
        descriptor_limit: int,
        inherited_socket: socket.socket | None,
        usage: Usage,
        on_exit: Callable[[Process, int], None],
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.stop_requested = False  # whether the emulator requested its end
        self.exited = asyncio.Event()  # set when the process has exited
        self._usage = usage
        self._on_exit = on_exit
        usage.starts += 1
        log_fd = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        file_actions: list[Any] = [
            (os.POSIX_SPAWN_OPEN, 0, os.devnull, os.O_RDONLY, 0),
            (os.POSIX_SPAWN_DUP2, log_fd, 1),
            (os.POSIX_SPAWN_DUP2, log_fd, 2),
        ]
        if inherited_socket is not None:
            file_actions.append((os.POSIX_SPAWN_DUP2, inherited_socket.fileno(), INHERITED_SOCKET_FD))
        try:
            # A process group of its own: Ctrl-C at the terminal reaches only the emulator, which then
            # stops its processes in the order that it needs.
            self.pid = os.posix_spawnp(
                command[0], command, environ, file_actions=file_actions, setpgroup=0, setsigmask=[]
            )
        finally:
            os.close(log_fd)
        with contextlib.suppress(OSError):  # the process may have exited already; `_reap` handles that
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))
        self._pidfd = os.pidfd_open(self.pid)
        asyncio.get_running_loop().add_reader(self._pidfd, self._reap)

    def _reap(self) -> None:
        self.measure()
        asyncio.get_running_loop().remove_reader(self._pidfd)
        os.close(self._pidfd)
        _, status, resource_usage = os.wait4(self.pid, 0)
        self._usage.cpu_s += resource_usage.ru_utime + resource_usage.ru_stime
        # `ru_maxrss` is not used: it includes the emulator's own size at the time of the spawn.
        self.exited.set()
        self._on_exit(self, os.waitstatus_to_exitcode(status))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if not self.exited.is_set():
            signal.pidfd_send_signal(self._pidfd, signal_number)

    def terminate(self) -> None:
        """Request the end of the process with SIGTERM."""
        self.stop_requested = True
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and its process group."""
        self.stop_requested = True
        if not self.exited.is_set():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    def measure(self) -> tuple[float, float]:
        """Current CPU time in seconds and resident memory in MB; updates the peak memory.

        Both are zero if the process no longer exists.
        """
        try:
            stat_fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            resident_pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0, 0.0
        memory_mb = resident_pages * PAGE_BYTES / (1 << 20)
        self._usage.memory_mb = max(self._usage.memory_mb, memory_mb)
        return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S, memory_mb

    def read_log_tail(self) -> list[str]:
        """The last `LOG_TAIL_LINES` lines of the log; empty if the log cannot be read."""
        try:
            return self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[-LOG_TAIL_LINES:]
        except OSError:
            return []


@dataclass(slots=True)
class SupervisedSidecar:
    """One sidecar's name, addresses and start parameters, which every restart reuses."""

    plan: SidecarPlan
    host: str
    port: int
    reserved_ports: list[socket.socket]  # sockets that reserve the management ports
    folder: Path  # the configuration, the log, and the temporary directory that its processes share
    settings: dict[str, Any]
    memory_mb: float
    descriptor_limit: int
    command: list[str]
    inherited_socket: socket.socket | None = None
    discovery: str = ""
    management: str = ""
    usage: Usage = field(default_factory=Usage)
    processes: list[Process] = field(default_factory=list)  # running processes, the newest last
    follow: FollowSettings | None = None  # set if lists come from the project's own list service
    regions: dict[str, list[str]] = field(default_factory=dict)  # zones by region

    @property
    def config_path(self) -> Path:
        return self.folder / ("config.toml" if self.follow or self.regions else "config.json")

    @property
    def log_path(self) -> Path:
        return self.folder / "log"

    def write_config(self, known_endpoints: dict[str, object], seed: int) -> None:
        """Write the configuration: the platform's JSON, or TOML if it has a list service or regions.

        Only the TOML form has keys for these two. The file is replaced atomically.
        """
        document = {
            "name": self.plan.name,
            "listen": f"{self.host}:{self.port}",
            "discovery": self.discovery,
            "management": self.management,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptor_limit},
            "known": known_endpoints,
            "settings": self.settings,
        }
        temporary_path = self.config_path.with_suffix(".new")
        data = msgspec.json.encode(document)
        if self.config_path.suffix == ".toml":
            typed_document = convert(document, Document)
            typed_document = msgspec.structs.replace(
                typed_document, registry=self.follow, regions=self.regions
            )
            data = tomli_w.dumps(to_human_format(typed_document)).encode()
        temporary_path.write_bytes(data)
        temporary_path.replace(self.config_path)

    def start(self, on_exit: Callable[[Process, int], None]) -> Process:
        """Start another process; an upgrade starts the new one while the old one is still running."""
        temporary_folder = self.folder / "tmp"
        if not self.processes:  # emptied before a start, and shared by processes that run at the same time
            shutil.rmtree(temporary_folder, ignore_errors=True)
            temporary_folder.mkdir(parents=True)
        # During an upgrade two processes run at the same time, so starts alternate between the ports.
        management_socket = self.reserved_ports[self.usage.starts % len(self.reserved_ports)]
        self.management = f"{self.host}:{management_socket.getsockname()[1]}"
        environ = child_environment() | {
            "GW_NAME": self.plan.name,
            "GW_LISTEN": f"{self.host}:{self.port}",
            "GW_DISCOVERY": self.discovery,
            "GW_CONFIG": str(self.config_path),
            "GW_MANAGEMENT": self.management,
            "TMPDIR": str(temporary_folder),
        }
        if self.inherited_socket is not None:
            environ["GW_FD"] = str(INHERITED_SOCKET_FD)
        process = Process(
            self.plan.name,
            self.command,
            environ,
            self.log_path,
            self.descriptor_limit,
            self.inherited_socket,
            self.usage,
            on_exit,
        )
        self.processes.append(process)
        return process


def create_temporary_folder() -> Path:
    """Create a temporary folder for the files of one run."""
    return Path(tempfile.mkdtemp(prefix="ottercleat-"))


def cancel_on_signals() -> None:
    """Make SIGINT and SIGTERM cancel the current task once; later signals do not interrupt its cleanup."""
    task = asyncio.current_task()
    interrupted = False

    def interrupt() -> None:
        nonlocal interrupted
        if task is not None and not interrupted:
            interrupted = True
            task.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, interrupt)
