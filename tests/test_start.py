"""What the tier's programs import at their start: a process that is started again is away for that long."""

from __future__ import annotations

import subprocess
import sys

import pytest

NEVER = ("defopt", "jsonschema", "urllib3", "importlib.resources", "javaproperties", "attr")
DECISIONS = ("eiderhub.balancer", "eiderhub.zones", "eiderhub.interface")


def imported_by(module: str) -> set[str]:
    code = f"import sys, {module}; print(*sys.modules, sep='\\n')"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    return set(done.stdout.split())


@pytest.mark.parametrize(
    ("program", "unwanted"),
    [
        ("edge", (*NEVER, "lmdb", "cheroot")),
        ("control", (*NEVER, *DECISIONS)),
        ("storage", (*NEVER, *DECISIONS, "cheroot")),
    ],
)
def test_a_program_starts_without_what_it_needs_later_or_never(
    program: str, unwanted: tuple[str, ...]
) -> None:
    assert imported_by(f"eiderhub.programs.{program}") & set(unwanted) == set()


def test_the_package_has_the_names_that_it_lists() -> None:
    import eiderhub

    assert all(getattr(eiderhub, name).__name__ == name for name in eiderhub.__all__)
    with pytest.raises(AttributeError, match="no attribute 'Nothing'"):
        eiderhub.Nothing  # noqa: B018
