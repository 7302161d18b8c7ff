"""The list service's store: a crash at every byte of every write, and damage at every byte of a log."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.registry.store import MAGIC, Folder, Store, StoreError, read


class Crash(BaseException):
    """The process is gone."""


class Memory:
    """A disk that fails after so many steps: a byte appended, or any other call, is one.

    `full`: from then on it refuses, instead of taking the process with it.
    """

    def __init__(self, steps: int, full: bool = False) -> None:
        self.steps = steps
        self.full = full
        self.files: dict[str, bytes] = {}
        self.synced: dict[str, int] = {}

    def _step(self, count: int = 1) -> int:
        done = min(count, self.steps)
        self.steps -= done
        return done

    def _spent(self) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        raise Crash

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def append(self, name: str, data: bytes) -> None:
        done = self._step(len(data))
        self.files[name] = self.files.get(name, b"") + data[:done]
        if done < len(data):
            self._spent()

    def truncate(self, name: str, size: int) -> None:
        if not self.full and not self._step():
            self._spent()
        self.files[name] = self.files.get(name, b"")[:size]
        self.synced[name] = min(size, self.synced.get(name, 0))

    def sync(self, name: str) -> None:
        if not self._step():
            self._spent()
        self.synced[name] = len(self.files.get(name, b""))

    def sync_names(self) -> None:
        if not self._step():
            self._spent()

    def replace(self, name: str, other: str) -> None:
        if not self._step():
            self._spent()
        self.files[other] = self.files.pop(name)
        self.synced[other] = self.synced.pop(name, 0)

    def remove(self, name: str) -> None:
        if not self._step():
            self._spent()
        del self.files[name]

    def after_crash(self, lost: bool) -> Memory:
        """What the next process finds; `lost`: what was not synced is gone as well."""
        found = Memory(1 << 40)
        for name, data in self.files.items():
            found.files[name] = data[: self.synced.get(name, 0)] if lost else data
            found.synced[name] = len(found.files[name])
        return found


def held(disk: Memory) -> list[bytes]:
    """All payloads of a store: those that its snapshot stands for, and those of its log."""
    contents = read(disk)
    before = json.loads(contents.snapshot.payload) if contents.snapshot else []
    return [*(text.encode() for text in before), *(frame.payload for frame in contents.frames)]


def work(disk: Memory, script: list[int], acknowledged: list[bytes]) -> list[bytes]:
    """Groups of so many entries; a 0 is a snapshot. Returns what was begun last."""
    store = Store(disk)
    number = 0
    begun: list[bytes] = []
    for count in script:
        begun = []
        try:
            if count == 0:
                store.snapshot(json.dumps([each.decode() for each in acknowledged]).encode())
                continue
            begun = [b"%d %s" % (number + i, b"x" * (i + count)) for i in range(count)]
            number += count
            store.append(begun)
            acknowledged += begun
        except OSError:
            pass
    return begun


SCRIPT = [2, 1, 0, 3, 0, 0, 1, 2]


def total_steps() -> int:
    disk = Memory(1 << 30)
    work(disk, SCRIPT, [])
    return (1 << 30) - disk.steps


@pytest.mark.parametrize("lost", [False, True])
def test_what_was_acknowledged_is_there_after_a_crash_at_any_byte(lost: bool) -> None:
    total = total_steps()
    assert total > 500
    for steps in range(total):
        acknowledged: list[bytes] = []
        disk = Memory(steps)
        with pytest.raises(Crash):
            work(disk, SCRIPT, acknowledged)
        again = disk.after_crash(lost)
        found = held(again)
        assert found[: len(acknowledged)] == acknowledged
        assert len(found) - len(acknowledged) <= max(SCRIPT)  # and at most what was being written
        # It goes on from there, and a second crash loses nothing of that either.
        store = Store(again)
        assert store.sequence == len(found)
        store.append([b"after"])
        assert held(again.after_crash(lost=True)) == [*found, b"after"]


def test_a_disk_that_is_full_for_a_while_costs_only_what_it_refused() -> None:
    for steps in range(60, total_steps(), 7):
        acknowledged: list[bytes] = []
        disk = Memory(steps, full=True)
        work(disk, SCRIPT, acknowledged)
        assert held(disk.after_crash(lost=False)) == acknowledged
        disk.steps = 1 << 30
        Store(disk).append([b"room again"])
        assert held(disk) == [*acknowledged, b"room again"]


@given(st.lists(st.integers(1, 3), min_size=2, max_size=4), st.data())
@settings(max_examples=150)
def test_damage_is_told_by_file_and_offset_or_was_never_acknowledged(
    groups: list[int], data: st.DataObject
) -> None:
    acknowledged: list[bytes] = []
    disk = Memory(1 << 30)
    last = work(disk, groups, acknowledged)
    (name,) = disk.files
    whole = disk.files[name]
    last_group = whole.rindex(last[0]) - 28  # its head
    offset = data.draw(st.integers(0, len(whole) - 1))
    bit = data.draw(st.integers(0, 7))
    disk.files[name] = whole[:offset] + bytes([whole[offset] ^ 1 << bit]) + whole[offset + 1 :]
    if offset < last_group:
        with pytest.raises(StoreError, match=rf"{name}: offset \d+: "):
            read(disk)
    else:  # it can't be told from what a crash leaves of a group that was never synced
        found = held(disk)
        assert found == acknowledged[: len(found)] and len(found) >= len(acknowledged) - len(last)
        assert read(disk).notes


def test_a_folder_is_one_process_at_a_time_and_is_read_by_others(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "store")
    store = Store(folder)
    store.append([b"one"])
    with pytest.raises(StoreError, match="another process has this store open"):
        Folder(tmp_path / "store")
    looked = Folder(tmp_path / "store", make=False, lock=False)
    assert [frame.payload for frame in read(looked).frames] == [b"one"]
    store.snapshot(b"[]")
    store.append([b"two"])
    folder.close()
    names = sorted(os.listdir(tmp_path / "store"))
    assert names == ["lock", f"log-{2:020}", f"snapshot-{1:020}"]
    assert (tmp_path / "store" / names[1]).read_bytes().startswith(MAGIC)
    again = Store(Folder(tmp_path / "store"))
    assert again.contents.snapshot is not None and again.sequence == 2
    with pytest.raises(StoreError, match="no such store"):
        Folder(tmp_path / "none", make=False)
