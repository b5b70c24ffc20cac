"""Two source trees of this repository to measure in alternation: an older commit and the working tree."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def git(*arguments: str) -> None:
    """Run git in the repository; raises CalledProcessError if it fails."""
    subprocess.run(["git", "-C", str(ROOT), *arguments], check=True)


@contextmanager
def checked_out_trees(old: str) -> Iterator[dict[str, Path]]:
    """The trees by name: `old`, if a commit is given, and `new`; the old one is removed at the end.

    The old tree is not compiled: to compare it with a compiled one, set PUMICEPATH_INTERPRETED=1 for both.
    """
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "old"
        if old:
            git("worktree", "add", "-q", "--detach", str(tree), old)
        try:
            yield {"old": tree, "new": ROOT} if old else {"new": ROOT}
        finally:
            if old:
                git("worktree", "remove", "--force", str(tree))
