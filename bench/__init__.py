"""Benchmarks against stub peers on loopback, limited in number of requests and in time."""
