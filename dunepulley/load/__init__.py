"""A load tool: described or recorded traffic against real dispatchers, with stand-in workers, on loopback."""
