"""Shared test support: hand-driven routers, fake peers, real processes, and fault injection."""
