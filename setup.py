"""Builds the pure modules as C by mypyc, where there is a compiler; without one the same files run.

What was compiled is written down in the package with the hash of each file, so that a module that has been
edited since is never run from an older build (see `pumicepath/compiled.py`).
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
    "pumicepath/http1/ring.py",
    "pumicepath/http1/messages.py",
    "pumicepath/http1/parsing.py",
    "pumicepath/http1/writing.py",
    "pumicepath/admission/queue.py",
]
BUILD_RECORD = HERE / "pumicepath" / "compiled.json"


class OptionalBuildExt(build_ext):
    """Compiles all or nothing: guards against a part that was built from other files than the rest."""

    def run(self) -> None:
        BUILD_RECORD.unlink(missing_ok=True)
        try:
            super().run()
        except BaseException as trouble:  # no compiler, no headers, a refusal: setuptools exits as well
            print(f"pumicepath is not compiled, and runs as it is: {trouble}", file=sys.stderr)
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
    try:
        from mypyc.build import mypycify

        return mypycify(["--config-file=", *COMPILED_MODULES], opt_level="3", debug_level="0")
    except BaseException as trouble:  # mypyc exits where it can't go on
        print(f"pumicepath is not compiled, and runs as it is: {trouble}", file=sys.stderr)
        return []


setup(ext_modules=extensions(), cmdclass={"build_ext": OptionalBuildExt})
