"""The agent of a host, which supervises its dispatchers, and `ctl`, the operators' command-line tool.

`agent.Agent` connects the parts of one agent process:

- `config`: its configuration file.
- `drain_store`, `drain_file`, `atomic_file`: the drains in force, and their durable file.
- `dispatcher`, `admin_call`, `restart`: a client of one dispatcher's admin interface.
- `supervisor`: polls every dispatcher, and sends it the drains in force.
- `drain_distribution`: checks and applies a change of the drains.
- `rolling_restart`: restarts dispatchers one after the other.
- `operator_commands`, `command_request`, `results`: the operators' commands and the replies to them.
- `server`, `wire`: the listening socket and the message format.
- `fleet` and `acceptor_store`: the traffic plan that the agents of all hosts agree on.
"""
