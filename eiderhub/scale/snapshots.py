"""Measures the snapshot transfer to an empty replica: time, longest step of either side, peak memory.

Two processes with LMDB stores on disk exchange encoded messages through a pipe.

    python -m eiderhub.scale.snapshots --megabytes 50
"""

from __future__ import annotations

import multiprocessing
import random
import resource
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec

from eiderhub.coordination.messages import Position, ReplicaMessage, Update, Write
from eiderhub.coordination.replication import Replica
from eiderhub.coordination.store import INITIAL_POSITION
from eiderhub.coordination.timing import GroupSize
from eiderhub.storage.store import LmdbStore

DISK_SIZE_MB = 460.0  # disk of a storage machine
VALUE_BYTES = 20_000  # size of one entry, like the body of a batch job
PRIMARY, LEARNER = "primary@127.0.0.1:1", "learner@127.0.0.1:2"
POLL_TIMEOUT_S = 0.02

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ReplicaMessage).decode


class ProcessUsage(NamedTuple):
    """Resource usage of one process."""

    longest_step_ms: float
    peak_mb: float


class ReplicaRunner:
    """One replica at one end of a pipe. Each step handles at most one message and sends the replies."""

    def __init__(self, replica: Replica, pipe: Connection) -> None:
        self.replica = replica
        self.pipe = pipe
        self.longest_step_s = 0.0

    def step(self) -> None:
        """Handle a message if one arrives within `POLL_TIMEOUT_S`, then run the replica's timers."""
        data = self.pipe.recv_bytes() if self.pipe.poll(POLL_TIMEOUT_S) else None
        started_s = time.monotonic()
        if data is not None:
            sender = LEARNER if self.replica.identity == PRIMARY else PRIMARY
            self.replica.receive(started_s, sender, _decode(data))
        self.replica.tick(started_s)
        outbox, self.replica.outbox = self.replica.outbox, []
        encoded = [_encode(entry.message) for entry in outbox]
        self.longest_step_s = max(self.longest_step_s, time.monotonic() - started_s)
        for entry in encoded:
            self.pipe.send_bytes(entry)

    def usage(self) -> ProcessUsage:
        """Return the usage of this process so far."""
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        return ProcessUsage(self.longest_step_s * 1000, peak_mb)


def _run_learner(folder: str, pipe: Connection, results: Connection) -> None:
    """Run the empty replica until it has installed the complete snapshot."""
    store = LmdbStore(Path(folder), DISK_SIZE_MB, LEARNER)
    replica = Replica(LEARNER, store, time.monotonic(), random.Random(2))
    runner = ReplicaRunner(replica, pipe)
    started_s = time.monotonic()
    while store.position == INITIAL_POSITION or store.staged is not None:
        runner.step()
    results.send((time.monotonic() - started_s, *runner.usage(), sum(1 for _ in store.scan(""))))


def _fill_store(store: LmdbStore, megabytes: int) -> int:
    """Fill the store with entries. Returns their number."""
    count = megabytes * 1_000_000 // VALUE_BYTES
    rng = random.Random(1)
    for first_number in range(0, count, 50):
        numbers = range(first_number, min(count, first_number + 50))
        writes = [Write(f"body/{number:08d}", rng.randbytes(VALUE_BYTES)) for number in numbers]
        store.apply([Update(Position(1, store.position.version + 1), writes)])
    return count


def _run_primary(folder: str, megabytes: int, pipe: Connection, results: Connection) -> None:
    """Fill and run the primary until the learner is a member."""
    store = LmdbStore(Path(folder), DISK_SIZE_MB, PRIMARY)
    replica = Replica(PRIMARY, store, time.monotonic(), random.Random(1), GroupSize(None, 1))
    replica.bootstrap([PRIMARY])
    _fill_store(store, megabytes)
    results.send(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
    while not replica.leads(time.monotonic()):
        replica.tick(time.monotonic())
        time.sleep(POLL_TIMEOUT_S)
    replica.outbox.clear()
    replica.join_candidates = [LEARNER]
    runner = ReplicaRunner(replica, pipe)
    while LEARNER not in replica.members:
        runner.step()
    results.send(runner.usage())


def main(*, megabytes: int = 50) -> None:
    """Transfer a state of this size to an empty replica, and print the measurements.

    :param megabytes: size of the state
    """
    context = multiprocessing.get_context("spawn")
    pipes = context.Pipe()
    primary_results, learner_results = context.Pipe(duplex=False), context.Pipe(duplex=False)
    with tempfile.TemporaryDirectory() as folder:
        primary_process = context.Process(
            target=_run_primary, args=(f"{folder}/a", megabytes, pipes[0], primary_results[1])
        )
        primary_process.start()
        filled_mb = primary_results[0].recv()
        learner_process = context.Process(
            target=_run_learner, args=(f"{folder}/b", pipes[1], learner_results[1])
        )
        learner_process.start()
        seconds, learner_step_ms, peak_mb, entries = learner_results[0].recv()
        primary_usage = primary_results[0].recv()
        primary_process.join()
        learner_process.join()
    print(f"{megabytes} MB, {entries} entries: {seconds:.2f} s")
    print(f"longest step: primary {primary_usage.longest_step_ms:.1f} ms, learner {learner_step_ms:.1f} ms")
    print(
        f"peak memory: primary {primary_usage.peak_mb:.0f} MB ({filled_mb:.0f} before), "
        f"learner {peak_mb:.0f} MB"
    )


if __name__ == "__main__":
    defopt.run(main)
