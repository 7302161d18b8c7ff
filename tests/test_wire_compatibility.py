"""Messages, records and stores are compatible with those of older revisions, in both directions."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import Struct

from eiderhub.batch import job_ids, jobs
from eiderhub.batch.jobs import JobTable
from eiderhub.control import retirement
from eiderhub.control.configuration import CURRENT_KEY, parse_stored
from eiderhub.control.messages import EndpointRecord, NodeRecord
from eiderhub.control.spending import LEASED_PREFIX, SpendingLedger
from eiderhub.control.stored_endpoints import ENDPOINTS_KEY
from eiderhub.coordination.forms import FORMAT_KEY
from eiderhub.coordination.messages import Position, Update, Write
from eiderhub.coordination.wire import OWN_SUPPORT, Feature
from eiderhub.programs.control_service import SESSIONS_KEY
from eiderhub.storage.store import LmdbStore, StoreUnusable
from eiderhub.transport import frames
from eiderhub.transport.frames import REQUIRED_FEATURE, Message
from tests.golden import landings, rule
from tests.golden.landings import RecordedRevision
from tests.golden.samples import iterate_samples, message_unions, sample, union_types

DISK_MB = 16.0
RECORDS = (jobs.ItemRecord, jobs.JobRecord, jobs.ResultRecord, retirement.RetireOrder)


@pytest.fixture(params=landings.REVISION_NAMES)
def revision(request: pytest.FixtureRequest) -> RecordedRevision:
    return landings.load(request.param)


def contains_all(sent: Any, read: Any) -> bool:
    """Whether the decoded value has all that was sent; additional fields with defaults are ignored.

    `sent`: plain values. `read`: a message, or plain values.
    """
    if isinstance(sent, dict) and isinstance(read, Struct):
        own = {name: value for name, value in sent.items() if name != "type"}
        return all(contains_all(value, getattr(read, name)) for name, value in own.items())
    if isinstance(sent, dict):
        return isinstance(read, dict) and all(
            key in read and contains_all(sent[key], read[key]) for key in sent
        )
    if isinstance(sent, list | tuple) and isinstance(read, Struct):
        read = [getattr(read, name) for name in read.__struct_fields__]
    if isinstance(read, Enum | bytes):
        read = msgspec.to_builtins(read)
    if isinstance(sent, list | tuple):
        return (
            isinstance(read, list | tuple) and len(read) >= len(sent) and all(map(contains_all, sent, read))
        )
    return bool(sent == read)


def encode_frame(body: bytes) -> bytearray:
    return bytearray(frames.LENGTH_PREFIX.pack(len(body)) + body)


def test_older_revisions_are_recorded() -> None:
    assert {"landing-01968da", "landing-85c3f60"} <= set(landings.REVISION_NAMES)


def test_frames_of_an_older_revision_are_decoded_completely(revision: RecordedRevision) -> None:
    assert len(revision.frames) >= 2 * len(union_types(revision.messages))
    for name, recorded in revision.frames.items():
        buffer = encode_frame(bytes.fromhex(recorded["body"]))
        message = frames.decode_frame(buffer, 0, len(buffer))
        assert not isinstance(message, frames.UnknownMessage), name
        assert contains_all(recorded["values"], message), name


def test_older_revision_decodes_every_message_that_it_can_be_sent(revision: RecordedRevision) -> None:
    decode = revision.decoder().decode
    sent = 0
    for name, message in iterate_samples(message_unions()):
        if not frames.can_send(revision.declared_support, message):  # type: ignore[arg-type]
            continue
        sent += 1
        read = decode(msgspec.msgpack.encode(message))
        assert type(read).__name__ == type(message).__name__
        assert contains_all(msgspec.to_builtins(read), message), name
    assert sent >= len(revision.frames) - 2


def test_messages_follow_the_compatibility_rule(revision: RecordedRevision) -> None:
    assert rule.message_faults(revision.messages, Message, REQUIRED_FEATURE) == []


def test_records_follow_the_compatibility_rule(revision: RecordedRevision) -> None:
    older = [getattr(revision.definitions["records"], kind.__name__) for kind in RECORDS]
    assert rule.definition_faults(older, list(RECORDS)) == []


def test_current_records_are_decoded_by_an_older_revision(revision: RecordedRevision) -> None:
    for kind in RECORDS:
        older = getattr(revision.definitions["records"], kind.__name__)
        record = sample(kind, True)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=older)
        assert contains_all(msgspec.to_builtins(read), record)


# --- stores ---


def open_recorded_store(revision: RecordedRevision, role: str, folder: Path) -> LmdbStore:
    (folder / "replica.lmdb").write_bytes(revision.store(role))
    return LmdbStore(folder, DISK_MB)


def test_storage_node_continues_with_the_store_of_an_older_revision(
    revision: RecordedRevision, tmp_path: Path
) -> None:
    store = open_recorded_store(revision, "storage", tmp_path)
    assert store.identity and store.position.version > 10
    table = JobTable(store)
    table.load()
    assert {
        name: (len(job.items), job.committed_positions, job.record.ended) for name, job in table.jobs.items()
    } == {
        "job-done": (3, 3, False), "job-open": (4, 1, False), "job-ended": (3, 0, True),
    }  # fmt: skip
    assert table.body("job-open", "i1") == b"i1"
    page = table.page("job-done", 0)
    assert isinstance(page, jobs.ResultPage) and {each.state for each in page.results} == {"succeeded"}
    assert store.get(job_ids.ERRORS_PREFIX + "job-open") is not None


def test_control_node_continues_with_the_store_of_an_older_revision(
    revision: RecordedRevision, tmp_path: Path
) -> None:
    store = open_recorded_store(revision, "control", tmp_path)
    assert store.identity.startswith("founder@")
    assert parse_stored(store.get(CURRENT_KEY) or b"")["generation"] == 2
    nodes, sidecars = msgspec.json.decode(store.get(SESSIONS_KEY) or b"", type=tuple[list[NodeRecord], int])
    # Sidecars stop first.
    assert {node.role for node in nodes} == {"control", "storage"} and 0 <= sidecars <= 2
    assert list(retirement.decode_orders(store.scan(retirement.RETIRE_PREFIX))) == ["storage-6"]
    ledger = SpendingLedger()
    ledger.load(dict(store.scan(LEASED_PREFIX)))
    endpoints = store.get(ENDPOINTS_KEY)
    assert endpoints is None or len(msgspec.msgpack.decode(endpoints, type=list[EndpointRecord])) == 2


def test_store_in_an_unreadable_format_is_refused_and_left_unchanged(tmp_path: Path) -> None:
    store = LmdbStore(tmp_path, DISK_MB, "id@h:1")
    store.apply([Update(Position(1, 1), [Write(FORMAT_KEY, b"2")])])
    store.close()
    file = tmp_path / "replica.lmdb"
    before = file.read_bytes()
    with pytest.raises(StoreUnusable, match=r"records of form 2; this program reads up to 1: start a newer"):
        LmdbStore(tmp_path, DISK_MB, readable_format=1)
    assert file.read_bytes() == before
    again = LmdbStore(tmp_path, DISK_MB, readable_format=2)
    assert (again.identity, again.position) == ("id@h:1", Position(1, 1))


# --- violations of the rule are found ---


class ClosedEnum(Enum):
    ONE = "one"


class OpenEnum(Enum):
    ONE = "one"

    @classmethod
    def _missing_(cls, value: object) -> OpenEnum:
        return cls.ONE


class Row(Struct, array_like=True):
    a: int
    b: int = 0


class Old(Struct, tag="M"):
    a: int
    b: str = ""
    word: ClosedEnum = ClosedEnum.ONE
    open_word: OpenEnum = OpenEnum.ONE
    rows: list[Row] = []


def named_old(kind: Any) -> Any:
    """The definition under the name of the old one."""
    kind.__name__ = "Old"
    return kind


def test_new_field_with_a_default_follows_the_rule() -> None:
    class New(Struct, tag="M"):
        c: int = 0
        a: int = 0
        b: str = ""
        word: ClosedEnum = ClosedEnum.ONE
        open_word: OpenEnum = OpenEnum.ONE
        rows: list[Row] = []

    assert rule.struct_faults(Old, New) == ["Old.a: the default was changed"]


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ([("a", int)], "Old.b: the field was removed"),
        ([("a", float), ("b", str, "")], "Old.a: the type was changed"),
        ([("a", int), ("b", str, "x")], "Old.b: the default was changed"),
        ([("a", int), ("c", int), ("b", str, "")], "Old.c: the new field has no default"),
    ],
)
def test_changed_message_breaks_the_rule(fields: list[Any], fault: str) -> None:
    rest = [
        ("word", ClosedEnum, ClosedEnum.ONE),
        ("open_word", OpenEnum, OpenEnum.ONE),
        ("rows", list[Row], []),
    ]
    assert rule.struct_faults(Old, msgspec.defstruct("Old", [*fields, *rest], tag="M")) == [fault]


def test_changed_field_order_or_encoding_of_a_record_breaks_the_rule() -> None:
    reordered = msgspec.defstruct("Row", [("a", int), ("c", int, 0), ("b", int, 0)], array_like=True)
    assert rule.struct_faults(Row, reordered) == ["Row: the order of the fields was changed"]
    assert rule.struct_faults(Row, msgspec.defstruct("Row", [("a", int), ("b", int, 0)])) == [
        "Row: the encoding (array_like) was changed"
    ]


def test_new_enum_value_breaks_the_rule_unless_older_programs_map_unknown_values() -> None:
    class More(Enum):
        ONE = "one"
        TWO = "two"

    class Less(Enum):
        TWO = "two"

    assert rule.enum_faults(ClosedEnum, More) == [
        "ClosedEnum: two would close the session of an older program"
    ]
    assert rule.enum_faults(OpenEnum, More) == []
    assert rule.enum_faults(OpenEnum, Less) == ["OpenEnum.ONE: the value was removed"]


def test_new_message_breaks_the_rule_unless_peers_must_declare_support() -> None:
    class Added(Struct, tag=True):
        a: int

    assert rule.message_faults(Old | Row, Old | Row | Added, {}) == [
        "Added: the new message is sent to peers that have not declared support for it"
    ]
    assert rule.message_faults(Old | Row, Old | Row | Added, {Added: Feature.DEFLATE}) == []


def test_own_support_names_all_features() -> None:
    assert all(OWN_SUPPORT.includes(feature) for feature in Feature)
    assert set(REQUIRED_FEATURE.values()) <= set(Feature)
