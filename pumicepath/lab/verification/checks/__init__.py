"""What must hold in a history, a property a file: `PROPERTY` is a sentence, `check` names breaches of it."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Sequence

from ..history import Line

Check = Callable[[Sequence[Line]], list[str]]
PROPERTIES: dict[str, str] = {}
CHECKS: dict[str, Check] = {}
for _found in sorted(module.name for module in pkgutil.iter_modules(__path__)):
    _module = importlib.import_module(f"{__name__}.{_found}")
    PROPERTIES[_found] = _module.PROPERTY
    CHECKS[_found] = _module.check


def violations(lines: Sequence[Line]) -> dict[str, list[str]]:
    """By check, each breach in a line; checks that found none are left out."""
    return {name: found for name, check in CHECKS.items() if (found := check(lines))}
