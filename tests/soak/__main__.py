"""Runs soaks from the command line: one process and one line of output for each seed."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import defopt

from tests.golden.record import source_of
from tests.soak.run import WIRE_1, Soak, SoakSettings


def play(seed: int, settings: SoakSettings, keep: str) -> str:
    """Run one soak; returns a line with its counts, and a line for each of the first violations."""
    folder = Path(keep, str(seed)) if keep else Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    folder.mkdir(parents=True, exist_ok=not keep)  # data of an earlier run must not be reused

    async def run() -> Soak:
        soak = Soak(seed, folder, settings)
        await soak.play()
        return soak

    soak = asyncio.run(run())
    account = soak.account
    (folder / "troubles.log").write_text("\n".join([*soak.log, *account.violations]))
    statuses = Counter(r.reply.status or r.reply.outcome.name for r in account.requests)
    accepted = [job for job in account.jobs.values() if job.accepted]
    summary = (
        f"seed {seed}: {len(account.violations)} violations; {len(account.requests)} requests "
        f"{dict(statuses.most_common(6))}, {len(accepted)} of {len(account.jobs)} jobs with "
        f"{sum(len(job.items) for job in accepted)} items, {len(account.changes)} changes, "
        f"{len(soak.log)} events"
    )
    return "\n".join([summary, *(f"  {each}" for each in account.violations[:8])])


def main(
    *, first: int = 0, count: int = 10, jobs: int = 2, edges: int = 4, storage: int = 4,
    seconds: float = 14.0, finish: float = 10.0, keep: str = "", older: str = "",
    tolerated: int = 1, disks: bool = False, odd: bool = False,
) -> None:  # fmt: skip
    """Run soaks for consecutive seeds.

    :param first: the first seed
    :param count: number of seeds
    :param jobs: number of soaks that run at once
    :param edges: sidecars in each soak
    :param storage: storage nodes in each soak
    :param seconds: duration of the faults and the traffic
    :param finish: seconds after that in which all jobs must complete
    :param older: a revision, or "wire-1": processes are continually upgraded from it and downgraded to it
    :param tolerated: losses at once that the deployment is to bear
    :param disks: machines lose their disks, as many at once as are tolerated, in place of the other faults
    :param odd: ids of any form, headers that name other requests, continuations with any answer
    :param keep: folder for the logs; a temporary one if it is not given
    """
    if older not in ("", WIRE_1):
        older = str(source_of(older, Path(tempfile.mkdtemp(prefix="soak-older-"), "source")))
    settings = SoakSettings(
        edges=edges, storage=storage, seconds=seconds, finish_s=finish, older=older,
        tolerated_losses=tolerated, loses_disks=disks, odd_input=odd,
    )  # fmt: skip
    with ProcessPoolExecutor(jobs) as pool:
        for line in pool.map(partial(play, settings=settings, keep=keep), range(first, first + count)):
            print(line, flush=True)


if __name__ == "__main__":
    defopt.run(main)
