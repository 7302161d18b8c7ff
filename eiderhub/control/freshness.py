"""An upper bound for the age of the tables that a process has received, by its own clock.

Performs no I/O. A ping carries the sender's time. Its answer proves that the tables received before it were
current when the ping was sent, however late the answer is read: a process that was suspended finds answers in
its buffers that prove nothing about the time since. So the age counts from the time of sending. A control
node that is not the primary adds the age of its own tables, so that the bound does not grow with the length
of a chain of nodes.
"""

from __future__ import annotations

MAX_TABLE_AGE_S = 0.9  # older tables are not passed on


class Freshness:
    """Tracks the age of the tables that one process has received from the control plane."""

    def __init__(self) -> None:
        self._current_at = float("-inf")  # latest time at which the tables were known to be current

    def record_answer(self, sent_at: float, age_s: float | None) -> None:
        """Record the answer to the ping sent at `sent_at`; `age_s` is the age of the answering node's tables.

        None: the answering node cannot bound the age.
        """
        if age_s is not None:
            self._current_at = max(self._current_at, sent_at - age_s)

    def age(self, now: float) -> float | None:
        """The age of the tables in seconds; None if they are too old to be passed on."""
        age = now - self._current_at
        return age if age < MAX_TABLE_AGE_S else None

    def is_fresh(self, now: float) -> bool:
        return self.age(now) is not None

    def last_current_at(self, opened_at: float) -> float:
        """When the tables were last known to be current, at the earliest when the session was opened."""
        return max(self._current_at, opened_at)
