"""Runs over many seeds: what they break, and which of them finds a planted fault."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any
from unittest import mock

from tests.model.items import Broken

Play = Callable[[int], None]
Patch = tuple[Any, str, Any]  # target, attribute, value


def _broken_in_block(play: Play, block: int, first: int) -> list[str]:
    found = []
    for seed in range(first, first + block):
        try:
            play(seed)
        except Broken as error:
            found.append(str(error))
    return found


def broken_by(play: Play, first: int, count: int, block: int) -> list[str]:
    """What so many seeds break, on all cores, a block of them at a time; `play` is to be a module's own."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        blocks = pool.map(partial(_broken_in_block, play, block), range(first, first + count, block))
        return [each for block_found in blocks for each in block_found]


@contextmanager
def patched(patches: tuple[Patch, ...]) -> Iterator[None]:
    """All of these at once."""
    with ExitStack() as stack:
        for target, name, value in patches:
            stack.enter_context(mock.patch.object(target, name, value))
        yield


def first_seed_that_breaks(
    play: Play, patches: tuple[Patch, ...], seeds: int, errors: tuple[type[Exception], ...] = (Broken,)
) -> int | None:
    """The first of so many seeds that ends in one of these errors while the patches are in place."""
    with patched(patches):
        for seed in range(seeds):
            try:
                play(seed)
            except errors:
                return seed
    return None
