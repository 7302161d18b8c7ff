"""Helpers with which commands call the list service."""

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


def call_service(address: Address, send: Callable[[RegistryClient], Coroutine[Any, Any, T]]) -> T:
    """Run one call to the list service.

    Raises:
        click.exceptions.Exit: with status 1, after printing why the call failed.
    """

    async def send_and_close() -> T:
        client = RegistryClient(address)
        try:
            return await send(client)
        finally:
            client.close()

    try:
        return asyncio.run(send_and_close())
    except (NoReplyError, RequestRefusedError) as error:
        click.echo(f"ottercleat: {address}: {error}", err=True)
        raise click.exceptions.Exit(1) from None


def convert_arguments(arguments: dict[str, Any], target_type: type[T]) -> T:
    """Convert arguments to `target_type`; raises UsageError that names the faulty argument."""
    try:
        return convert(arguments, target_type, human_format=True)
    except DocumentError as error:
        raise click.UsageError(str(error.faults[0])) from None
