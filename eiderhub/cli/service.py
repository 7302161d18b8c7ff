"""Calls to the list service from commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import click

from eiderhub.address import Address
from eiderhub.documents import DocumentError, convert
from eiderhub.http1 import NoReplyError
from eiderhub.registry.client import RegistryClient, RequestRefusedError

T = TypeVar("T")


def ask(address: Address, work: Callable[[RegistryClient], Coroutine[Any, Any, T]]) -> T:
    """Carry out one call.

    Raises:
        click.exceptions.Exit: with status 1, after a line that says why.
    """

    async def asked() -> T:
        line = RegistryClient(address)
        try:
            return await work(line)
        finally:
            line.close()

    try:
        return asyncio.run(asked())
    except (NoReplyError, RequestRefusedError) as error:
        click.echo(f"ottercleat: {address}: {error}", err=True)
        raise click.exceptions.Exit(1) from None


def checked(told: dict[str, Any], kind: type[T]) -> T:
    """What the arguments come to; a fault names the argument."""
    try:
        return convert(told, kind, human_format=True)
    except DocumentError as error:
        raise click.UsageError(str(error.faults[0])) from None
