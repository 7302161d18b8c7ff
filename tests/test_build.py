"""What a clean build of the tier needs: wheels alone, and the system packages that are listed."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def requirement_lines(name: str) -> list[str]:
    """The lines of a requirements file, those of the files that it includes put in."""
    lines = []
    for line in (ROOT / name).read_text().splitlines():
        if line.startswith("-r "):
            lines += requirement_lines(line.removeprefix("-r ").strip())
        elif line.strip():
            lines.append(line.strip())
    return lines


def test_tier_is_installed_from_wheels_alone() -> None:
    """pip refuses source distributions: the build needs no compiler. CI installs by the same file."""
    assert "requirements-tier.txt" in DEPLOY["build"]
    lines = requirement_lines("requirements-tier.txt")
    assert "--only-binary :all:" in lines
    pinned = [line for line in lines if not line.startswith("-")]
    assert pinned and all("==" in line for line in pinned)


def test_programs_that_the_build_calls_are_listed() -> None:
    """`python3 -m pip` and `python3 -m compileall`: Debian has pip in a package of its own."""
    assert {"python3", "python3-pip"} <= set(DEPLOY["packages"])
    called = {word for word in DEPLOY["build"].replace(";", " ").split() if word.startswith("python3")}
    assert called == {"python3"}
