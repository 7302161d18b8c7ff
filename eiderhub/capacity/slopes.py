"""Measured linear cost functions ("slopes") of a call, change, renewal, endpoint or connection.

The file is JSON, written by `ottercleat bench` from its runs and read by `ottercleat capacity`. A slope's
amount is `fixed` plus, for each of its drivers, the driver's value times its coefficient in `per`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

from msgspec import Meta, Struct

Amount = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1)]

# Name: unit, drivers, description. Processor time is the user and system time of one process; bytes count
# both directions; memory is the resident size of the process.
SLOPE_DEFINITIONS: dict[str, tuple[str, tuple[str, ...], str]] = {
    "decisions.order": ("us", ("endpoint",), "one request decided, sent and answered, by length of the list"),
    "decisions.delta": ("us", ("endpoint",), "a change of one endpoint, by length of the list"),
    "decisions.whole_list": ("us", ("endpoint",), "a full list, by its length"),
    "decisions.timers": ("us", ("endpoint",), "one second of timers, by length of the list"),
    "path.call": ("us", (), "one call through a real sidecar"),
    "path.added_p99": ("ms", (), "latency added to a call, 99th percentile, at the fleet's call rate"),
    "sidecar.idle": ("us", (), "one second of a sidecar without updates, excluding its timers"),
    "sidecar.answer": ("us", ("entry",), "a watch's answer, by its entries, excluding decisions"),
    "sidecar.answer_bytes": ("bytes", ("entry",), "a watch's call and its answer"),
    "sidecar.renewal": ("us", (), "one lease renewal, at the sidecar"),
    "sidecar.renewal_bytes": ("bytes", (), "one lease renewal and its answer"),
    "sidecar.memory": ("mb", ("endpoint",), "a sidecar, by length of its lists"),
    "main.idle": ("us", ("record",), "one second of the main list service with only leases to check"),
    "main.write": ("us", ("record",), "one durable write: put, drain or remove"),
    "main.renewal": ("us", (), "one lease renewal, at the main list service"),
    "main.feed": ("us", (), "one change sent to one follower"),
    "main.feed_bytes": ("bytes", (), "one change sent to one follower"),
    "main.memory": ("mb", ("record", "connection"), "the main list service"),
    "follower.idle": ("us", (), "one second of an idle follower"),
    "follower.change": ("us", (), "one change received from the main list service"),
    "follower.answer": ("us", ("entry",), "a watch's answer, by its entries"),
    "follower.memory": ("mb", ("record", "connection"), "a follower"),
    "spread.p50": (
        "ms",
        ("watcher",),
        "time from acknowledgement until half of the notified sidecars apply it",
    ),
    "spread.p99": (
        "ms",
        ("watcher",),
        "time from acknowledgement until 99% of the notified sidecars apply it",
    ),
    "spread.last": (
        "ms",
        ("watcher",),
        "time from acknowledgement until the last notified sidecar applies it",
    ),
    "return.last": ("ms", ("watcher",), "time from a follower's return until its last sidecar has asked it"),
}


class Slope(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One linear cost function, with its fit error and the range that was measured."""

    unit: str
    fixed: Amount
    per: dict[str, Amount] = {}
    spread: Amount  # the largest residual of a run, as a share of the measured value
    sizes: dict[str, tuple[float, float]] = {}  # by driver: smallest and largest measured value
    runs: Annotated[list[Name], Meta(min_length=1)]  # result files, or names of runs within one file

    def evaluate(self, drivers: Mapping[str, float]) -> float:
        """The amount in the slope's unit. Drivers that the slope does not depend on are ignored."""
        return self.fixed + sum(amount * drivers.get(name, 0.0) for name, amount in self.per.items())


class Slopes(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All slopes, with the revision, machine and settings of the measurement."""

    revision: Name
    machine: Name
    measured: Name  # date
    settings: dict[str, float | int | str] = {}
    slopes: dict[str, Slope]

    def __post_init__(self) -> None:
        for name, slope in self.slopes.items():
            if name not in SLOPE_DEFINITIONS:
                raise ValueError(f"slopes.{name}: unknown slope; remove it")
            unit, drivers, _ = SLOPE_DEFINITIONS[name]
            if slope.unit != unit:
                raise ValueError(f"slopes.{name}.unit: must be {unit!r}")
            for driver in slope.per:
                if driver not in drivers:
                    allowed = ", ".join(drivers) or "nothing"
                    raise ValueError(f"slopes.{name}.per.{driver}: unknown driver; allowed: {allowed}")
        missing = [name for name in SLOPE_DEFINITIONS if name not in self.slopes]
        if missing:
            raise ValueError(f"slopes.{missing[0]}: missing; measure it with `ottercleat bench`")
