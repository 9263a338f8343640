"""Sends a request to the agents that it concerns, in an order that lets either all or none execute it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from dunepulley.agent import wire

# The timeout of a restart is per dispatcher.
_TIMEOUT_S, _RESTART_TIMEOUT_S = 5.0, 60.0
# Added to the agent's own timeouts, so that those expire first.
_MARGIN_S = 10.0
_CHECK_TIMEOUT_S = 15.0
# Commands that all agents check before the first agent executes them.
_CHECKED_FIRST = ("drain", "restore", "restart")


@dataclass(frozen=True, slots=True)
class AgentAnswer:
    """The message of an agent, or one that `ctl` made because the agent did not answer."""

    message: dict[str, Any]

    @property
    def ok(self) -> bool:
        """Whether the command succeeded at all dispatchers."""
        return bool(self.message.get("ok"))

    @property
    def is_unreached(self) -> bool:
        """Whether the agent did not answer."""
        return "unreached" in self.message

    @property
    def is_refused(self) -> bool:
        """Whether the agent refused the command as a whole."""
        return "refused" in self.message

    @property
    def failure(self) -> str:
        """The reason why there is no result, as a line for operators; empty if there is one."""
        if self.is_unreached or self.is_refused:
            return self.message.get("unreached") or f"refused: {self.message['refused']}"
        return ""

    @property
    def results(self) -> list[dict[str, Any]]:
        """The result at each dispatcher of the agent."""
        results: list[dict[str, Any]] = self.message.get("dispatchers", [])
        return results


async def ask_all(agents: list[str], request: dict[str, Any]) -> dict[str, AgentAnswer]:
    """Return the answer of each agent.

    If several agents are to change something, all are first asked to check whether they would accept the
    command. `agents` are addresses `host:port`; agents that the command does not concern are not in the
    result.
    """
    timeout_s = _timeout_s(request)
    if request["do"] == "zone":
        return await _ask_first_reachable(agents, request, timeout_s)
    if request.get("names") and len(agents) > 1:
        return await _ask_owners(agents, request, timeout_s)
    if request["do"] in _CHECKED_FIRST and len(agents) > 1:
        checks = await _ask_each(agents, request | {"check": True}, _CHECK_TIMEOUT_S)
        if not all([answer.ok for answer in checks.values()]):
            return checks
    return await _ask_each(agents, request, timeout_s)


def _timeout_s(request: dict[str, Any]) -> float:
    """Return the timeout for an agent's answer."""
    if request["do"] != "restart":
        timeout_s: float = request.get("limit_s", _TIMEOUT_S)
        return timeout_s + _MARGIN_S
    count = max(1, len(request.get("names", ())))
    per_dispatcher_s: float = request.get("limit_s", _RESTART_TIMEOUT_S)
    return per_dispatcher_s * count + _MARGIN_S


async def ask(agent: str, request: dict[str, Any], timeout_s: float) -> AgentAnswer:
    """Return the answer of one agent, or an `unreached` one after `timeout_s` seconds without an answer."""
    try:
        return AgentAnswer(await wire.ask(agent, request, timeout_s))
    except wire.WireError as error:
        return AgentAnswer({"ok": False, "unreached": str(error)})


async def _ask_each(agents: list[str], request: dict[str, Any], timeout_s: float) -> dict[str, AgentAnswer]:
    answers = await asyncio.gather(*[ask(agent, request, timeout_s) for agent in agents])
    return dict(zip(agents, answers, strict=True))


async def _ask_first_reachable(
    agents: list[str], request: dict[str, Any], timeout_s: float
) -> dict[str, AgentAnswer]:
    """Send the request to the first agent that answers, as it acts for the whole fleet.

    If none answers, the result has the failures of all.
    """
    answers: dict[str, AgentAnswer] = {}
    for agent in agents:
        answers[agent] = await ask(agent, request, timeout_s)
        if not answers[agent].is_unreached:
            return {agent: answers[agent]}
    return answers


async def _ask_owners(agents: list[str], request: dict[str, Any], timeout_s: float) -> dict[str, AgentAnswer]:
    """Send each agent the request for those of the named dispatchers that it supervises.

    If a name is unknown to all agents, the request is not sent to any.
    """
    list_answers = await _ask_each(agents, {"do": "list"}, _CHECK_TIMEOUT_S)
    unreached = {agent: answer for agent, answer in list_answers.items() if answer.is_unreached}
    if unreached:
        return unreached
    names_by_agent = {
        agent: [result["name"] for result in answer.results if result["name"] in request["names"]]
        for agent, answer in list_answers.items()
    }
    listed = {name for names in names_by_agent.values() for name in names}
    unknown = [name for name in request["names"] if name not in listed]
    if unknown:
        text = f"no dispatcher is called {', '.join(unknown)}"
        return {agents[0]: AgentAnswer({"ok": False, "refused": text})}
    answers: dict[str, AgentAnswer] = {}
    for agent, names in names_by_agent.items():
        if not names:
            continue
        answers[agent] = await ask(agent, request | {"names": names}, timeout_s)
        if request["do"] == "restart" and not answers[agent].ok:
            break
    return answers
