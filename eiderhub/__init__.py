"""eiderhub: load-balancing decisions for services that call services.

The public names are imported on first use. Programs that make no decisions, such as the control and storage
nodes of the tier, start faster without the modules of the balancer.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from eiderhub.balancer import Balancer
    from eiderhub.interface import (
        Actions,
        Discovery,
        Effect,
        Endpoint,
        Events,
        Goal,
        Group,
        Limits,
        ListForm,
        Outcome,
        Prices,
        Readiness,
        RequestClass,
        Rules,
        Settings,
        Tenant,
    )

__all__ = [
    "Actions",
    "Balancer",
    "Discovery",
    "Effect",
    "Endpoint",
    "Events",
    "Goal",
    "Group",
    "Limits",
    "ListForm",
    "Outcome",
    "Prices",
    "Readiness",
    "RequestClass",
    "Rules",
    "Settings",
    "Tenant",
]


def __getattr__(name: str) -> Any:
    """Import the module that defines a public name, on its first use."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = import_module("eiderhub.balancer" if name == "Balancer" else "eiderhub.interface")
    return getattr(module, name)
