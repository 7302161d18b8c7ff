"""Scale run of the tier's control plane: real control processes and hollow sidecars on loopback.

    python -m eiderhub.scale.tier_run --sidecars 300 --out FILE

Measures the time from a configuration's acknowledgement until it is in force at each sidecar, the time from
a kill of the primary until a change is in force at all sidecars again, and the usage of each process.
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

from eiderhub.scale.tier_sessions import InForce, Report, SidecarGroup, Standing, Used

CONTROL_NODES = 3
SIDECARS_PER_PROCESS = 100  # hollow sidecars in one process
CONTROL_PORT, FIRST_SESSION_PORT = 18266, 17820
SERVICES = 40
CHANGE_COUNT = 10
CHANGE_INTERVAL_S = 0.5
IDLE_DURATION_S = 8.0
TIMEOUT_S = 60.0
MB_PER_PROCESS = 60.0  # upper limit for a control process and for a process of hollow sidecars
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(Struct):
    """Resource usage of one process during a measurement."""

    processor_share: float  # of a core
    bytes_per_s: float  # received and sent
    peak_mb: float


class Outcome(Struct):
    """Measurements of one run."""

    sidecars: int
    endpoints: int
    routes: int
    control_calm: list[Usage]
    control_changing: list[Usage]
    hollow_share: float  # of a core, per hollow sidecar, while nothing changes
    in_force_median_s: float
    in_force_p99_s: float
    in_force_last_s: float
    sessions_again_s: float  # from the kill of the primary until the next change is in force everywhere
    configuration_again_s: float  # from the kill of the primary until the next change is acknowledged


class _PlatformHandler(BaseHTTPRequestHandler):
    """Answers every GET request with the list of instances, in place of the cloud platform's API."""

    protocol_version = "HTTP/1.1"
    body = b""

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the log line."""

    def do_GET(self) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)


def _instances_body(endpoints: int) -> bytes:
    instances = [
        {
            "id": f"i-{number:08x}",
            "backend": f"s{number % SERVICES}",
            "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
            "zone": f"z{number % 3}",
            "state": "ready",
            "capacity": 8,
        }
        for number in range(endpoints)
    ]
    return json.dumps({"instances": instances, "next_token": None}).encode()


def _configuration_body(generation: int, routes: int) -> bytes:
    """Return a configuration; each generation changes one route."""
    route_list = [
        {
            "name": f"r{number}",
            "host": f"h{number}.example",
            "path_prefix": "/x/",
            "route_kind": "streaming",
            "timeout_ms": 2000 + (generation if number == generation % routes else 0),
            "slo_ms": 250,
            "backend": f"s{number % SERVICES}",
            "max_attempts": 2,
        }
        for number in range(routes)
    ]
    backends = [{"name": f"s{number}", "engine": {"capacity": 8}} for number in range(SERVICES)]
    return json.dumps({"generation": generation, "routes": route_list, "backends": backends}).encode()


class Run:
    """One run. Its processes live within the context of `running`."""

    def __init__(self, sidecars: int, endpoints: int, routes: int) -> None:
        self.sidecars, self.endpoints, self.routes = sidecars, endpoints, routes
        self.reports: queue.Queue[tuple[int, Report]] = queue.Queue()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.control: dict[str, subprocess.Popen[bytes]] = {}
        self.group_usage: dict[int, Used] = {}
        self.group_count = 0

    # --- processes ---

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Start all processes, and kill them on exit. Exits the program if memory would not suffice."""
        needed_mb = (CONTROL_NODES + self.sidecars / SIDECARS_PER_PROCESS) * MB_PER_PROCESS
        machine_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20
        if needed_mb > machine_mb / 2:
            raise SystemExit(
                f"the run needs {needed_mb:.0f} MB; it may use half of this machine's {machine_mb:.0f} MB"
            )
        handler = type("List", (_PlatformHandler,), {"body": _instances_body(self.endpoints)})
        platform_server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        threading.Thread(target=platform_server.serve_forever, daemon=True).start()
        with tempfile.TemporaryDirectory() as folder:
            try:
                self._start_control(Path(folder), f"127.0.0.1:{platform_server.server_address[1]}")
                self._start_groups(Path(folder))
                yield
            finally:
                for process in self.processes:
                    process.kill()
                for process in self.processes:
                    process.wait()
                platform_server.shutdown()

    def _start_control(self, folder: Path, platform: str) -> None:
        ips = [f"127.77.0.{node + 1}" for node in range(CONTROL_NODES)]
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips)
        for number, ip in enumerate(ips):
            file = folder / f"control-{number}.conf"
            settings = {
                "node_name": f"control-{number}",
                "ip": ip,
                "zone": f"z{number}",
                "seeds": seeds,
                "port_range": f"{FIRST_SESSION_PORT},{FIRST_SESSION_PORT + 15}",
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

    def _start_groups(self, folder: Path) -> None:
        seeds = [f"{ip}:{FIRST_SESSION_PORT}" for ip in self.control]
        for first in range(0, self.sidecars, SIDECARS_PER_PROCESS):
            group = SidecarGroup(
                first, min(SIDECARS_PER_PROCESS, self.sidecars - first), ["z0", "z1", "z2"], seeds
            )
            file = folder / f"crowd-{first}.json"
            file.write_bytes(msgspec.json.encode(group))
            command = [sys.executable, "-m", "eiderhub.scale.tier_sessions", str(file)]
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            self.processes.append(process)
            threading.Thread(target=self._read_reports, args=(self.group_count, process), daemon=True).start()
            self.group_count += 1

    def _read_reports(self, number: int, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            self.reports.put((number, msgspec.json.decode(line, type=Report)))

    # --- reports and requests ---

    def _wait_for_reports(self, report_type: type[Report], accept: Any) -> dict[int, Any]:
        """Wait until every hollow process has sent an accepted report. Returns them by process number."""
        accepted: dict[int, Any] = {}
        deadline_s = time.monotonic() + TIMEOUT_S
        while len(accepted) < self.group_count:
            try:
                number, report = self.reports.get(timeout=max(0.01, deadline_s - time.monotonic()))
            except queue.Empty:
                raise SystemExit(
                    f"timeout of {TIMEOUT_S:g} s: no {report_type.__name__} from all sidecars"
                ) from None
            if isinstance(report, Used):
                self.group_usage[number] = report
            elif isinstance(report, report_type) and accept(report):
                accepted[number] = report
        return accepted

    def put_configuration(self, generation: int) -> float:
        """Put a configuration. Returns the time of its acknowledgement."""
        body = _configuration_body(generation, self.routes)
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
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
        raise SystemExit(f"configuration {generation} was not acknowledged within {TIMEOUT_S:g} s")

    def measure_usage(self, seconds: float, act: Any) -> list[Usage]:
        """Measure the usage of each control process while `act` runs, for `seconds` at least."""
        usage_before = {
            ip: (_processor_s(process.pid), _transferred_bytes(process.pid))
            for ip, process in self.control.items()
        }
        started_s = time.monotonic()
        act()
        time.sleep(max(0.0, seconds - (time.monotonic() - started_s)))
        elapsed_s = time.monotonic() - started_s
        return [
            Usage(
                (_processor_s(process.pid) - usage_before[ip][0]) / elapsed_s,
                (_transferred_bytes(process.pid) - usage_before[ip][1]) / elapsed_s,
                _peak_mb(process.pid),
            )
            for ip, process in self.control.items()
        ]

    def measure(self) -> Outcome:
        """Run all measurements: idle, under changes, and after the primary is killed."""
        self.put_configuration(1)
        self._wait_for_reports(InForce, lambda report: report.generation >= 1)
        self._wait_for_reports(Standing, lambda report: report.lost == 0)
        time.sleep(2.0)  # until the records of all sessions have been replicated
        hollow_before_s = {
            process_number: used.processor_s for process_number, used in self.group_usage.items()
        }
        started_s = time.monotonic()
        idle_usage = self.measure_usage(IDLE_DURATION_S, lambda: None)
        while not self.reports.empty():
            process_number, report = self.reports.get()
            if isinstance(report, Used):
                self.group_usage[process_number] = report
        hollow_processor_s = sum(
            used.processor_s - hollow_before_s.get(process_number, 0.0)
            for process_number, used in self.group_usage.items()
        )
        hollow_share = hollow_processor_s / (time.monotonic() - started_s) / self.sidecars
        delays_s: list[float] = []

        def change() -> None:
            for generation in range(2, CHANGE_COUNT + 2):
                acknowledged = self.put_configuration(generation)
                reports = self._wait_for_reports(
                    InForce, lambda report, wanted=generation: report.generation >= wanted
                )
                delays_s.extend(
                    max(0.0, time_s - acknowledged) for report in reports.values() for time_s in report.times
                )
                time.sleep(CHANGE_INTERVAL_S)

        changing_usage = self.measure_usage(0.0, change)
        in_force_again_s, acknowledged_again_s = self._kill_primary()
        delays_s.sort()
        return Outcome(
            self.sidecars, self.endpoints, self.routes, idle_usage, changing_usage, hollow_share,
            statistics.median(delays_s), delays_s[int(0.99 * (len(delays_s) - 1))], delays_s[-1],
            in_force_again_s, acknowledged_again_s,
        )  # fmt: skip

    def _kill_primary(self) -> tuple[float, float]:
        """Kill the primary. Returns the seconds until a change is in force everywhere, and acknowledged."""
        primary = next(ip for ip in self.control if self._leads(ip))
        killed_s = time.time()
        self.control[primary].send_signal(signal.SIGKILL)
        self.control[primary].wait()
        acknowledged_s = self.put_configuration(CHANGE_COUNT + 2)
        reports = self._wait_for_reports(InForce, lambda report: report.generation >= CHANGE_COUNT + 2)
        last_in_force_s = max(time_s for report in reports.values() for time_s in report.times)
        return last_in_force_s - killed_s, acknowledged_s - killed_s

    def _leads(self, ip: str) -> bool:
        connection = HTTPConnection(ip, CONTROL_PORT, timeout=5)
        try:
            connection.request("GET", "/status")
            return bool(json.loads(connection.getresponse().read())["leads"])
        finally:
            connection.close()


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _transferred_bytes(pid: int) -> float:
    """Return the bytes that the process has read and written, including files."""
    counters = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    return float(counters["rchar"]) + float(counters["wchar"])


def _peak_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sidecars", type=int, default=300)
    parser.add_argument("--endpoints", type=int, default=1000)
    parser.add_argument("--routes", type=int, default=200)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    run = Run(arguments.sidecars, arguments.endpoints, arguments.routes)
    with run.running():
        outcome = msgspec.json.format(msgspec.json.encode(run.measure()))
    print(outcome.decode())
    if arguments.out:
        arguments.out.write_bytes(outcome + b"\n")


if __name__ == "__main__":
    main()
