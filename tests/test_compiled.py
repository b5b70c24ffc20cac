"""Selection of the compiled or interpreted form as source files change and built files go missing."""

import json
from hashlib import sha256
from pathlib import Path

from pumicepath import balancer, compiled
from pumicepath.http1 import parsing

from .helpers import check_trace


def test_only_a_complete_and_current_build_runs(tmp_path: Path) -> None:
    (tmp_path / "pumicepath").mkdir()
    file, library = tmp_path / "pumicepath" / "a.py", tmp_path / "pumicepath" / "a.so"
    record = tmp_path / compiled.BUILD_RECORD
    lines = []

    def record_form(name: str, interpreted_requested: bool = False) -> None:
        chosen, files = compiled.detect_form(tmp_path, interpreted_requested)
        lines.append(f"{name}: {chosen}; from files {sorted(files)}")

    file.write_text("A = 1\n")
    record_form("nothing built")
    library.write_text("")
    content = {
        "files": {"pumicepath/a.py": sha256(file.read_bytes()).hexdigest()},
        "built": ["pumicepath/a.so"],
    }
    record.write_text(json.dumps(content))
    record_form("built")
    record_form("built, sources asked for", interpreted_requested=True)
    file.write_text("A = 2\n")
    record_form("edited since")
    file.write_text("A = 1\n")
    library.unlink()
    record_form("half of it gone")
    record.write_text("{")
    record_form("record torn")
    check_trace("compiled", lines)


def test_build_of_a_module_that_was_renamed_since_runs_from_source(tmp_path: Path) -> None:
    """A checkout that is updated keeps its old build: its record names files that are no longer there."""
    (tmp_path / "pumicepath").mkdir()
    kept, library = tmp_path / "pumicepath" / "a.py", tmp_path / "pumicepath" / "a.so"
    kept.write_text("A = 1\n")
    library.write_text("")
    hashes = {"pumicepath/a.py": sha256(kept.read_bytes()).hexdigest(), "pumicepath/old.py": "0"}
    (tmp_path / compiled.BUILD_RECORD).write_text(json.dumps({"files": hashes, "built": ["pumicepath/a.so"]}))
    from_source = {"pumicepath.a": kept}
    missing = "interpreted: pumicepath/old.py, which was compiled, is missing"
    assert compiled.detect_form(tmp_path, False) == (missing, from_source)
    assert compiled.detect_form(tmp_path, True) == ("interpreted: asked for", from_source)


def test_reported_form_is_the_one_that_runs() -> None:
    suffixes = {Path(module.__file__).suffix for module in (balancer, parsing)}
    assert suffixes == ({".so"} if compiled.FORM == "compiled" else {".py"})
