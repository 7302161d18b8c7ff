"""Executes a scale run: the fill, calm and changes phases, then the fault, if any."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from msgspec import structs

from eiderhub.emulator.clock import MAX_LATENESS_P99_MS
from eiderhub.emulator.processes import cancel_on_signals
from eiderhub.registry.client import fetch_list
from eiderhub.registry.settings import FollowSettings
from eiderhub.scale.data_path_bench import PathFigures, measure
from eiderhub.scale.faults import FAULTS, RECOVERY_TIMEOUT_S, FaultRun, cut_region, fault_result
from eiderhub.scale.hollow import CompareRequest, CompareResponse, Empty, list_digest
from eiderhub.scale.measurements import Measurement, build_phase, measure_run
from eiderhub.scale.plan import MachineCapacity, Plan
from eiderhub.scale.record_writer import Writer, delay_percentiles, propagation_delays
from eiderhub.scale.result import Added, Fault, Phase, Result, Settings
from eiderhub.scale.services import max_descriptors
from eiderhub.scale.topology import Topology
from eiderhub.scale.traffic import detect_machine

FILL = "fill"
SETTLE_S = 1.0  # wait after the last change of a phase, until its answers have arrived
AGREEMENT_TIMEOUT_S = 60.0  # within which all sidecars must have the main service's lists
FILL_TIMEOUT_S = 600.0
CHECK_INTERVAL_S = 0.5
MAX_CALLED_SIDECARS = 4  # real sidecars that receive calls; one process must keep up with making them
ReportProgress = Callable[[float, str], None]


def machine_capacity() -> MachineCapacity:
    """Determine the capacity of this machine."""
    low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    return MachineCapacity(detect_machine().memory_mb, max_descriptors(), int(high) - int(low) + 1)


class Run:
    """One run.

    `seconds` is the length of each phase after the fill, `fault_s` that of the fault.
    """

    def __init__(
        self,
        plan: Plan,
        seconds: float,
        seed: int,
        real_calls_per_s: float,
        fault: str = "none",
        fault_s: float = 60.0,
    ) -> None:
        self.plan = plan
        self.seconds = seconds
        self.seed = seed
        self._real_calls_per_s = real_calls_per_s  # through each real sidecar
        self.phases: list[Phase] = []
        self.fill_s = 0.0
        self.missing_pairs = 0
        self._fault_name = fault
        self._fault_s = fault_s if fault != "none" else 0.0
        self._fault: Fault | None = None
        self._path_figures: PathFigures | None = None

    async def run(self, report_progress: ReportProgress, fleet: str, revision: str = "") -> Result:
        """Run all phases. Always ends the run's processes and removes its files.

        `fleet`: name of the fleet file; `revision`: revision of the program. Both go into the result.

        Raises:
            ProcessEndedError: a process has ended.
            NoReplyError: a process does not answer.
            RequestRefusedError: a process refuses a request.
            TimeoutError: the fill, or the start of a process, took too long.
        """
        cancel_on_signals()
        async with Topology(self.plan, self.seed) as self.topology:
            report_progress(0.0, "starting")
            await self.topology.start(cut_region(self.plan) if self._fault_name == "region-cut" else "")
            before = await measure_run(self.topology)
            report_progress(0.1, "registration of all sidecars")
            await self._fill()
            before = await self._record_phase(FILL, before)
            report_progress(0.3, "calm")
            await self._wait(self.seconds)
            before = await self._record_phase("calm", before)
            report_progress(0.5, "changes")
            await self._changes(before)
            agreed = (await self.wait_until_agreed(AGREEMENT_TIMEOUT_S))[0]
            if self._fault_name in FAULTS:
                report_progress(0.6, self._fault_name)
                agreed = await self._run_fault()
            last = await measure_run(self.topology)
            report_progress(1.0, "done")
            return self._build_result(fleet, revision, agreed, last)

    async def _record_phase(self, name: str, before: Measurement) -> Measurement:
        after = await measure_run(self.topology)
        self.phases.append(build_phase(name, before, after))
        return await measure_run(self.topology)  # the cost of measuring belongs to no phase

    async def _wait(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while (remaining_s := end_s - time.monotonic()) > 0:
            await asyncio.sleep(min(CHECK_INTERVAL_S, remaining_s))
            self.topology.check_processes()

    async def _fill(self) -> None:
        """Register all sidecars, then start all watches.

        With the watches first, each new record would be sent to all watchers of its list.
        """
        started_s = time.monotonic()
        topology = self.topology
        async with asyncio.timeout(FILL_TIMEOUT_S):
            await topology.call_each("/register", Empty(), Empty)
            for real in topology.real_sidecars:
                await topology.start_real(real)
            while True:
                statuses = await topology.statuses()
                all_registered = statuses["main"].records == len(self.plan.seats)
                if all_registered and len({status.version for status in statuses.values()}) == 1:
                    break
                topology.check_processes()
                await asyncio.sleep(0.05)
            await topology.call_each("/follow", Empty(), Empty)
            while not all(real.adoptions for real in topology.real_sidecars):
                topology.check_processes()
                await asyncio.sleep(0.05)
        self.fill_s = round(time.monotonic() - started_s, 2)

    async def _changes(self, before: Measurement) -> None:
        """Write changes, with calls through real sidecars meanwhile, and measure when they are in force."""
        writer = Writer(self.topology.main.address, self.plan.hollow, self.seed)
        writing = asyncio.create_task(writer.write(self.plan.changes_per_s, self.seconds))
        try:
            if self.topology.real_sidecars:
                called_sidecars = self.topology.real_sidecars[:MAX_CALLED_SIDECARS]
                self._path_figures = await measure(
                    [real.listen for real in called_sidecars],
                    [real.endpoint for real in called_sidecars],
                    self._real_calls_per_s * len(called_sidecars),
                    self.seconds,
                    self.seed,
                )
            await writing
            await self._wait(SETTLE_S)
        finally:
            writing.cancel()
            writer.close()
        await self._record_phase("changes", before)
        await self.wait_until_agreed(AGREEMENT_TIMEOUT_S)
        delays, missing = await propagation_delays(self.topology, writer.results.acknowledged)
        self.missing_pairs += missing
        phase = self.phases.pop()
        self.phases.append(
            structs.replace(phase, in_force_ms=delay_percentiles(delays), in_force_pairs=len(delays))
        )

    async def _run_fault(self) -> bool:
        """Run the fault and the recovery from it. Returns whether all lists agree at the end."""
        before = await measure_run(self.topology)
        fault_run = FaultRun(self.topology, self.plan, self._fault_s, self.seed)
        watching = asyncio.create_task(fault_run.poll_records())
        try:
            await FAULTS[self._fault_name](fault_run)
            record_count = len(self.plan.seats)
            records_complete = await fault_run.wait_for_records(record_count, RECOVERY_TIMEOUT_S)
            agreed, last_s = await self.wait_until_agreed(RECOVERY_TIMEOUT_S)
            # A record may be dropped again while the lists are compared.
            agreed = agreed and records_complete and await fault_run.wait_for_records(record_count, 0.0)
        finally:
            watching.cancel()
            fault_run.close()
        after = await measure_run(self.topology)
        self.phases.append(build_phase(self._fault_name, before, after))
        self._fault = fault_result(self._fault_name, fault_run, before, after, agreed, last_s)
        return agreed

    async def wait_until_agreed(self, wait_s: float) -> tuple[bool, float]:
        """Wait until all sidecars have the main service's lists, for at most `wait_s`.

        Returns whether they have, and the time of the last list update on the monotonic clock.
        """
        deadline_s = time.monotonic() + wait_s
        while True:
            digests = await self._fetch_main_digests()
            responses = await self.topology.call_each("/compare", CompareRequest(digests), CompareResponse)
            last_change_s = max(response.last_change_s for response in responses)
            if not sum(response.differ for response in responses):
                return True, last_change_s
            if time.monotonic() >= deadline_s:
                return False, last_change_s
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _fetch_main_digests(self) -> dict[str, str]:
        client = self.topology.main.client
        digests: dict[str, str] = {}
        for service in self.plan.sizes:
            reply = await fetch_list(client, FollowSettings(addresses=[str(client.address)], service=service))
            digests[service] = list_digest({entry.instance_id: entry for entry in reply.list_answer.entries})
        return digests

    def _build_result(
        self, fleet: str, revision: str, agreed: bool, final_measurement: Measurement
    ) -> Result:
        plan = self.plan
        late_ms = max(phase.late_ms for phase in self.phases if phase.name != FILL)
        doubts = []
        if late_ms > MAX_LATENESS_P99_MS:
            doubts.append(
                f"timers of the hollow processes were {late_ms:.0f} ms late; times in force may be too long"
            )
        if self.missing_pairs:
            doubts.append(f"{self.missing_pairs} pairs of a change and a sidecar were never observed")
        if not agreed:
            doubts.append("at the end not all sidecars had the same lists")
        return Result(
            revision=revision,
            machine=detect_machine(),
            settings=Settings(
                fleet=fleet,
                hollow=len(plan.hollow),
                real=len(plan.real),
                seconds=self.seconds,
                fault=self._fault_name,
                fault_s=self._fault_s,
                services=len(plan.sizes),
                followers=len(plan.followers),
                hollow_processes=plan.processes,
                lease_ms=plan.lease_ms,
                wait_s=plan.wait_s,
                changes_per_s=plan.changes_per_s,
                mean_list=round(sum(plan.sizes[spec.follows] for spec in plan.seats) / len(plan.seats), 1),
                largest_service=max(plan.sizes.values()),
                most_watched=plan.most_watched(),
            ),
            seed=self.seed,
            watchers=len(plan.seats),
            records=final_measurement.statuses["main"].records,
            fill_s=self.fill_s,
            late_ms=late_ms,
            phases=self.phases,
            agreed=agreed,
            fault=self._fault,
            added=self._added_latency(),
            odd=final_measurement.warnings,
            in_doubt=doubts,
        )

    def _added_latency(self) -> Added | None:
        figures = self._path_figures
        if figures is None or figures.target.times is None or figures.direct.times is None:
            return None
        through, direct = figures.target.times, figures.direct.times
        return Added(
            calls_per_s=figures.rate,
            calls=figures.target.sent,
            unserved=figures.target.sent - figures.target.served,
            direct_unserved=figures.direct.sent - figures.direct.served,
            through_ms={"p50": through.p50_ms, "p99": through.p99_ms},
            direct_ms={"p50": direct.p50_ms, "p99": direct.p99_ms},
            added_ms={
                "p50": round(through.p50_ms - direct.p50_ms, 3),
                "p99": round(through.p99_ms - direct.p99_ms, 3),
            },
            late_p99_ms=figures.late.p99_ms,
        )
