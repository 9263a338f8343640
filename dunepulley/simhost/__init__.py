"""The adapter for the simulator's text protocol on standard input and output."""
