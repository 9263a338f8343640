"""The front that speaks the simulator's wire on standard input and output."""
