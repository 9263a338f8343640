"""The agent of a host, which looks after its dispatchers, and the tool that speaks to agents."""
