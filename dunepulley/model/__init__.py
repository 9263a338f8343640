"""Discrete-event simulation of a fleet around the routing package, for sizes beyond what sockets allow."""
