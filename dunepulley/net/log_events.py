"""The events of the log: the word after `dunepulley` on each line, by which lines are also rate-limited.

Scripts and the runbooks of on-call engineers search for these words, so they must not change.
"""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """The subject of a line in the log of a dispatcher or an agent."""

    # An exception in this program: a message, router event or command was lost, or a task ended.
    FAULT = "fault"
    # A line that the router itself wrote, by `WriteLog`.
    ROUTER = "note"
    # A client's request that was rejected before it reached the router, with the status of the response.
    REQUEST_REJECTED = "turned away"
    # The frontend: requests rejected for lack of capacity, or left without an answer.
    FRONTEND = "clients"
    # An endpoint responded to an attempt with a status that the protocol does not define.
    ENDPOINT = "worker"
    # A connection to an endpoint failed because of this host: descriptors, memory, ports or routes.
    SOCKETS = "sockets"
    # Discovery: watches that ended or failed, and invalid lists.
    DISCOVERY = "discovery"
    # A hot restart, in the parent and in the child process.
    HOT_RESTART = "handover"
    # The configuration was read again, on SIGHUP.
    RELOAD = "reload"
    # The process started listening, or ended with unanswered requests.
    SERVICE = "service"
    # The recorder of requests.
    RECORDER = "trace"
    # All counters, on SIGUSR1 and at exit.
    COUNTERS = "counters"
    # A message logged by a library.
    LIBRARY = "library"
    # The admin interface could not accept a connection.
    ADMIN = "console"
    # An agent started listening.
    AGENT = "agent"
    # An agent: a dispatcher of its host responds, or does not.
    DISPATCHER = "dispatcher"
    # An agent: drains in force, and the file that they are stored in.
    DRAINS = "drains"
    # An agent: another agent responds, or does not.
    MEMBERSHIP = "member"
    # An agent: traffic plans and operator overrides.
    PLAN = "plan"
    # An agent's acceptor stopped or resumed voting.
    ACCEPTOR = "votes"
