"""Selects the form in which the pure modules run: compiled by `setup.py`, or interpreted.

Python would import an extension module that is older than its source file without a warning, and would mix
compiled and interpreted modules if a build is incomplete.  Therefore all of them run interpreted unless every
source file is the same as when it was compiled and everything that was built is still there.
PUMICEPATH_INTERPRETED=1 in the environment selects the interpreted form as well.
"""

import hashlib
import importlib.machinery
import importlib.util
import json
import os
import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).resolve().parent.parent
BUILD_RECORD = "pumicepath/compiled.json"


class SourceFinder:
    """A meta path finder that loads some modules from their source files, never from extension modules."""

    def __init__(self, files: dict[str, Path]) -> None:
        self.files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of the source file; None for a module that this finder doesn't have."""
        file = self.files.get(name)
        if file is None:
            return None
        loader = importlib.machinery.SourceFileLoader(name, str(file))
        return importlib.util.spec_from_file_location(name, file, loader=loader)


def detect_form(root: Path, interpreted_requested: bool) -> tuple[str, dict[str, Path]]:
    """Return the form that is to run, with the reason if interpreted, and the modules to load from source.

    The latter are the source files by module name; empty if Python's own import finds the right form.
    """
    record = root / BUILD_RECORD
    try:
        recorded = json.loads(record.read_bytes())
        hashes, built = dict(recorded["files"]), list(recorded["built"])
    except FileNotFoundError:
        return "interpreted: not compiled", {}
    except (OSError, ValueError, KeyError, TypeError):
        all_files = [file for file in (root / "pumicepath").rglob("*.py") if file.stem != "__init__"]
        return f"interpreted: {BUILD_RECORD} can't be read", {
            ".".join(file.relative_to(root).with_suffix("").parts): file for file in all_files
        }
    present = [name for name in hashes if (root / name).exists()]
    files = {name[:-3].replace("/", "."): root / name for name in present}
    if interpreted_requested:
        return "interpreted: asked for", files
    for name, compiled_hash in hashes.items():
        if name not in present:
            return f"interpreted: {name}, which was compiled, is missing", files
        if hashlib.sha256((root / name).read_bytes()).hexdigest() != compiled_hash:
            return f"interpreted: {name} has changed since it was compiled", files
    for name in built:
        if not (root / name).exists():
            return f"interpreted: {name} is missing", files
    return "compiled", {}


def select_form() -> str:
    """Make Python import the right form and return its description.

    Must be called before any of the modules is imported.
    """
    chosen, files = detect_form(ROOT, bool(os.environ.get("PUMICEPATH_INTERPRETED")))
    if files:
        sys.meta_path.insert(0, SourceFinder(files))
    elif chosen == "compiled" and str(ROOT) not in sys.path:
        sys.path.append(str(ROOT))  # the extension modules share a library that lies there
    return chosen


FORM = select_form()
