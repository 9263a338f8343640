"""What goes through the module, as lines on standard error, for whoever counts across a fleet afterwards.

Off unless `serve --events` asks for it. A line is `= <Unix ms> <word> <fields>`, set apart by single spaces;
the first of a process is `= <Unix ms> events 1 <name>`. `bench/fleet.py` reads them and says what each means.
"""

from __future__ import annotations

import os
import sys
from typing import Any

from dunepulley import interface as face

FORM = 1


def told_of(what: Any) -> str:
    """An event or a command as the rest of a line; empty where it tells nothing worth counting."""
    kind = type(what)
    if kind is face.Arrived:
        text = f"arrived {what.wi} {what.category} {what.budget:.0f} {int(what.repeat)} {what.hint:.0f}"
    elif kind is face.HandOff:
        text = f"sent {what.wi} {what.worker}"
    elif kind is face.Ended:
        text = f"ended {what.wi} {what.worker} {what.result.replace(' ', '-')} {what.took:.0f} {what.ho}"
    elif kind is face.Began:
        text = f"began {what.wi} {what.ho}"
    elif kind is face.TakeBack:
        text = f"taken-back {what.wi} {what.ho}"
    elif kind is face.Defer:
        text = f"deferred {what.wi} {what.wait:.0f}"
    elif kind is face.WriteOff:
        text = f"written-off {what.wi}"
    elif kind is face.Withdrawn:
        text = f"withdrawn {what.wi}"
    elif kind is face.Probe:
        text = f"probe {what.worker}"
    elif kind is face.Probed:
        text = f"probed {what.worker} {what.result.replace(' ', '-')} {what.took:.1f} {what.report}"
    elif kind is face.ListNews:
        states = [entry.state for entry in what.entries]
        counts = " ".join(str(states.count(state)) for state in (face.READY, face.LEAVING, face.LEFT))
        text = f"list {what.how.replace(' ', '-')} {counts}"
    else:
        text = ""
    return text


class Events:
    """Writes the lines of a batch at once, so that none is cut when the process is killed."""

    def __init__(self, name: str, now: float) -> None:
        self.write([f"= {now:.1f} events {FORM} {name}"])

    def tell(self, now: float, what: list[Any]) -> None:
        """Write down the events or the commands of one batch."""
        self.write([f"= {now:.1f} {text}" for text in map(told_of, what) if text])

    def say(self, now: float, text: str) -> None:
        """Write down what the module is not told: calls for the list, and refusals."""
        self.write([f"= {now:.1f} {text}"])

    @staticmethod
    def write(lines: list[str]) -> None:
        """One write a batch."""
        if lines:
            try:
                os.write(sys.stderr.fileno(), ("\n".join(lines) + "\n").encode("utf-8", "replace"))
            except OSError:
                pass  # nobody reads it any more: no reason to stop serving
