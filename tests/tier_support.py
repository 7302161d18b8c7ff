"""A complete tier on loopback: its real programs, with a fake platform list and fake model endpoints."""

from __future__ import annotations

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

TIMEOUT_S = 30.0  # generous, for slow machines
POLL_INTERVAL_S = 0.02
SERVICE = "svc"
HOST = "tier.example"
EVENTS_PER_STREAM = 3
FAILING_PREFIX = "fails"  # endpoints answer requests whose id starts with it with 500
MAX_PROGRAMS = 400


def wait_until(condition: Callable[[], Any], description: str, timeout_s: float = TIMEOUT_S) -> Any:
    """Poll `condition` until it returns a true value, and return that."""
    deadline = time.monotonic() + timeout_s
    pause = threading.Event()
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        pause.wait(POLL_INTERVAL_S)
    raise AssertionError(f"timed out after {timeout_s:g} s: {description}")


class FakeServerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the request log."""

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class FakeServer:
    """An HTTP server with its own threads."""

    def __init__(self, handler: type[FakeServerHandler]) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class FakeEndpoint(FakeServer):
    """A model endpoint that answers each request with a stream of events.

    The list of event numbers is shared by all endpoints: each entry breaks one stream in the middle of that
    event.
    """

    def __init__(self, identity: str, break_at_events: list[int]) -> None:
        endpoint = self
        self.identity = identity
        self.request_counts: Counter[str] = Counter()
        self.break_at_events = break_at_events
        self.may_continue = threading.Event()  # while cleared, a stream pauses after each event
        self.may_continue.set()

        class EndpointHandler(FakeServerHandler):
            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("Expect-Instance", identity) != identity:
                    self.reply(421)
                    return
                request_id = self.headers["Request-Id"]
                endpoint.request_counts[request_id] += 1
                if request_id.startswith(FAILING_PREFIX):
                    self.reply(500, Request_Id=request_id)
                    return
                first = int(self.headers.get("Last-Event-Id", -1)) + 1
                self.send_response(200)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("Request-Id", request_id)
                self.send_header("Response-Signature", f"{identity}.{request_id}")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for number in range(first, EVENTS_PER_STREAM):
                    if number in endpoint.break_at_events:
                        endpoint.break_at_events.remove(number)
                        self.wfile.write(b"5\r\nid: ")  # in the middle of an event
                        self.wfile.flush()
                        self.connection.shutdown(socket.SHUT_RDWR)
                        self.close_connection = True
                        return
                    event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.flush()
                    endpoint.may_continue.wait(TIMEOUT_S)
                self.wfile.write(b"0\r\n\r\n")

        super().__init__(EndpointHandler)


class FakePlatform(FakeServer):
    """Serves the platform's list of endpoints."""

    def __init__(self, endpoints: list[Any]) -> None:
        platform = self
        self.draining: set[str] = set()

        class PlatformHandler(FakeServerHandler):
            def do_GET(self) -> None:
                instances = [
                    {
                        "id": e.identity,
                        "backend": SERVICE,
                        "address": e.address,
                        "zone": "z0",
                        "capacity": 8,
                        "state": "draining" if e.identity in platform.draining else "ready",
                    }
                    for e in endpoints
                ]
                body = json.dumps({"instances": instances, "next_token": None}).encode()
                self.reply(200, body, Content_Type="application/json")

        super().__init__(PlatformHandler)


def route(name: str, kind: str = "streaming", **fields: Any) -> dict[str, Any]:
    defaults = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 20_000,
        "slo_ms": 1_000,
        "priority": 0,
        "backend": SERVICE,
        "max_attempts": 2,
        "resumable": True,
    }
    return defaults | fields


def document(generation: int, *routes: dict[str, Any]) -> dict[str, Any]:
    batch = route("lots", "batch", completion_window_ms=10_000, retention_s=600, max_queued_tokens=1_000)
    backend = {"name": SERVICE, "max_connections": 100, "engine": {"capacity": 8}}
    return {"generation": generation, "routes": [route("live"), batch, *routes], "backends": [backend]}


class Program:
    """One process of the tier, with its own IP address."""

    def __init__(self, role: str, number: int, folder: Path, settings: dict[str, str]) -> None:
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = settings["ip"]
        self.file = folder / f"{self.name}.conf"
        self.log = folder / f"{self.name}.log"
        self.settings = settings
        self.write_settings()
        self.package_folder: Path | None = None  # folder with the packages to run; None: the code under test
        self.module = f"eiderhub.programs.{role}"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        self.file.write_text("".join(f"{key}={value}\n" for key, value in self.settings.items()))

    def lose_disk(self) -> None:
        """Kill the process and empty its disk; the next start may not found a new group."""
        self.stop()
        shutil.rmtree(self.settings["data_dir"])
        self.settings["bootstrap"] = "false"
        self.write_settings()

    def start(self) -> None:
        environment = os.environ | {"OTTERCLEAT_CONFIG": str(self.file)}
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", *self.module.split()]
            self.process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log, cwd=self.package_folder
            )

    def stop(self, how: signal.Signals = signal.SIGKILL) -> int:
        assert self.process is not None
        self.process.send_signal(how)
        return self.process.wait(TIMEOUT_S)

    def count_logged(self, text: str) -> int:
        """Return how often the text occurs in the log."""
        return self.log.read_text().count(text)


