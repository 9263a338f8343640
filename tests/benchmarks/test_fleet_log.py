"""Counting the events in the logs of a fleet (bench/fleet.py)."""

import pytest

from bench import fleet as count

VALID_LOG = [
    "0.5 = 1000.0 events 1 n0",
    "0.5 dunepulley service: n0 listens",
    "0.6 = 1100.0 arrived a look 500 0 40",
    "0.6 = 1100.5 sent a w1",
    "0.7 = 1200.0 ended a w1 full 99 0",
    "0.7 = 1200.0 sent a w2",
    "0.8 = 1300.0 deferred a 0",
]


def write_log(folder, lines, end="\n"):
    (folder / "n0.log").write_text("\n".join(lines) + end)
    return str(folder)


def test_counts_events_by_time_and_by_endpoint(tmp_path, capsys):
    assert count.main([write_log(tmp_path, VALID_LOG), "--step", "200"]) == 0
    _, first, second = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert first[:4] == ["0.0", "1", "0", "1"] and second[3:9] == ["1", "1", "1", "0", "1", "0"]
    assert count.main([str(tmp_path), "--by", "worker"]) == 0
    assert [line.split()[0] for line in capsys.readouterr().out.splitlines()[1:]] == ["w1", "w2"]


@pytest.mark.parametrize(
    ("lines", "end"),
    [
        (VALID_LOG, ""),  # truncated within the last line
        (VALID_LOG[:4] + ["0.7 = 1200.0 ended a w1"], "\n"),  # a truncated line before the end
        (["0.5 = 1000.0 events 2 n0"], "\n"),  # another format
        (VALID_LOG[2:], "\n"),  # without the line that names the format
        (VALID_LOG[:1] + ["0.6 = soon sent a w1"], "\n"),
        (["0.5 dunepulley service: n0 listens"], "\n"),  # a log written without --events
    ],
)
def test_refuses_an_unusable_log_with_one_line(tmp_path, capsys, lines, end):
    assert count.main([write_log(tmp_path, lines, end)]) == 2
    captured = capsys.readouterr()
    assert not captured.out and captured.err.count("\n") == 1
