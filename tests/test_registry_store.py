"""Store of the list service: a crash at any byte of any write, and a flipped bit at any byte of a log."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderhub.registry.store import FILE_MAGIC, Folder, Store, StoreError, read_store


class Crash(BaseException):
    """The process ends here."""


class MemoryDisk:
    """A disk that crashes the process after `steps` steps: an appended byte or any other call is one step.

    `is_full`: it raises OSError from then on, instead of a crash.
    """

    def __init__(self, steps: int, is_full: bool = False) -> None:
        self.steps_left = steps
        self.is_full = is_full
        self.files: dict[str, bytes] = {}
        self.synced_bytes: dict[str, int] = {}

    def _take_steps(self, count: int = 1) -> int:
        done = min(count, self.steps_left)
        self.steps_left -= done
        return done

    def _fail(self) -> None:
        if self.is_full:
            raise OSError(28, "No space left on device")
        raise Crash

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def append(self, name: str, data: bytes) -> None:
        done = self._take_steps(len(data))
        self.files[name] = self.files.get(name, b"") + data[:done]
        if done < len(data):
            self._fail()

    def truncate(self, name: str, size: int) -> None:
        if not self.is_full and not self._take_steps():
            self._fail()
        self.files[name] = self.files.get(name, b"")[:size]
        self.synced_bytes[name] = min(size, self.synced_bytes.get(name, 0))

    def sync(self, name: str) -> None:
        if not self._take_steps():
            self._fail()
        self.synced_bytes[name] = len(self.files.get(name, b""))

    def sync_directory(self) -> None:
        if not self._take_steps():
            self._fail()

    def replace(self, name: str, new_name: str) -> None:
        if not self._take_steps():
            self._fail()
        self.files[new_name] = self.files.pop(name)
        self.synced_bytes[new_name] = self.synced_bytes.pop(name, 0)

    def remove(self, name: str) -> None:
        if not self._take_steps():
            self._fail()
        del self.files[name]

    def after_crash(self, lose_unsynced: bool) -> MemoryDisk:
        """The disk as the next process finds it; `lose_unsynced`: without bytes that were not synced."""
        disk = MemoryDisk(1 << 40)
        for name, data in self.files.items():
            disk.files[name] = data[: self.synced_bytes.get(name, 0)] if lose_unsynced else data
            disk.synced_bytes[name] = len(disk.files[name])
        return disk


def stored_payloads(disk: MemoryDisk) -> list[bytes]:
    """All payloads of a store: those in its snapshot, then those of its log."""
    contents = read_store(disk)
    in_snapshot = json.loads(contents.snapshot.payload) if contents.snapshot else []
    return [*(text.encode() for text in in_snapshot), *(frame.payload for frame in contents.frames)]


def run_script(disk: MemoryDisk, script: list[int], acknowledged: list[bytes]) -> list[bytes]:
    """Append a group of each size in the script, or write a snapshot for 0; returns the last group begun."""
    store = Store(disk)
    number = 0
    last_payloads: list[bytes] = []
    for count in script:
        last_payloads = []
        try:
            if count == 0:
                store.snapshot(json.dumps([each.decode() for each in acknowledged]).encode())
                continue
            last_payloads = [b"%d %s" % (number + i, b"x" * (i + count)) for i in range(count)]
            number += count
            store.append(last_payloads)
            acknowledged += last_payloads
        except OSError:
            pass
    return last_payloads


SCRIPT = [2, 1, 0, 3, 0, 0, 1, 2]


def total_steps() -> int:
    disk = MemoryDisk(1 << 30)
    run_script(disk, SCRIPT, [])
    return (1 << 30) - disk.steps_left


@pytest.mark.parametrize("lose_unsynced", [False, True])
def test_acknowledged_payloads_survive_a_crash_at_any_byte(lose_unsynced: bool) -> None:
    total = total_steps()
    assert total > 500
    for steps in range(total):
        acknowledged: list[bytes] = []
        disk = MemoryDisk(steps)
        with pytest.raises(Crash):
            run_script(disk, SCRIPT, acknowledged)
        disk_after_crash = disk.after_crash(lose_unsynced)
        found = stored_payloads(disk_after_crash)
        assert found[: len(acknowledged)] == acknowledged
        assert len(found) - len(acknowledged) <= max(SCRIPT)  # at most the group that was being written
        # The store continues from there, and loses nothing in a second crash.
        store = Store(disk_after_crash)
        assert store.sequence == len(found)
        store.append([b"after"])
        assert stored_payloads(disk_after_crash.after_crash(lose_unsynced=True)) == [*found, b"after"]


def test_a_full_disk_loses_only_payloads_that_were_rejected() -> None:
    for steps in range(60, total_steps(), 7):
        acknowledged: list[bytes] = []
        disk = MemoryDisk(steps, is_full=True)
        run_script(disk, SCRIPT, acknowledged)
        assert stored_payloads(disk.after_crash(lose_unsynced=False)) == acknowledged
        disk.steps_left = 1 << 30
        Store(disk).append([b"room again"])
        assert stored_payloads(disk) == [*acknowledged, b"room again"]


@given(st.lists(st.integers(1, 3), min_size=2, max_size=4), st.data())
@settings(max_examples=150)
def test_damage_is_reported_with_file_and_offset_unless_it_looks_like_a_crash(
    groups: list[int], data: st.DataObject
) -> None:
    acknowledged: list[bytes] = []
    disk = MemoryDisk(1 << 30)
    last_payloads = run_script(disk, groups, acknowledged)
    (name,) = disk.files
    intact = disk.files[name]
    last_group_offset = intact.rindex(last_payloads[0]) - 28  # start of its header
    offset = data.draw(st.integers(0, len(intact) - 1))
    bit = data.draw(st.integers(0, 7))
    disk.files[name] = intact[:offset] + bytes([intact[offset] ^ 1 << bit]) + intact[offset + 1 :]
    if offset < last_group_offset:
        with pytest.raises(StoreError, match=rf"{name}: offset \d+: "):
            read_store(disk)
    else:  # this looks like a group that was not synced before a crash
        found = stored_payloads(disk)
        assert found == acknowledged[: len(found)] and len(found) >= len(acknowledged) - len(last_payloads)
        assert read_store(disk).warnings


def test_a_folder_is_locked_by_one_process_and_readable_by_others(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "store")
    store = Store(folder)
    store.append([b"one"])
    with pytest.raises(StoreError, match="another process has this store open"):
        Folder(tmp_path / "store")
    read_only = Folder(tmp_path / "store", create=False, lock=False)
    assert [frame.payload for frame in read_store(read_only).frames] == [b"one"]
    store.snapshot(b"[]")
    store.append([b"two"])
    folder.close()
    names = sorted(os.listdir(tmp_path / "store"))
    assert names == ["lock", f"log-{2:020}", f"snapshot-{1:020}"]
    assert (tmp_path / "store" / names[1]).read_bytes().startswith(FILE_MAGIC)
    reopened = Store(Folder(tmp_path / "store"))
    assert reopened.contents.snapshot is not None and reopened.sequence == 2
    with pytest.raises(StoreError, match="no such store"):
        Folder(tmp_path / "none", create=False)
