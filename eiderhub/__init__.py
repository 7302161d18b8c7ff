"""eiderhub: load-balancing decisions for services that call services.

What is named here is imported when it is first asked for: programs that decide nothing, as the tier's control
and storage nodes, come up sooner without the decisions.
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
    """Import the module that has the name, for whoever asks for it first."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = import_module("eiderhub.balancer" if name == "Balancer" else "eiderhub.interface")
    return getattr(module, name)
