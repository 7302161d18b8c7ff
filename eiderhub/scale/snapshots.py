"""What it costs to bring an empty replica to a large state: time, longest turn of either side, peak memory.

Two processes, lmdb stores on disk, messages as on the wire through a pipe.

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

DISK_MB = 460.0  # of a storage machine
VALUE_BYTES = 20_000  # of one entry: a batch job's body
PRIMARY, LEARNER = "primary@127.0.0.1:1", "learner@127.0.0.1:2"
IDLE_S = 0.02

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ReplicaMessage).decode


class Side(NamedTuple):
    """What one process of the run used."""

    longest_turn_ms: float
    peak_mb: float


class Runner:
    """One replica at one end of a pipe; each turn deals with one message and sends what comes of it."""

    def __init__(self, replica: Replica, pipe: Connection) -> None:
        self.replica = replica
        self.pipe = pipe
        self.longest = 0.0

    def turn(self) -> None:
        """Deal with a message, where one has come, and let time pass."""
        data = self.pipe.recv_bytes() if self.pipe.poll(IDLE_S) else None
        began = time.monotonic()
        if data is not None:
            sender = LEARNER if self.replica.identity == PRIMARY else PRIMARY
            self.replica.receive(began, sender, _decode(data))
        self.replica.tick(began)
        outbox, self.replica.outbox = self.replica.outbox, []
        encoded = [_encode(each.message) for each in outbox]
        self.longest = max(self.longest, time.monotonic() - began)
        for each in encoded:
            self.pipe.send_bytes(each)

    def used(self) -> Side:
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        return Side(self.longest * 1000, peak_mb)


def _learn(folder: str, pipe: Connection, results: Connection) -> None:
    """Run the empty replica until it has all."""
    store = LmdbStore(Path(folder), DISK_MB, LEARNER)
    replica = Replica(LEARNER, store, time.monotonic(), random.Random(2))
    runner = Runner(replica, pipe)
    began = time.monotonic()
    while store.position == INITIAL_POSITION or store.staged is not None:
        runner.turn()
    results.send((time.monotonic() - began, *runner.used(), sum(1 for _ in store.scan(""))))


def _fill(store: LmdbStore, megabytes: int) -> int:
    """Give the store a state; how many entries it has."""
    count = megabytes * 1_000_000 // VALUE_BYTES
    rng = random.Random(1)
    for first in range(0, count, 50):
        numbers = range(first, min(count, first + 50))
        writes = [Write(f"body/{number:08d}", rng.randbytes(VALUE_BYTES)) for number in numbers]
        store.apply([Update(Position(1, store.position.version + 1), writes)])
    return count


def _lead(folder: str, megabytes: int, pipe: Connection, results: Connection) -> None:
    """Run the primary, with a state of its own, until the other side has it all."""
    store = LmdbStore(Path(folder), DISK_MB, PRIMARY)
    replica = Replica(PRIMARY, store, time.monotonic(), random.Random(1), GroupSize(None, 1))
    replica.bootstrap([PRIMARY])
    _fill(store, megabytes)
    results.send(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
    while not replica.leads(time.monotonic()):
        replica.tick(time.monotonic())
        time.sleep(IDLE_S)
    replica.outbox.clear()
    replica.join_candidates = [LEARNER]
    runner = Runner(replica, pipe)
    while LEARNER not in replica.members:
        runner.turn()
    results.send(runner.used())


def main(*, megabytes: int = 50) -> None:
    """Bring an empty replica to a state of this size, and print what it took.

    :param megabytes: size of the state
    """
    context = multiprocessing.get_context("spawn")
    ends = context.Pipe()
    led, learned = context.Pipe(duplex=False), context.Pipe(duplex=False)
    with tempfile.TemporaryDirectory() as folder:
        leader = context.Process(target=_lead, args=(f"{folder}/a", megabytes, ends[0], led[1]))
        leader.start()
        filled_mb = led[0].recv()
        learner = context.Process(target=_learn, args=(f"{folder}/b", ends[1], learned[1]))
        learner.start()
        seconds, turn_ms, peak_mb, entries = learned[0].recv()
        primary = led[0].recv()
        leader.join()
        learner.join()
    print(f"{megabytes} MB, {entries} entries: {seconds:.2f} s")
    print(f"longest turn: primary {primary.longest_turn_ms:.1f} ms, learner {turn_ms:.1f} ms")
    print(f"peak memory: primary {primary.peak_mb:.0f} MB ({filled_mb:.0f} before), learner {peak_mb:.0f} MB")


if __name__ == "__main__":
    defopt.run(main)
