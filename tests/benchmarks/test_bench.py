"""Small runs of the drain and failover benchmarks."""

import json

import pytest

from bench import drain_fleet, failover


def test_no_dispatcher_sends_requests_to_drained_endpoints_after_the_grace_period(capsys):
    arguments = "--instances 4 --workers 6 --rate 20 --seconds 6 --hang --restart --json"
    assert drain_fleet.main(arguments.split()) == 0
    results = json.loads(capsys.readouterr().out)
    rows = {row["instance"]: row for row in results["instances"]}
    # The stopped dispatcher counts as unknown, not done, and is notified after it runs again.
    assert [rows[f"n{number}"]["state"] for number in range(4)] == ["done", "done", "done", "unknown"]
    notified_after_ms = {name: row["told after ms"] for name, row in rows.items()}
    assert results["code"] == 3 and notified_after_ms["n3"] > max(
        notified_after_ms["n0"], notified_after_ms["n1"]
    )
    for row in rows.values():
        assert row["sent"] > 0 and row["to drained before"] > 0, "no traffic before the drain"
    assert sum([row["to drained after restore"] for row in rows.values()]) > 0
    assert results["answers"]["200"] > 200


def test_all_dispatchers_leave_a_lost_zone_and_return_without_overloading_it(capsys):
    assert failover.main(["--small"]) == 0
    last_line = capsys.readouterr().out.splitlines()[-1]
    results = dict([field.rsplit(" ", 1) for field in last_line.split(", ")])
    assert results["cold pushed over"] == results["no answer"] == "0"
    assert float(results["acted s"]) < 6.0 < float(results["near s"])


@pytest.mark.parametrize(
    ("result", "expected_text"),
    [
        ({"no answer": 2}, "2 items had no answer"),
        ({"cold pushed over": 1}, "pushed over"),
        ({"acted s": 7.0}, "within 6 s"),
        ({"sent to the left zone": 3}, "3 hand-offs"),
        ({"near s": None}, "did not become near"),
        ({"near s": 25.0}, "from its first trial"),
        ({"crossed calm": 0.2}, "0.20 crossed"),
    ],
)
def test_reports_each_failover_limit_that_is_exceeded(result, expected_text):
    passing = {"way": "common", "no answer": 0, "cold pushed over": 0, "acted s": 2.0, "near s": 20.0}
    passing |= {"sent to the left zone": 0, "crossed calm": 0.0, "tried s": 8.5}
    assert failover.violations_of(passing) == []
    failing = {name: value for name, value in (passing | result).items() if value is not None}
    assert len(failover.violations_of(failing)) == 1 and expected_text in failover.violations_of(failing)[0]


@pytest.mark.parametrize("arguments", [["--instances", "x"], ["--fly"]])
def test_invalid_arguments_are_refused(arguments, capsys):
    with pytest.raises(SystemExit) as exit_info:
        drain_fleet.main(arguments)
    assert exit_info.value.code == 2 and capsys.readouterr().err
