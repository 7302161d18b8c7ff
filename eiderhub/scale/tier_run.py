"""A scale run of the tier's control plane: real control processes, hollow sidecars, on loopback.

    python -m eiderhub.scale.tier_run --sidecars 300 --out FILE

Measured: the time from a configuration's acknowledgement until it is in force at each sidecar, the time until
all sessions stand again after the primary was killed, and what each process uses. It ends all its processes.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import queue
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from eiderhub.scale.tier_sessions import Crowd, InForce, Line, Standing, Used

CONTROL_NODES = 3
PER_PROCESS = 100  # hollow sidecars
CONTROL_PORT, FIRST_PORT = 18266, 17820
SERVICES = 40
CHANGES = 10
CHANGE_EVERY_S = 0.5
CALM_S = 8.0
BOUND_S = 60.0
MB_PER_PROCESS = 60.0  # a hollow process, and a control process, at most
TICKS = os.sysconf("SC_CLK_TCK")


class Usage(Struct):
    """Of one process, over a stretch of time."""

    processor_share: float  # of a core
    bytes_per_s: float  # received and sent
    peak_mb: float


class Outcome(Struct):
    """What one run measured; seconds."""

    sidecars: int
    endpoints: int
    routes: int
    control_calm: list[Usage]
    control_changing: list[Usage]
    hollow_share: float  # of a core, a sidecar, calm
    in_force_median_s: float
    in_force_p99_s: float
    in_force_last_s: float
    sessions_again_s: float  # after the primary was killed
    configuration_again_s: float  # from the kill until the next change was acknowledged


class _List(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    body = b""

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing."""

    def do_GET(self) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)


def _listing(endpoints: int) -> bytes:
    instances = [
        {
            "id": f"i-{n:08x}",
            "backend": f"s{n % SERVICES}",
            "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000",
            "zone": f"z{n % 3}",
            "state": "ready",
            "capacity": 8,
        }
        for n in range(endpoints)
    ]
    return json.dumps({"instances": instances, "next_token": None}).encode()


def _document(generation: int, routes: int) -> bytes:
    """Each generation changes one route."""
    made = [
        {
            "name": f"r{n}",
            "host": f"h{n}.example",
            "path_prefix": "/x/",
            "route_kind": "streaming",
            "timeout_ms": 2000 + (generation if n == generation % routes else 0),
            "slo_ms": 250,
            "backend": f"s{n % SERVICES}",
            "max_attempts": 2,
        }
        for n in range(routes)
    ]
    backends = [{"name": f"s{n}", "engine": {"capacity": 8}} for n in range(SERVICES)]
    return json.dumps({"generation": generation, "routes": made, "backends": backends}).encode()


