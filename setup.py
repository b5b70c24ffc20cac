"""Builds the package and compiles its pure modules with mypyc if a C compiler is available.

Without a compiler the same modules run interpreted.  The hash of each compiled file is recorded in
`pumicepath/compiled.json`, so that a module edited after the build is not run from the older compiled form
(see `pumicepath/compiled.py`).
"""

import hashlib
import json
import sys
from pathlib import Path

from setuptools import setup
from setuptools.command.build_ext import build_ext

HERE = Path(__file__).resolve().parent
COMPILED_MODULES = [
    "pumicepath/balancer.py",
    "pumicepath/interface.py",
    "pumicepath/settings.py",
    "pumicepath/invariants.py",
    "pumicepath/http1/errors.py",
    "pumicepath/http1/limits.py",
    "pumicepath/http1/ring.py",
    "pumicepath/http1/fields.py",
    "pumicepath/http1/chunked.py",
    "pumicepath/http1/messages.py",
    "pumicepath/http1/parsing.py",
    "pumicepath/http1/writing.py",
    "pumicepath/admission/queue.py",
]
BUILD_RECORD = HERE / "pumicepath" / "compiled.json"


class OptionalBuildExt(build_ext):
    """Compiles all modules or none, so that a failed build does not leave modules of different versions."""

    def run(self) -> None:
        """Build the extensions, then record the hashes of their sources; a failure only prints a message."""
        BUILD_RECORD.unlink(missing_ok=True)
        try:
            super().run()
        except BaseException as error:  # no compiler or headers, a compile error; setuptools may exit
            print(f"pumicepath is not compiled and will run interpreted: {error}", file=sys.stderr)
            self.extensions = []
            return
        if self.extensions:
            hashes = {
                name: hashlib.sha256((HERE / name).read_bytes()).hexdigest() for name in COMPILED_MODULES
            }
            built = sorted(
                str(file.relative_to(HERE))
                for where in (HERE, HERE / "pumicepath")
                for file in (where.glob("*.so") if where == HERE else where.rglob("*.so"))
            )
            BUILD_RECORD.write_text(json.dumps({"files": hashes, "built": built}, indent=1) + "\n")


def extensions() -> list:
    """Return mypyc's extension modules, or an empty list if mypyc is missing or fails."""
    try:
        from mypyc.build import mypycify

        return mypycify(["--config-file=", *COMPILED_MODULES], opt_level="3", debug_level="0")
    except BaseException as error:  # mypyc raises SystemExit on an error
        print(f"pumicepath is not compiled and will run interpreted: {error}", file=sys.stderr)
        return []


setup(ext_modules=extensions(), cmdclass={"build_ext": OptionalBuildExt})
