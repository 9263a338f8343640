"""The measurement of drains at many dispatchers, in a small form: the same verdict each time."""

import json

import pytest

from bench import drain_fleet


def test_no_dispatcher_sends_new_work_to_drained_workers_too_late(capsys):
    words = "--instances 4 --workers 6 --rate 20 --seconds 6 --hang --restart --json"
    assert drain_fleet.main(words.split()) == 0
    told = json.loads(capsys.readouterr().out)
    rows = {row["instance"]: row for row in told["instances"]}
    # The one that hung is unknown, not done, and was told once it could hear; the others at once.
    assert [rows[f"n{number}"]["state"] for number in range(4)] == ["done", "done", "done", "unknown"]
    after = {name: row["told after ms"] for name, row in rows.items()}
    assert told["code"] == 3 and after["n3"] > max(after["n0"], after["n1"])
    for row in rows.values():
        assert row["sent"] > 0 and row["to drained before"] > 0, "there was nothing to drain"
    assert sum([row["to drained after restore"] for row in rows.values()]) > 0
    assert told["answers"]["200"] > 200


@pytest.mark.parametrize("words", [["--instances", "x"], ["--fly"]])
def test_odd_words_are_refused(words, capsys):
    with pytest.raises(SystemExit) as ended:
        drain_fleet.main(words)
    assert ended.value.code == 2 and capsys.readouterr().err
