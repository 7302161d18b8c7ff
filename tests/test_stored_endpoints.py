"""The stored endpoint list, which a primary starts with after all nodes have lost power."""

from __future__ import annotations

from eiderhub.control.messages import EndpointRecord, EndpointsUpdate, TableVersion
from eiderhub.control.stored_endpoints import ENDPOINTS_KEY, endpoint_list_writes, initial_endpoint_list

ENDPOINTS = [
    EndpointRecord("i-1", "s", "10.0.0.1:80", "z", True, 8),
    EndpointRecord("i-2", "s", "h:1", "y", False, 8),
]
NO_ENDPOINTS = EndpointsUpdate(TableVersion(0, 0), [])


class FakeState(dict[str, bytes]):
    """Control state in memory."""

    def store(self, endpoints: list[EndpointRecord]) -> int:
        writes = endpoint_list_writes(self, endpoints)
        self.update({write.key: write.value or b"" for write in writes})
        return len(writes)


def test_stored_list_is_returned_to_a_primary_without_endpoints() -> None:
    state = FakeState()
    assert initial_endpoint_list(state, NO_ENDPOINTS) is None
    state.store(ENDPOINTS)
    assert initial_endpoint_list(state, NO_ENDPOINTS) == ENDPOINTS


def test_stored_list_is_ignored_by_a_primary_with_endpoints() -> None:
    state = FakeState()
    state.store(ENDPOINTS)
    assert initial_endpoint_list(state, EndpointsUpdate(TableVersion(1, 4), ENDPOINTS[:1])) is None


def test_list_is_written_only_when_it_changes() -> None:
    state = FakeState()
    assert [state.store(ENDPOINTS), state.store(ENDPOINTS), state.store(ENDPOINTS[:1])] == [1, 0, 1]


def test_stored_list_that_cannot_be_decoded_is_ignored() -> None:
    assert initial_endpoint_list(FakeState({ENDPOINTS_KEY: b"\xc1 not a list"}), NO_ENDPOINTS) is None
