"""The slots held by a dispatcher's attempts, and the connections that they leave open."""

from dunepulley.routing.endpoints import EndpointTable
from dunepulley.routing.in_flight import InFlight
from dunepulley.routing.settings import RouterSettings


def test_slots_are_held_from_start_to_end_of_an_attempt():
    in_flight = InFlight(RouterSettings.from_mapping({"policyLimits.connIdleMs": 5000.0}))
    endpoint = EndpointTable("").add("w0", 0.0)
    in_flight.start(endpoint, 2.0)
    in_flight.start(endpoint, 1.0)
    assert endpoint.own_slots == 3.0 and in_flight.endpoints == {endpoint}
    in_flight.end(endpoint, 2.0, 100.0)
    assert endpoint.own_slots == 1.0 and in_flight.endpoints == {endpoint}
    in_flight.end(endpoint, 1.0, 200.0)
    assert endpoint.own_slots == 0.0 and not in_flight.endpoints


def test_connection_stays_open_after_an_attempt_and_is_reused():
    in_flight = InFlight(RouterSettings.from_mapping({"policyLimits.connIdleMs": 5000.0}))
    endpoint = EndpointTable("").add("w0", 0.0)
    in_flight.start(endpoint, 1.0)
    in_flight.end(endpoint, 1.0, 100.0)
    assert endpoint.connection_until_ms == 5100.0
    in_flight.start(endpoint, 1.0)
    assert endpoint.connection_until_ms == 0.0


def test_connection_counts_as_closed_if_idle_timeout_is_unknown():
    in_flight = InFlight(RouterSettings.from_mapping({}))
    endpoint = EndpointTable("").add("w0", 0.0)
    in_flight.start(endpoint, 1.0)
    in_flight.end(endpoint, 1.0, 100.0)
    assert endpoint.connection_until_ms == 100.0
