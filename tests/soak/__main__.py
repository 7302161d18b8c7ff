"""Soaks by hand: each seed in a process of its own, a line for each."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import defopt

from tests.golden.record import source_of
from tests.soak.run import WIRE_1, Shape, Soak


def play(seed: int, shape: Shape, keep: str) -> str:
    """One soak; what became of it, in one line and those of what is broken."""
    folder = Path(keep, str(seed)) if keep else Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    folder.mkdir(parents=True, exist_ok=not keep)  # disks of an earlier run would be taken for this one's

    async def run() -> Soak:
        soak = Soak(seed, folder, shape)
        await soak.play()
        return soak

    soak = asyncio.run(run())
    account = soak.account
    (folder / "troubles.log").write_text("\n".join([*soak.log, *account.broken]))
    statuses = Counter(r.reply.status or r.reply.end.name for r in account.requests)
    accepted = [lot for lot in account.lots.values() if lot.accepted]
    line = (
        f"seed {seed}: {len(account.broken)} broken; {len(account.requests)} requests "
        f"{dict(statuses.most_common(6))}, {len(accepted)} of {len(account.lots)} lots with "
        f"{sum(len(lot.items) for lot in accepted)} items, {len(account.changes)} changes, "
        f"{len(soak.log)} troubles"
    )
    return "\n".join([line, *(f"  {each}" for each in account.broken[:8])])


def main(
    *, first: int = 0, count: int = 10, jobs: int = 2, edges: int = 4, storage: int = 4,
    seconds: float = 14.0, finish: float = 10.0, keep: str = "", older: str = "",
) -> None:  # fmt: skip
    """Play seeds one after the other, some at once.

    :param first: the first seed
    :param count: how many
    :param jobs: how many at once
    :param edges: sidecars of each
    :param storage: storage nodes of each
    :param seconds: how long troubles and traffic last
    :param finish: seconds for everything to come to its end after that
    :param older: a revision, or "wire-1": processes are upgraded from it and put back all the time
    :param keep: folder for the logs; a temporary one if it is not given
    """
    if older not in ("", WIRE_1):
        older = str(source_of(older, Path(tempfile.mkdtemp(prefix="soak-older-"), "source")))
    shape = Shape(edges=edges, storage=storage, seconds=seconds, finish_s=finish, older=older)
    with ProcessPoolExecutor(jobs) as pool:
        for line in pool.map(partial(play, shape=shape, keep=keep), range(first, first + count)):
            print(line, flush=True)


if __name__ == "__main__":
    defopt.run(main)
