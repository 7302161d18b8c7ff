"""The endpoint list that a primary begins with after a loss of all."""

from __future__ import annotations

from eiderhub.control.kept_list import LIST_KEY, provisional_list, writes_of
from eiderhub.control.messages import EndpointRecord, EndpointsUpdate, TableVersion

LISTED = [
    EndpointRecord("i-1", "s", "10.0.0.1:80", "z", True, 8),
    EndpointRecord("i-2", "s", "h:1", "y", False, 8),
]
NOTHING = EndpointsUpdate(TableVersion(0, 0), [])


class Kept(dict[str, bytes]):
    """A store that has what the writes put there."""

    def keep(self, listed: list[EndpointRecord]) -> int:
        writes = writes_of(self, listed)
        self.update({write.key: write.value or b"" for write in writes})
        return len(writes)


def test_what_is_kept_comes_back_to_a_primary_that_knows_nothing() -> None:
    store = Kept()
    assert provisional_list(store, NOTHING) is None
    store.keep(LISTED)
    assert provisional_list(store, NOTHING) == LISTED


def test_a_primary_that_knows_endpoints_goes_on_with_those() -> None:
    store = Kept()
    store.keep(LISTED)
    assert provisional_list(store, EndpointsUpdate(TableVersion(1, 4), LISTED[:1])) is None


def test_a_list_is_written_once_and_again_when_it_changes() -> None:
    store = Kept()
    assert [store.keep(LISTED), store.keep(LISTED), store.keep(LISTED[:1])] == [1, 0, 1]


def test_a_kept_list_that_cannot_be_read_is_passed_over() -> None:
    assert provisional_list(Kept({LIST_KEY: b"\xc1 no list"}), NOTHING) is None