class Run:
    def __init__(self, sidecars: int, endpoints: int, routes: int) -> None:
        self.sidecars, self.endpoints, self.routes = sidecars, endpoints, routes
        self.lines: queue.Queue[tuple[int, Line]] = queue.Queue()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.control: dict[str, subprocess.Popen[bytes]] = {}
        self.used: dict[int, Used] = {}
        self.crowds = 0

    # --- processes ---

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        needed = (CONTROL_NODES + self.sidecars / PER_PROCESS) * MB_PER_PROCESS
        have = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20
        if needed > have / 2:
            raise SystemExit(
                f"{needed:.0f} MB would be needed; half of this machine's {have:.0f} MB may be used"
            )
        handler = type("List", (_List,), {"body": _listing(self.endpoints)})
        listing = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        threading.Thread(target=listing.serve_forever, daemon=True).start()
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._start_control(Path(folder), f"127.0.0.1:{listing.server_address[1]}")
                self._start_crowds(Path(folder))
                yield
            finally:
                for process in self.processes:
                    process.kill()
                for process in self.processes:
                    process.wait()
                listing.shutdown()

    def _start_control(self, folder: Path, platform: str) -> None:
        ips = [f"127.77.0.{n + 1}" for n in range(CONTROL_NODES)]
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips)
        for number, ip in enumerate(ips):
            file = folder / f"control-{number}.conf"
            settings = {
                "node_name": f"control-{number}",
                "ip": ip,
                "zone": f"z{number}",
                "seeds": seeds,
                "port_range": f"{FIRST_PORT},{FIRST_PORT + 15}",
                "listen.control": f"{ip}:{CONTROL_PORT}",
                "bootstrap": "true",
                "data_dir": str(folder / f"data-{number}"),
                "cloud_api.address": platform,
            }
            file.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
            environment = os.environ | {"OTTERCLEAT_CONFIG": str(file)}
            command = [sys.executable, "-m", "eiderhub.programs.control"]
            process = subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)
            self.processes.append(process)
            self.control[ip] = process

    def _start_crowds(self, folder: Path) -> None:
        seeds = [f"{ip}:{FIRST_PORT}" for ip in self.control]
        for first in range(0, self.sidecars, PER_PROCESS):
            crowd = Crowd(first, min(PER_PROCESS, self.sidecars - first), ["z0", "z1", "z2"], seeds)
            file = folder / f"crowd-{first}.json"
            file.write_bytes(msgspec.json.encode(crowd))
            command = [sys.executable, "-m", "eiderhub.scale.tier_sessions", str(file)]
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            self.processes.append(process)
            threading.Thread(target=self._follow, args=(self.crowds, process), daemon=True).start()
            self.crowds += 1

    def _follow(self, number: int, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            self.lines.put((number, msgspec.json.decode(line, type=Line)))

    # --- what is told ---

    def _until(self, wanted: type[Line], accept: Any) -> dict[int, Any]:
        """One accepted line of each hollow process."""
        found: dict[int, Any] = {}
        end = time.monotonic() + BOUND_S
        while len(found) < self.crowds:
            try:
                number, line = self.lines.get(timeout=max(0.01, end - time.monotonic()))
            except queue.Empty:
                raise SystemExit(f"not within {BOUND_S:g} s: {wanted.__name__} of all sidecars") from None
            if isinstance(line, Used):
                self.used[number] = line
            elif isinstance(line, wanted) and accept(line):
                found[number] = line
        return found

    def put(self, generation: int) -> float:
        """Put a configuration; when it was acknowledged."""
        body = _document(generation, self.routes)
        end = time.monotonic() + BOUND_S
        while time.monotonic() < end:
            for ip, process in self.control.items():
                if process.poll() is not None:
                    continue
                connection = HTTPConnection(ip, CONTROL_PORT, timeout=5)
                try:
                    connection.request("PUT", "/config", body, {"If-Match": str(generation - 1)})
                    if connection.getresponse().status == 200:
                        return time.time()
                except (OSError, HTTPException):
                    pass
                finally:
                    connection.close()
        raise SystemExit(f"configuration {generation} was not acknowledged within {BOUND_S:g} s")

    def usage(self, seconds: float, act: Any) -> list[Usage]:
        """What each control process uses while `act` runs, over that many seconds at least."""
        before = {ip: (_processor(p.pid), _wire(p.pid)) for ip, p in self.control.items()}
        began = time.monotonic()
        act()
        time.sleep(max(0.0, seconds - (time.monotonic() - began)))
        took = time.monotonic() - began
        return [
            Usage(
                (_processor(p.pid) - before[ip][0]) / took,
                (_wire(p.pid) - before[ip][1]) / took,
                _peak(p.pid),
            )
            for ip, p in self.control.items()
        ]

    def measure(self) -> Outcome:
        self.put(1)
        self._until(InForce, lambda line: line.generation >= 1)
        self._until(Standing, lambda line: line.lost == 0)
        time.sleep(2.0)  # sessions' records have gone round
        hollow_before = {n: u.processor_s for n, u in self.used.items()}
        began = time.monotonic()
        calm = self.usage(CALM_S, lambda: None)
        while not self.lines.empty():
            number, line = self.lines.get()
            if isinstance(line, Used):
                self.used[number] = line
        spent = sum(u.processor_s - hollow_before.get(n, 0.0) for n, u in self.used.items())
        hollow = spent / (time.monotonic() - began) / self.sidecars
        delays: list[float] = []

        def change() -> None:
            for generation in range(2, CHANGES + 2):
                acknowledged = self.put(generation)
                found = self._until(InForce, lambda line, g=generation: line.generation >= g)
                delays.extend(max(0.0, t - acknowledged) for line in found.values() for t in line.times)
                time.sleep(CHANGE_EVERY_S)

        changing = self.usage(0.0, change)
        killed, again = self._kill_primary()
        delays.sort()
        return Outcome(
            self.sidecars, self.endpoints, self.routes, calm, changing, hollow,
            statistics.median(delays), delays[int(0.99 * (len(delays) - 1))], delays[-1], killed, again,
        )  # fmt: skip

    def _kill_primary(self) -> tuple[float, float]:
        """Seconds until all sessions stand again, and until a change is acknowledged."""
        leader = next(ip for ip in self.control if self._leads(ip))
        began = time.time()
        self.control[leader].send_signal(signal.SIGKILL)
        self.control[leader].wait()
        acknowledged = self.put(CHANGES + 2)
        found = self._until(InForce, lambda line: line.generation >= CHANGES + 2)
        last = max(t for line in found.values() for t in line.times)
        return last - began, acknowledged - began

    def _leads(self, ip: str) -> bool:
        connection = HTTPConnection(ip, CONTROL_PORT, timeout=5)
        try:
            connection.request("GET", "/status")
            return bool(json.loads(connection.getresponse().read())["leads"])
        finally:
            connection.close()


def _processor(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _wire(pid: int) -> float:
    """Bytes that the process has read and written, files included."""
    told = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    return float(told["rchar"]) + float(told["wchar"])


def _peak(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sidecars", type=int, default=300)
    parser.add_argument("--endpoints", type=int, default=1000)
    parser.add_argument("--routes", type=int, default=200)
    parser.add_argument("--out", type=Path)
    words = parser.parse_args()
    run = Run(words.sidecars, words.endpoints, words.routes)
    with run.running():
        outcome = msgspec.json.format(msgspec.json.encode(run.measure()))
    print(outcome.decode())
    if words.out:
        words.out.write_bytes(outcome + b"\n")


if __name__ == "__main__":
    main()
