"""Which form of the pure modules runs: compiled by `setup.py`, or as they are.

Guards against a build that is older than its file, which would run in its place and not say so, and against
half a build: unless every file is as it was when they were compiled, and all that was built from them is
there, all of them run interpreted.  PUMICEPATH_INTERPRETED=1 asks for that too.
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
    """Finds the files of some modules, and never what was built from them."""

    def __init__(self, files: dict[str, Path]) -> None:
        self.files = files

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        if file is None:
            return None
        loader = importlib.machinery.SourceFileLoader(name, str(file))
        return importlib.util.spec_from_file_location(name, file, loader=loader)


def detect_form(root: Path, interpreted_requested: bool) -> tuple[str, dict[str, Path]]:
    """What runs, and why; with the files of the modules that must not run from what was built, if any."""
    record = root / BUILD_RECORD
    try:
        told = json.loads(record.read_bytes())
        hashes, built = dict(told["files"]), list(told["built"])
    except FileNotFoundError:
        return "interpreted: not compiled", {}
    except (OSError, ValueError, KeyError, TypeError):
        all_files = [file for file in (root / "pumicepath").rglob("*.py") if file.stem != "__init__"]
        return f"interpreted: {BUILD_RECORD} can't be read", {
            ".".join(file.relative_to(root).with_suffix("").parts): file for file in all_files
        }
    files = {name[:-3].replace("/", "."): root / name for name in hashes}
    if interpreted_requested:
        return "interpreted: asked for", files
    for name, hash_then in hashes.items():
        if hashlib.sha256((root / name).read_bytes()).hexdigest() != hash_then:
            return f"interpreted: {name} has changed since it was compiled", files
    for name in built:
        if not (root / name).exists():
            return f"interpreted: {name} is missing", files
    return "compiled", {}


def select_form() -> str:
    """Have Python import the right form, before any of the modules is imported; tells which that is."""
    chosen, files = detect_form(ROOT, bool(os.environ.get("PUMICEPATH_INTERPRETED")))
    if files:
        sys.meta_path.insert(0, SourceFinder(files))
    elif chosen == "compiled" and str(ROOT) not in sys.path:
        sys.path.append(str(ROOT))  # where the library stands that all of them share
    return chosen


FORM = select_form()
