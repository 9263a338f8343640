"""The exception hierarchy of this package.

A caller that can handle a kind of failure catches that kind; the top level of a process catches
`DunepulleyError`. The text of each error is one line for an operator: what failed, with the file, address or
name concerned. Any other exception is a bug in the program.

A module that needs a narrower error derives it from one of these classes, so that callers can react without
knowing the module.
"""

from __future__ import annotations


class DunepulleyError(Exception):
    """Base class of all expected failures; `str()` of it is one line for an operator."""


class ConfigurationError(DunepulleyError, ValueError):
    """A file, setting or argument is invalid.

    Nothing was started or changed. The operator corrects what the text names and tries again.
    """


class StorageError(DunepulleyError):
    """A state file could not be read, or could not be written durably.

    The operator checks the disk and the file that the text names: space, permissions, corruption. Commitments
    made to other processes before the failure remain valid.
    """


class ProtocolError(DunepulleyError, ValueError):
    """A message from the network or a file does not have the expected form.

    The whole message was dropped. The operator looks for a peer of another version or of another fleet.
    """


class UnavailableError(DunepulleyError):
    """A peer, or a majority of peers, did not respond in time; the call may or may not have taken effect.

    The operator checks the current state, restores the peers that the text names, and tries again.
    """


class RefusedError(DunepulleyError):
    """A valid request was not carried out, as it conflicts with the current state.

    Nothing was changed. The operator decides from the text whether to ask for something else or to force it.
    """
