"""The router's commands on recorded events are exactly the recorded ones, also after optimizations."""

import gzip
from pathlib import Path

import pytest

from bench import decision_trace
from dunepulley.routing.start_times import StartTimes

FOLDER = Path(__file__).parents[1] / "data" / "decisions"


@pytest.mark.parametrize("name", decision_trace.SMALL)
def test_recorded_commands_are_reproduced_exactly(name):
    assert decision_trace.compare(FOLDER / f"{name}.jsonl.gz") == ""


def test_differing_command_is_reported_with_its_batch(monkeypatch):
    real = StartTimes.grace_ms
    monkeypatch.setattr(StartTimes, "grace_ms", lambda self, path: real(self, path) + 0.001)
    assert decision_trace.compare(FOLDER / "copies-40.jsonl.gz").startswith("batch ")


def test_scenario_runs_are_reproducible(tmp_path):
    scenario = next(each for each in decision_trace.SCENARIOS if each.name == "probes-12")
    for name in ("one", "two"):
        decision_trace.record(scenario, tmp_path / name)
    first, second = [gzip.decompress((tmp_path / name).read_bytes()) for name in ("one", "two")]
    assert first == second
