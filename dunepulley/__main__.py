"""`python -m dunepulley`: the command line.

Modules are imported when their sub-command runs: many dispatchers may start at the same time with a fraction
of a core each, and every unneeded import costs each of them time and memory.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys

from dunepulley import OPERATOR_SIGNALS, VERSION

EXIT_OK, EXIT_UNUSABLE = 0, 2
# Most objects live for one request and are in no cycles, so the garbage collector runs rarely.
GC_THRESHOLDS = (50_000, 20, 100)


def main(arguments: list[str] | None = None) -> int:
    """Run one sub-command; return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    parser = argparse.ArgumentParser(prog="dunepulley", description="Pushes requests to endpoints.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_dispatcher_commands(commands)
    if arguments[:1] != ["serve"]:
        _add_other_commands(commands)
    options = parser.parse_args(arguments)
    if options.command in ("serve", "check"):
        return run_dispatcher(options)
    if options.command == "agent":
        return run_agent(options.config, options.new_votes)
    return _run_other_command(options)


def _add_dispatcher_commands(commands: argparse._SubParsersAction) -> None:
    for name, text in (("serve", "run one dispatcher"), ("check", "print a summary of the configuration")):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", help="configuration file, in place of $ROUTER_CONFIG")
        if name == "serve":
            command.add_argument("--events", action="store_true", help="log all routing decisions")


def _add_other_commands(commands: argparse._SubParsersAction) -> None:
    from dunepulley.agent import ctl
    from dunepulley.load import command as load
    from dunepulley.model import command as model

    command = commands.add_parser("agent", help="manage the dispatchers of a host")
    command.add_argument("--config", required=True, help="the agent's configuration file")
    text = "create its acceptor state for a new fleet or a new epoch (docs/failover.md)"
    command.add_argument("--new-votes", action="store_true", help=text)
    ctl.add_to(commands.add_parser("ctl", help="send commands to agents: show, drain, restore, restart"))
    model.add_to(commands)
    load.add_to(commands)
    commands.add_parser("version", help="print the version")


def _run_other_command(options: argparse.Namespace) -> int:
    from dunepulley.agent import ctl
    from dunepulley.load import command as load
    from dunepulley.model import command as model

    if options.command == "version":
        print(f"dunepulley {VERSION}")
        return EXIT_OK
    if options.command == "ctl":
        return ctl.run(options)
    if options.command == "load":
        return load.run(options)
    return model.run(options)


def run_dispatcher(options: argparse.Namespace) -> int:
    """Run a dispatcher, or print a summary of its configuration; return the exit code."""
    from dunepulley.net import config, process

    gc.set_threshold(*GC_THRESHOLDS)
    try:
        dispatcher_config = config.read(os.environ, options.config)
        if options.command == "serve":
            return asyncio.run(process.serve(dispatcher_config._replace(events=options.events)))
        print(dispatcher_config.summary())
        return EXIT_OK
    except config.ConfigError as error:
        print(f"dunepulley: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


def run_agent(path: str, new_votes: bool = False) -> int:
    """Run a host's agent; return the exit code."""
    from dunepulley.agent import acceptor_store, agent, drain_file
    from dunepulley.agent import config as agent_config

    try:
        start = agent_config.read(path)
        if new_votes and start.fleet is None:
            raise agent_config.AgentConfigError(
                f"{path}: fleet: expected a [fleet] table, as --new-votes is given"
            )
        return asyncio.run(agent.serve(start, new_votes))
    except (
        agent_config.AgentConfigError,
        drain_file.DrainFileError,
        acceptor_store.AcceptorStoreError,
    ) as error:
        print(f"dunepulley: {error}", file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # A reload signal during the start stays pending until its handler is installed, rather than ending
        # the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, OPERATOR_SIGNALS)
    sys.exit(main())
