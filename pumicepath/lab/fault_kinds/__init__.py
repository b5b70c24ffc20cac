"""Kinds of injected faults: one class per module; the module `new_id.py` defines the kind `new-id`."""

from __future__ import annotations

import importlib
import pkgutil

from .base import Fault

KINDS: dict[str, type[Fault]] = {}
for _found in sorted(module.name for module in pkgutil.iter_modules(__path__)):
    if _found != "base":
        _module = importlib.import_module(f"{__name__}.{_found}")
        KINDS[_found.replace("_", "-")] = next(
            member
            for member in vars(_module).values()
            if isinstance(member, type)
            and issubclass(member, Fault)
            and member.__module__ == _module.__name__
        )
