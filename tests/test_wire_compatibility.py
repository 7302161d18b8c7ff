"""Messages, records and stores of earlier landings are read today, and today's by earlier landings."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import Struct

from eiderhub.batch import jobs
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
from tests.golden.landings import Landing
from tests.golden.samples import message_unions, sample, samples, union_types

DISK_MB = 16.0
RECORDS = (jobs.ItemRecord, jobs.JobRecord, jobs.ResultRecord, retirement.RetireOrder)


@pytest.fixture(params=landings.NAMES)
def landing(request: pytest.FixtureRequest) -> Landing:
    return landings.load(request.param)


def keeps(told: Any, read: Any) -> bool:
    """Whether all that was told was read; what the reader adds by itself does not count.

    `told`: plain values. `read`: a message, or plain values.
    """
    if isinstance(told, dict) and isinstance(read, Struct):
        own = {name: value for name, value in told.items() if name != "type"}
        return all(keeps(value, getattr(read, name)) for name, value in own.items())
    if isinstance(told, dict):
        return isinstance(read, dict) and all(key in read and keeps(told[key], read[key]) for key in told)
    if isinstance(told, list | tuple) and isinstance(read, Struct):
        read = [getattr(read, name) for name in read.__struct_fields__]
    if isinstance(read, Enum | bytes):
        read = msgspec.to_builtins(read)
    if isinstance(told, list | tuple):
        return isinstance(read, list | tuple) and len(read) >= len(told) and all(map(keeps, told, read))
    return bool(told == read)


def frame(body: bytes) -> bytearray:
    return bytearray(frames.LENGTH_PREFIX.pack(len(body)) + body)


def test_landings_are_recorded() -> None:
    assert {"landing-01968da", "landing-85c3f60"} <= set(landings.NAMES)


def test_frames_of_an_earlier_landing_are_read_whole(landing: Landing) -> None:
    assert len(landing.frames) >= 2 * len(union_types(landing.messages))
    for name, recorded in landing.frames.items():
        buffer = frame(bytes.fromhex(recorded["body"]))
        message = frames.decode_frame(buffer, 0, len(buffer))
        assert not isinstance(message, frames.UnknownMessage), name
        assert keeps(recorded["values"], message), name


def test_an_earlier_landing_reads_whatever_it_may_be_sent(landing: Landing) -> None:
    decode = landing.decoder().decode
    sent = 0
    for name, message in samples(message_unions()):
        if not frames.can_send(landing.support, message):  # type: ignore[arg-type]
            continue
        sent += 1
        read = decode(msgspec.msgpack.encode(message))
        assert type(read).__name__ == type(message).__name__
        assert keeps(msgspec.to_builtins(read), message), name
    assert sent >= len(landing.frames) - 2


def test_messages_follow_the_rule(landing: Landing) -> None:
    assert rule.message_faults(landing.messages, Message, REQUIRED_FEATURE) == []


def test_records_follow_the_rule(landing: Landing) -> None:
    older = [getattr(landing.definitions["records"], kind.__name__) for kind in RECORDS]
    assert rule.definition_faults(older, list(RECORDS)) == []


def test_records_of_today_are_read_by_an_earlier_landing(landing: Landing) -> None:
    for kind in RECORDS:
        older = getattr(landing.definitions["records"], kind.__name__)
        record = sample(kind, True)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=older)
        assert keeps(msgspec.to_builtins(read), record)


# --- stores ---


def opened(landing: Landing, role: str, folder: Path) -> LmdbStore:
    (folder / "replica.lmdb").write_bytes(landing.store(role))
    return LmdbStore(folder, DISK_MB)


def test_a_storage_node_goes_on_with_the_store_of_an_earlier_landing(
    landing: Landing, tmp_path: Path
) -> None:
    store = opened(landing, "storage", tmp_path)
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
    assert store.get(jobs.ERRORS_PREFIX + "job-open") is not None


def test_a_control_node_goes_on_with_the_store_of_an_earlier_landing(
    landing: Landing, tmp_path: Path
) -> None:
    store = opened(landing, "control", tmp_path)
    assert store.identity.startswith("founder@")
    assert parse_stored(store.get(CURRENT_KEY) or b"")["generation"] == 2
    nodes, sidecars = msgspec.json.decode(store.get(SESSIONS_KEY) or b"", type=tuple[list[NodeRecord], int])
    assert {node.role for node in nodes} == {"control", "storage"} and 0 <= sidecars <= 2  # they stop first
    assert list(retirement.decode_orders(store.scan(retirement.RETIRE_PREFIX))) == ["storage-6"]
    ledger = SpendingLedger()
    ledger.load(dict(store.scan(LEASED_PREFIX)))
    kept = store.get(ENDPOINTS_KEY)
    assert kept is None or len(msgspec.msgpack.decode(kept, type=list[EndpointRecord])) == 2


def test_a_store_in_a_format_that_is_not_read_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
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


# --- the rule finds what breaks it ---


class Word(Enum):
    ONE = "one"


class OpenWord(Enum):
    ONE = "one"

    @classmethod
    def _missing_(cls, value: object) -> OpenWord:
        return cls.ONE


class Row(Struct, array_like=True):
    a: int
    b: int = 0


class Old(Struct, tag="M"):
    a: int
    b: str = ""
    word: Word = Word.ONE
    open_word: OpenWord = OpenWord.ONE
    rows: list[Row] = []


def renamed(made: Any) -> Any:
    """The same definition under the name of the old one."""
    made.__name__ = "Old"
    return made


def test_a_new_field_with_a_default_keeps_the_rule() -> None:
    class New(Struct, tag="M"):
        c: int = 0
        a: int = 0
        b: str = ""
        word: Word = Word.ONE
        open_word: OpenWord = OpenWord.ONE
        rows: list[Row] = []

    assert rule.struct_faults(Old, New) == ["Old.a: it has another default"]


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ([("a", int)], "Old.b: it is gone"),
        ([("a", float), ("b", str, "")], "Old.a: it has another type"),
        ([("a", int), ("b", str, "x")], "Old.b: it has another default"),
        ([("a", int), ("c", int), ("b", str, "")], "Old.c: it has no default"),
    ],
)
def test_a_changed_message_breaks_the_rule(fields: list[Any], fault: str) -> None:
    rest = [("word", Word, Word.ONE), ("open_word", OpenWord, OpenWord.ONE), ("rows", list[Row], [])]
    assert rule.struct_faults(Old, msgspec.defstruct("Old", [*fields, *rest], tag="M")) == [fault]


def test_another_order_of_a_record_breaks_the_rule() -> None:
    made = msgspec.defstruct("Row", [("a", int), ("c", int, 0), ("b", int, 0)], array_like=True)
    assert rule.struct_faults(Row, made) == ["Row: its fields have another order"]
    assert rule.struct_faults(Row, msgspec.defstruct("Row", [("a", int), ("b", int, 0)])) == [
        "Row: it is written in another way"
    ]


def test_a_new_word_breaks_the_rule_unless_older_programs_give_it_a_meaning() -> None:
    class More(Enum):
        ONE = "one"
        TWO = "two"

    class Less(Enum):
        TWO = "two"

    assert rule.enum_faults(Word, More) == ["Word: two would end the session of an older program"]
    assert rule.enum_faults(OpenWord, More) == []
    assert rule.enum_faults(OpenWord, Less) == ["OpenWord.ONE: it is gone"]


def test_a_new_message_breaks_the_rule_unless_its_peer_has_to_ask_for_it() -> None:
    class Added(Struct, tag=True):
        a: int

    assert rule.message_faults(Old | Row, Old | Row | Added, {}) == [
        "Added: it is new, and sent to peers that have not said they take it"
    ]
    assert rule.message_faults(Old | Row, Old | Row | Added, {Added: Feature.DEFLATE}) == []


def test_own_support_names_all_features() -> None:
    assert all(OWN_SUPPORT.includes(feature) for feature in Feature)
    assert set(REQUIRED_FEATURE.values()) <= set(Feature)
