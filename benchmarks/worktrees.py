"""Two trees of this repository, to be measured in turns: an older commit and the files as they are."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def git(*arguments: str) -> None:
    subprocess.run(["git", "-C", str(ROOT), *arguments], check=True)


@contextmanager
def checked_out_trees(old: str) -> Iterator[dict[str, Path]]:
    """`old`, if one is named, and `new`; the older one is gone afterwards.

    The older one is not compiled: against a commit that could be, set PUMICEPATH_INTERPRETED=1 for both.
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
