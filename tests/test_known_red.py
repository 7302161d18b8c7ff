"""KNOWN-RED.txt: what it lets pass, and what fails the run."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1
"""
RED = "tests/test_it.py::test_red | the cause | issue 7\n"


def played(folder: Path, known: str | None, *arguments: str) -> tuple[int, str]:
    (folder / "tests").mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n", encoding="utf-8")
    (folder / "tests" / "test_it.py").write_text(TESTS, encoding="utf-8")
    shutil.copy(Path(__file__).parent / "conftest.py", folder / "tests")
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known, encoding="utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


def test_listed_failures_pass_and_are_printed(tmp_path: Path) -> None:
    status, said = played(tmp_path, RED + "tests/test_it.py::test_half[2] | another | issue 8\n")
    assert status == 0
    assert "2 passed, 2 xfailed" in said
    assert "known red: tests/test_it.py::test_red: the cause (issue 7)" in said
    assert "known red: tests/test_it.py::test_half[2]: another (issue 8)" in said


def test_without_the_file_every_failure_fails_the_run(tmp_path: Path) -> None:
    status, said = played(tmp_path, None)
    assert status == 1
    assert "2 failed, 2 passed" in said


def test_only_what_is_listed_passes(tmp_path: Path) -> None:
    status, said = played(tmp_path, RED)
    assert status == 1
    assert "1 failed, 2 passed, 1 xfailed" in said


def test_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    line = "tests/test_it.py::test_green | mended since | issue 7\n"
    status, said = played(tmp_path, RED + "tests/test_it.py::test_half[2] | another | issue 8\n" + line)
    assert status == 1
    assert "XPASS(strict)" in said


def test_intermittent_failure_may_pass_or_fail_and_is_printed(tmp_path: Path) -> None:
    lines = "tests/test_it.py::test_green | seen once | issue 7 | intermittent\n"
    lines += "tests/test_it.py::test_red | seen twice | issue 8 | intermittent\n"
    status, said = played(tmp_path, lines)
    assert status == 1  # test_half[2] is not listed
    assert "1 failed, 1 passed, 1 xfailed, 1 xpassed" in said
    assert "known red: tests/test_it.py::test_green: seen once (issue 7, intermittent)" in said
    assert "known red: tests/test_it.py::test_red: seen twice (issue 8, intermittent)" in said


@pytest.mark.parametrize(
    ("known", "why"),
    [
        (RED + "tests/test_it.py::test_gone | x | y\n", "no test has this name: tests/test_it.py::test_gone"),
        ("tests/test_away.py::test_red | x | y\n", "no test has this name: tests/test_away.py::test_red"),
        ("tests/test_it.py::test_half | x | y\n", "no test has this name"),
        ("tests/test_it.py::test_red | the cause\n", "must be `test id | cause | issue`"),
        ("tests/test_it.py::test_red | | issue 7\n", "must be `test id | cause | issue`"),
        ("tests/test_it.py::test_red | x | y | seldom\n", "must be `test id | cause | issue`"),
        ("tests/test_it.py::test_red | x | y | intermittent | z\n", "must be `test id | cause | issue`"),
        (RED + "\n", "must be `test id | cause | issue`"),
        (RED + RED, "stands there twice"),
        ("".join(f"tests/test_it.py::test_{n} | x | y\n" for n in range(4)), "4 lines; at most 3"),
    ],
)
def test_wrong_line_fails_the_run_and_says_why(tmp_path: Path, known: str, why: str) -> None:
    status, said = played(tmp_path, known)
    assert status != 0
    assert why in said
    assert " passed" not in said


def test_run_of_one_test_minds_only_its_own_line(tmp_path: Path) -> None:
    status, said = played(tmp_path, RED, "tests/test_it.py::test_green")
    assert status == 0
    assert "1 passed" in said
