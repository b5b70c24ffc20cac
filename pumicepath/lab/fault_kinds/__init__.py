"""What may go wrong: a class a file, found by its file's name (`new_id.py` is the kind `new-id`)."""

from __future__ import annotations

import importlib
import pkgutil

from .base import Fault

KINDS: dict[str, type[Fault]] = {}
for _found in sorted(module.name for module in pkgutil.iter_modules(__path__)):
    if _found != "base":
        _module = importlib.import_module(f"{__name__}.{_found}")
        KINDS[_found.replace("_", "-")] = next(
            one
            for one in vars(_module).values()
            if isinstance(one, type) and issubclass(one, Fault) and one.__module__ == _module.__name__
        )
