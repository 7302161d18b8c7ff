"""The example in the README of the coordination package runs, and the tests that it names exist."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parents[1] / "eiderhub/coordination/README.md"


def test_example_runs() -> None:
    (code,) = re.findall(r"<!-- example -->\n```python\n(.*?)```", README.read_text(), re.S)
    assert len(code.splitlines()) <= 45
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout) == (0, "b'hello'\n"), result.stderr


def test_tests_named_in_the_readme_exist() -> None:
    tests = (README.parents[2] / "tests/test_replication.py").read_text()
    named = re.findall(r"(test_\w+)`", README.read_text())
    assert named
    assert [name for name in named if f"def {name}(" not in tests] == []
