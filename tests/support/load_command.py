"""Runs the load tool with unusable files."""

from __future__ import annotations

from pathlib import Path

import pytest

from dunepulley.__main__ import main


def assert_file_refused(
    directory: Path, capsys: pytest.CaptureFixture[str], option: str, text: str | None, expected: str
) -> None:
    """Check that the load tool exits with 2 and one line that contains `expected`.

    `text` is the content of the file that `option` names, None for a missing file.
    """
    path, scenario = directory / "file", directory / "day.toml"
    scenario.write_text("seconds = 1.0\n")
    if text is not None:
        path.write_text(text)
    assert main(["load", str(scenario), option, str(path)]) == 2
    error = capsys.readouterr().err
    assert expected in error and error.count("\n") == 1
