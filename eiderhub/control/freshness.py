"""How old what a process was told may be, by its own clock.

Pure. A process that asks (a ping with its own time) and is answered knows that what it was told was current
when it asked, however late it reads the answer. One that was frozen finds answers in its buffers which say
nothing of the time since: only the time of asking counts. A control node that is not the primary adds the age
of what it knows itself, so that the bound does not grow with the length of the chain.
"""

from __future__ import annotations

FRESH_S = 0.9  # what was current so long ago is handed on; anything older is not


class Freshness:
    """Of what one process was told by the control plane."""

    def __init__(self) -> None:
        self._current_at = float("-inf")  # when what it has been told was current for certain

    def answered(self, sent_at: float, age_s: float | None) -> None:
        """The ping that was sent then has been answered; `age_s` is of what the answerer knows."""
        if age_s is not None:
            self._current_at = max(self._current_at, sent_at - age_s)

    def age(self, now: float) -> float | None:
        """Seconds since what it was told was current; None: longer than may be handed on."""
        age = now - self._current_at
        return age if age < FRESH_S else None

    def is_fresh(self, now: float) -> bool:
        return self.age(now) is not None

    def silent_since(self, opened_at: float) -> float:
        """When a session that was opened then was current last, or could first have been."""
        return max(self._current_at, opened_at)
