"""The commands of the current batch, in the order in which they are to be executed."""

from __future__ import annotations

from .commands import Command


class Outbox:
    """Collects the commands of the current batch."""

    def __init__(self) -> None:
        self.commands: list[Command] = []

    def start_batch(self) -> list[Command]:
        """Start a new batch; returns the list to which its commands will be added."""
        self.commands = []
        return self.commands

    def send(self, command: Command) -> None:
        """Add a command to the batch."""
        self.commands.append(command)
