"""Checks of a recorded history, one property per module.

Each module defines `PROPERTY`, a sentence that states the property, and `check`, which returns a
description of every violation.  Modules are discovered by file name; that name is the key in `PROPERTIES`
and `CHECKS` and in stored results.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Sequence

from ..history import Line

Check = Callable[[Sequence[Line]], list[str]]
PROPERTIES: dict[str, str] = {}
CHECKS: dict[str, Check] = {}
for _name in sorted(module.name for module in pkgutil.iter_modules(__path__)):
    _module = importlib.import_module(f"{__name__}.{_name}")
    PROPERTIES[_name] = _module.PROPERTY
    CHECKS[_name] = _module.check


def violations(lines: Sequence[Line]) -> dict[str, list[str]]:
    """Runs every check and returns the violations by check name, without the checks that found none."""
    return {name: texts for name, check in CHECKS.items() if (texts := check(lines))}
