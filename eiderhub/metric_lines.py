"""Metrics in the text format of Prometheus: one line a value, with labels escaped: they hold any text."""

from __future__ import annotations

ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r"})


def metric_line(name: str, value: int | float | str, **labels: str) -> str:
    """The line of one metric, without its line end."""
    if not labels:
        return f"{name} {value}"
    pairs = ",".join(f'{label}="{text.translate(ESCAPES)}"' for label, text in labels.items())
    return f"{name}{{{pairs}}} {value}"