class Tier:
    """Three control nodes, `storage` storage nodes and `edges` sidecars, in three zones.

    Endpoints may be passed in; the caller closes these. By default two fake endpoints are started.
    """

    def __init__(
        self,
        folder: Path,
        storage: int = 3,
        edges: int = 2,
        endpoints: list[Any] | None = None,
        tolerated_losses: int = 1,
    ) -> None:
        self.break_at_events: list[int] = []
        self.endpoints = (
            [FakeEndpoint("i-1", self.break_at_events), FakeEndpoint("i-2", self.break_at_events)]
            if endpoints is None
            else []
        )
        self.platform = FakePlatform(self.endpoints if endpoints is None else endpoints)
        self.folder = folder
        base = 127 << 24 | (os.getpid() % 199 + 2) << 16  # a separate subnet for each concurrent test process
        addresses = iter(range(base + 1, base + 1 + MAX_PROGRAMS))
        ports = {"frontend": 18161, "readiness": 18167, "control": 18166}
        self.ports = ports
        roles = ["control"] * 3 + ["storage"] * storage + ["edge"] * edges
        ips = [socket.inet_ntoa(next(addresses).to_bytes(4, "big")) for _ in roles]
        seeds = ",".join(f"{ip}:{ports['control']}" for ip in ips[:3])
        self.programs: list[Program] = []
        for number, (role, ip) in enumerate(zip(roles, ips, strict=True)):
            settings = {
                "node_name": f"{role}-{number}",
                "role": role,
                "ip": ip,
                "zone": f"z{number % 3}",
                "region": "r",
                "port_range": "17720,17735",
                "seeds": seeds,
                "bootstrap": "true",
                "data_dir": str(folder / f"data-{role}-{number}"),
                "limits.disk_mb": "64",
                "fault_tolerance.machines": str(tolerated_losses),
                "bounds.grace_s": "8",
                "cloud_api.address": self.platform.address,
            }
            settings |= {f"listen.{name}": f"{ip}:{port}" for name, port in ports.items()}
            self.programs.append(Program(role, number, folder, settings))

    def with_role(self, role: str) -> list[Program]:
        return [program for program in self.programs if program.role == role]

    def start(self) -> None:
        for program in self.programs:
            program.start()

    def close(self) -> None:
        for endpoint in self.endpoints:
            endpoint.may_continue.set()
        for program in self.programs:
            if program.process is not None and program.process.poll() is None:
                program.stop()
        for server in (*self.endpoints, self.platform):
            server.close()

    # --- calls ---

    def call(
        self, program: Program, port: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request; status 0 if there was no answer."""
        connection = HTTPConnection(program.ip, self.ports[port], timeout=TIMEOUT_S)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            connection.request(method, path, body or None, named)
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        except (OSError, HTTPException):
            return 0, b"", {}
        finally:
            connection.close()

    def operator_call(
        self, method: str, path: str, body: bytes = b"", base: int | None = None
    ) -> tuple[int, bytes]:
        """Send an operator request to each control node in turn until one gives a definite answer."""
        headers = {} if base is None else {"If_Match": str(base)}
        last = (0, b"")
        for program in self.with_role("control"):
            if program.process is None or program.process.poll() is not None:
                continue
            status, answer, answer_headers = self.call(program, "control", method, path, body, **headers)
            if status == 307:
                host = answer_headers["Location"].split("//")[1].split(":")[0]
                target = next(p for p in self.programs if p.ip == host)
                status, answer, answer_headers = self.call(target, "control", method, path, body, **headers)
            last = (status, answer)
            if status and status < 500 and status != 307:
                break
        return last

    def put_configuration(self, configuration: dict[str, Any], base: int) -> int:
        body = json.dumps(configuration).encode()
        return int(
            wait_until(
                lambda: next(
                    (s for s, _ in [self.operator_call("PUT", "/config", body, base)] if 0 < s < 500), 0
                ),
                f"an answer to configuration {configuration['generation']}",
            )
        )

    def configuration(self) -> dict[str, Any]:
        def read() -> dict[str, Any] | None:
            status, body = self.operator_call("GET", "/config")
            return json.loads(body) if status == 200 else None

        found = wait_until(read, "the configuration")
        assert isinstance(found, dict)
        return found

    def is_ready(self, edge: Program) -> bool:
        return self.call(edge, "readiness", "GET", "/readyz")[0] == 200

    def wait_ready(self) -> None:
        for edge in self.with_role("edge"):
            wait_until(partial(self.is_ready, edge), f"{edge.name} ready")

    def send_request(
        self, edge: Program, path: str, request_id: str, tokens: int = 0
    ) -> tuple[int, bytes, dict[str, str]]:
        headers = {
            "Host": HOST,
            "Request_Id": request_id,
            "Timeout_Ms": "20000",
            "Token_Usage": f"{tokens},0",
        }
        return self.call(edge, "frontend", "POST", path, b"prompt", **headers)

    def submit(self, edge: Program, job: str, items: list[str], prefix: str = "/lots/") -> int:
        requests = [
            {
                "id": item,
                "path": prefix + item,
                "headers": {"Token-Usage": "10,10"},
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 20,
            }
            for item in items
        ]
        body = json.dumps({"requests": requests}).encode()
        return self.call(edge, "frontend", "POST", prefix + "x", body, Host=HOST, Request_Id=job)[0]

    def results(self, edge: Program, job: str, start: int = 0) -> dict[str, Any] | None:
        path = f"/lots/{job}?start_after={start}"
        status, body, _ = self.call(edge, "frontend", "GET", path, Host=HOST, Wait_Ms="500")
        return json.loads(body) if status == 200 else None

    def primary(self, role: str) -> Program:
        """Return the running program that logged the highest epoch as primary."""
        running = [p for p in self.with_role(role) if p.process is not None and p.process.poll() is None]

        def last(program: Program) -> int:
            lines = [line for line in program.log.read_text().splitlines() if "leads epoch" in line]
            return int(lines[-1].split("leads epoch ")[1].split()[0]) if lines else 0

        return max(running, key=last)
