"""All routing decisions: typed events go in with the current time, and typed commands come out.

Create a `Router` (`router.py`) from a seed and the settings, then call `Router.handle(now_ms, events)` with
each batch of events of `events.py`; it returns the commands of `commands.py` in the order in which they are
to be executed. The package is deterministic: it opens no file or socket, reads no clock and takes random
numbers from a seeded generator, so that the same events always give the same commands.

Modules import each other relatively, so that another version of the package can be loaded beside this one
(`dunepulley compare`).
"""
