"""The configuration files of the dispatchers and agents of a run."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from dunepulley.load import faults
from dunepulley.model import scenario as scenarios
from dunepulley.model.plans import simulated_regions

# The limit of sockets in the configuration of a dispatcher.
SOCKETS = 1024


@dataclass(frozen=True, slots=True)
class ConfigurationWriter:
    """Writes the files of one run into a folder.

    The ports are those at which dispatchers serve clients and operators, and at which agents serve, by name.
    `routes` tells the address at which one process reaches another, which may be that of a faulty link.
    """

    folder: Path
    scenario: scenarios.Scenario
    seed: int
    participants: faults.Participants
    routes: faults.Faults
    client_ports: Mapping[str, int]
    admin_ports: Mapping[str, int]
    agent_ports: Mapping[str, int]

    def write(
        self,
        settings: dict[str, Any],
        discoveries: Mapping[str, str],
        listed: Callable[[str], list[dict[str, Any]]],
    ) -> None:
        """Write all files.

        `discoveries` holds the address of each dispatcher's discovery; `listed` returns the endpoint list
        that a dispatcher starts with.
        """
        follows_plan = self.scenario.way == scenarios.COMMON_PLAN
        for dispatcher, name in enumerate(self.participants.dispatcher_zones):
            discovery = self.routes.routed_address(name, faults.DISCOVERY, discoveries[name])
            top_level: dict[str, Any] = {
                "listen": f"127.0.0.1:{self.client_ports[name]}",
                "discovery": discovery,
                "known": {"revision": 1, "complete": True, "members": listed(name)},
            }
            if follows_plan:
                top_level |= {"console": f"127.0.0.1:{self.admin_ports[name]}", "plan": True}
            document = dispatcher_configuration(self.scenario, self.seed, dispatcher, settings, **top_level)
            (self.folder / f"{name}.json").write_text(json.dumps(document))
        for name, zone in self.participants.agent_zones.items():
            (self.folder / f"{name}.toml").write_text(self._agent_configuration(name, zone))
        if follows_plan and self.scenario.regions:
            (self.folder / "regions.toml").write_text(regions_text(self.scenario))

    def _agent_configuration(self, name: str, zone: str) -> str:
        """Return the configuration of a zone's agent as TOML."""
        lines = [f'listen = "127.0.0.1:{self.agent_ports[name]}"', f'state = "{name}-drains.json"']
        lines.append("answer_s = 1.0")
        for dispatcher in [
            dispatcher
            for dispatcher, home_zone in self.participants.dispatcher_zones.items()
            if home_zone == zone
        ]:
            address = self.routes.routed_address(
                name, dispatcher, f"127.0.0.1:{self.admin_ports[dispatcher]}"
            )
            lines += ["[[dispatcher]]", f'name = "{dispatcher}"', f'console = "{address}"']
        lines += ["[fleet]", f'name = "{name}"', f'votes = "{name}.votes"']
        if self.scenario.regions:
            lines.append('regions = "regions.toml"')
        for other, port in self.agent_ports.items():
            address = f"127.0.0.1:{port}"
            if other != name:
                address = self.routes.routed_address(name, other, address)
            lines += ["[[fleet.member]]", f'name = "{other}"', f'address = "{address}"']
        return "\n".join(lines) + "\n"


def regions_text(scenario: scenarios.Scenario) -> str:
    """Return the regions file of a scenario as TOML."""
    lines = []
    for region in simulated_regions(scenario.zones, scenario.regions).regions:
        lines += ["[[region]]", f'name = "{region.name}"']
        lines += [f"zones = {json.dumps(region.zones)}", f"near = {json.dumps(region.near)}"]
    return "\n".join(lines) + "\n"


def nest_settings(settings: dict[str, Any]) -> dict[str, Any]:
    """Return settings with dotted names in the nested form of a dispatcher's configuration file."""
    document: dict[str, Any] = {}
    for name, value in settings.items():
        *path, last = name.split(".")
        table = document
        for key in path:
            table = table.setdefault(key, {})
        table[last] = list(value) if isinstance(value, tuple) else value
    categories = document.pop("categories", {})
    categories.pop("count", None)
    document["categories"] = [categories[number] for number in sorted(categories, key=int)]
    return document


def dispatcher_configuration(
    scenario: scenarios.Scenario, seed: int, dispatcher: int, settings: dict[str, Any], **more: Any
) -> dict[str, Any]:
    """Return the configuration of a dispatcher; `more` adds top-level keys."""
    return {
        "name": f"n{dispatcher}",
        "seed": f"{seed * 1009 + dispatcher:x}",
        "limits": {"sockets": SOCKETS},
        "settings": nest_settings(scenarios.router_settings(scenario, dispatcher) | settings),
    } | more
