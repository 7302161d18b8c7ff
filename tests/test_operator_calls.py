"""What the operator API reads from a request, whatever an operator or a client of it sends."""

from __future__ import annotations

import asyncio
import random
from http.client import HTTPConnection
from urllib.parse import quote

import pytest

from eiderhub.programs.operator_service import parse_generation
from eiderhub.transport.operator_calls import Call, Reply
from eiderhub.transport.operator_http import OperatorServer, decoded_path
from tests.outside_input import any_text

MAX_DIGITS = 19


NO_GENERATIONS = ("", "x", "-1", "+1", "1.0", "²", "٣", "1_000", '"1', "9" * 5_000, "*", 'W/"1"')


@pytest.mark.parametrize("text", NO_GENERATIONS)
def test_if_match_that_is_no_generation_is_refused_as_such(text: str) -> None:
    """Guards against an If-Match that raises an error: it was answered 500, at every control node."""
    assert parse_generation(text) is None


@pytest.mark.parametrize("text", ["0", "7", '"7"', " 7 ", "9" * MAX_DIGITS])
def test_if_match_with_or_without_quotes_is_a_generation(text: str) -> None:
    assert parse_generation(text) == int(text.strip(' "'))


def test_path_of_a_request_in_absolute_form() -> None:
    assert decoded_path("http://10.0.0.4:8080/retire/a%20b?x=1") == "/retire/a b"


def names() -> list[str]:
    rng = random.Random(1)
    drawn = {any_text(rng) for _ in range(40)} - {""}
    return ["storage-1", "a/b", "a%2Fb", "a b", "a?b", "é", "n" * 600, *sorted(drawn)]


def test_path_names_the_machine_whatever_its_name() -> None:
    """Guards against a machine that cannot be retired, since its name is read in another encoding."""

    async def test() -> None:
        seen: list[str] = []

        async def handle(call: Call) -> Reply:
            seen.append(call.path)
            return Reply(200)

        server = OperatorServer("127.0.0.1", 0, handle)
        host, port = server.address

        def ask(name: str) -> int:
            connection = HTTPConnection(host, port, timeout=20.0)
            connection.request("POST", f"/retire/{quote(name, safe='')}", b"{}")
            status = connection.getresponse().status
            connection.close()
            return status

        for name in names():
            assert await asyncio.to_thread(ask, name) == 200
            assert seen.pop() == f"/retire/{name}"
        await asyncio.to_thread(server.stop)

    asyncio.run(test())
