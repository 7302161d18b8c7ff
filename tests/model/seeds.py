"""Runs of a model over many seeds, to find violations, or the first seed that finds a planted fault."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any
from unittest import mock

from tests.model.items import InvariantViolation

Play = Callable[[int], None]
Patch = tuple[Any, str, Any]  # target, attribute, value


def _violations_in_block(play: Play, block: int, first: int) -> list[str]:
    violations = []
    for seed in range(first, first + block):
        try:
            play(seed)
        except InvariantViolation as error:
            violations.append(str(error))
    return violations


def find_violations(play: Play, first: int, count: int, block: int) -> list[str]:
    """Return the violations in `count` seeds, run on all cores in blocks.

    `play` must be a module-level function, as it is sent to other processes.
    """
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        blocks = pool.map(partial(_violations_in_block, play, block), range(first, first + count, block))
        return [each for block_found in blocks for each in block_found]


@contextmanager
def patched(patches: tuple[Patch, ...]) -> Iterator[None]:
    """Apply all patches at once."""
    with ExitStack() as stack:
        for target, name, value in patches:
            stack.enter_context(mock.patch.object(target, name, value))
        yield


def find_first_failing_seed(
    play: Play,
    patches: tuple[Patch, ...],
    seeds: int,
    errors: tuple[type[Exception], ...] = (InvariantViolation,),
) -> int | None:
    """Return the first of `seeds` seeds that raises one of `errors` while the patches are applied."""
    with patched(patches):
        for seed in range(seeds):
            try:
                play(seed)
            except errors:
                return seed
    return None
