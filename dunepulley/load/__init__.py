"""A load tool: sends simulated or recorded traffic to real dispatchers, with stub servers, on loopback."""
