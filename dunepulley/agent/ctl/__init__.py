"""`dunepulley ctl`: sends an operator's command to agents, and prints the answers as text or JSON."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from enum import IntEnum

import orjson

from dunepulley.agent.ctl.arguments import DEFAULT_AGENT, add_to, build_request
from dunepulley.agent.ctl.calls import AgentAnswer, ask_all
from dunepulley.agent.ctl.rendering import render_lines
from dunepulley.net.addresses import parse_address

__all__ = ["DEFAULT_AGENT", "ExitCode", "add_to", "exit_code_of", "run"]

_AGENTS_VARIABLE = "DUNEPULLEY_AGENTS"


class ExitCode(IntEnum):
    """The exit codes of `ctl`."""

    DONE = 0
    REFUSED = 1
    UNUSABLE = 2
    UNKNOWN = 3
    UNREACHED = 4


# With several agents, the first code in this order that any of them has is the exit code.
_SEVERITY = (ExitCode.UNREACHED, ExitCode.REFUSED, ExitCode.UNKNOWN)


def run(options: argparse.Namespace) -> int:
    """Execute the command in parsed arguments, print the results, and return the exit code."""
    agents = options.agent or os.environ.get(_AGENTS_VARIABLE, DEFAULT_AGENT).split(",")
    try:
        for agent in agents:
            parse_address(agent)
    except ValueError as error:
        print(f"dunepulley: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE
    answers = asyncio.run(ask_all(agents, build_request(options)))
    code = exit_code_of(answers)
    if options.json:
        messages = {agent: answer.message for agent, answer in answers.items()}
        print(orjson.dumps({"code": code, "agents": messages}, option=orjson.OPT_INDENT_2).decode())
        return code
    for agent, answer in answers.items():
        lines = render_lines(options.do, answer)
        if len(answers) > 1:
            lines = [f"{agent}:", *[f"  {line}" for line in lines]]
        print("\n".join(lines), file=sys.stderr if answer.failure else sys.stdout)
    return code


def exit_code_of(answers: dict[str, AgentAnswer]) -> ExitCode:
    """Return the exit code for the agents' answers."""
    codes = {_exit_code_of_agent(answer) for answer in answers.values()}
    return next((code for code in _SEVERITY if code in codes), ExitCode.DONE)


def _exit_code_of_agent(answer: AgentAnswer) -> ExitCode:
    states = {result.get("state") for result in answer.results}
    if answer.is_unreached:
        return ExitCode.UNREACHED
    if answer.is_refused or "refused" in states:
        return ExitCode.REFUSED
    if "unknown" in states or not answer.ok:
        return ExitCode.UNKNOWN
    return ExitCode.DONE
