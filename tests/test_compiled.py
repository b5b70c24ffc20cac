"""Which form of the pure modules runs, as files change and builds go missing."""

import json
from hashlib import sha256
from pathlib import Path

from pumicepath import balancer, compiled
from pumicepath.http1 import parsing

from .helpers import check_trace


def test_only_a_whole_build_of_the_files_as_they_are_runs(tmp_path: Path) -> None:
    (tmp_path / "pumicepath").mkdir()
    file, library = tmp_path / "pumicepath" / "a.py", tmp_path / "pumicepath" / "a.so"
    record = tmp_path / compiled.BUILD_RECORD
    lines = []

    def look(name: str, asked: bool = False) -> None:
        chosen, files = compiled.detect_form(tmp_path, asked)
        lines.append(f"{name}: {chosen}; from files {sorted(files)}")

    file.write_text("A = 1\n")
    look("nothing built")
    library.write_text("")
    told = {"files": {"pumicepath/a.py": sha256(file.read_bytes()).hexdigest()}, "built": ["pumicepath/a.so"]}
    record.write_text(json.dumps(told))
    look("built")
    look("built, sources asked for", asked=True)
    file.write_text("A = 2\n")
    look("edited since")
    file.write_text("A = 1\n")
    library.unlink()
    look("half of it gone")
    record.write_text("{")
    look("record torn")
    check_trace("compiled", lines)


def test_the_form_that_is_told_is_the_one_that_runs() -> None:
    ends = {Path(module.__file__).suffix for module in (logic, parsing)}
    assert ends == ({".so"} if compiled.FORM == "compiled" else {".py"})
