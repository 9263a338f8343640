"""The JSON messages of agents and dispatchers, byte for byte, as other versions of both exchange them."""

import orjson
import pytest

from dunepulley.control import codec, drain_json, fields
from dunepulley.control.caspaxos import AcceptorReply, Ballot, ChangeRefusedError
from dunepulley.control.fleet_view import DispatcherReport, Observation, PlacementReport, ZoneCounters
from dunepulley.control.plan_application import FollowerMode
from dunepulley.control.regions import parse_regions
from dunepulley.control.traffic_plan import (
    OperatorOverride,
    OverrideAction,
    Plan,
    Spillover,
    ZonePlan,
    ZoneState,
)
from dunepulley.errors import ConfigurationError, DunepulleyError, ProtocolError, RefusedError

PLAN = Plan(
    epoch=2,
    number=7,
    author="h1",
    created_ms=5.0,
    zones=(
        ZonePlan("a", ZoneState.EVACUATED, (Spillover("b", 0.6, 0.5), Spillover("c", 0.4)), "lost"),
        ZonePlan("b"),
        ZonePlan("c", ZoneState.SPILLING, (Spillover("b", 0.2),)),
        ZonePlan("d", ZoneState.RETURNING),
        ZonePlan("e", ZoneState.BARRED),
    ),
    overrides=(
        OperatorOverride("a", OverrideAction.BAR, "ana", "cooling", 5000.0),
        OperatorOverride("c", OverrideAction.EVACUATE, "bo"),
    ),
)
PLAN_JSON = (
    b'{"epoch":2,"number":7,"by":"h1","at":5.0,"zones":['
    b'{"name":"a","state":"left","over":[["b",0.6,0.5],["c",0.4,1.0]],"why":"lost"},'
    b'{"name":"b","state":"near","over":[],"why":""},'
    b'{"name":"c","state":"spilling","over":[["b",0.2,1.0]],"why":""},'
    b'{"name":"d","state":"returning","over":[],"why":""},'
    b'{"name":"e","state":"barred","over":[],"why":""}],"words":['
    b'{"zone":"a","what":"bar","by":"ana","why":"cooling","left":5000.0},'
    b'{"zone":"c","what":"leave","by":"bo","why":"","left":null}]}'
)
REPLY = AcceptorReply(True, Ballot(3, "h2"), Ballot(2, "h1"), b'{"number":1}')
REPLY_JSON = b'{"yes":true,"promised":[3,"h2"],"accepted":[2,"h1"],"value":"{\\"number\\":1}"}'
REPORT = DispatcherReport(
    name="n0",
    home_zone="a",
    process_id=77,
    mode=FollowerMode.BY_PLAN,
    plan_version=(2, 7),
    escapes=1,
    work_slot_ms=250.5,
    rejected=3.0,
    zones={"a": ZoneCounters(3.0, 1.0, 12.0, 9.0, 2.0, 50.0, 10.0)},
)
REPORT_JSON = (
    b'{"name":"n0","home":"a","process":77,"how":"by plan","plan":[2,7],"escapes":1,"work":250.5,'
    b'"refused":3.0,"zones":{"a":[3.0,1.0,12.0,9.0,2.0,50.0,10.0]}}'
)
PLACEMENTS = {"a": PlacementReport(1.0, 2.5, 0.5, {"b": Observation(1.0, 2.0, 3.0, 0.5, 1.0, 4.0, 5.0, 2.0)})}
PLACEMENTS_JSON = (
    b'{"a":{"dispatchers":1.0,"demand":2.5,"refused":0.5,"zones":{"b":[1.0,2.0,3.0,0.5,1.0,4.0,5.0,2.0]}}}'
)


@pytest.mark.parametrize(
    ("encode", "decode", "message", "text"),
    [
        (codec.encode_plan, codec.decode_plan, PLAN, PLAN_JSON),
        (codec.encode_reply, codec.decode_reply, REPLY, REPLY_JSON),
        (codec.encode_report, codec.decode_report, REPORT, REPORT_JSON),
        (codec.encode_placements, codec.decode_placements, PLACEMENTS, PLACEMENTS_JSON),
    ],
)
def test_messages_are_encoded_and_decoded_byte_for_byte(encode, decode, message, text):
    assert orjson.dumps(encode(message)) == text
    assert decode(orjson.loads(text)) == message


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        (codec.decode_ballot, [1]),
        (codec.decode_plan_version, [1, True]),
        (codec.decode_plan, {"epoch": 1, "number": 1, "zones": [{"name": "a", "state": ["left"]}]}),
        (codec.decode_override, {"zone": "a", "what": "return", "by": "x"}),
        (codec.decode_report, {"plan": [1, 2]}),
        (codec.decode_placements, {"a": None}),
        (codec.decode_register_value, "x" * 60_001),
    ],
)
def test_malformed_message_raises_protocol_error(decode, value):
    with pytest.raises(ProtocolError) as raised:
        decode(value)
    assert isinstance(raised.value, ValueError) and "\n" not in str(raised.value)


def test_error_classes_have_the_expected_base_classes():
    with pytest.raises(ConfigurationError):
        parse_regions({"region": [{"name": ""}]})
    assert issubclass(ChangeRefusedError, RefusedError)
    for error in (ConfigurationError, ProtocolError, RefusedError):
        assert issubclass(error, DunepulleyError)


@pytest.mark.parametrize(
    "parse",
    [
        fields.parse_name,
        fields.parse_count,
        fields.parse_fraction,
        fields.parse_duration,
        fields.parse_number,
        lambda value, field: codec.decode_ballot([value, field]),
        lambda value, field: drain_json.decode_drain({"what": value}),
    ],
)
def test_a_value_of_a_thousand_levels_is_a_protocol_error(parse):
    # Guards against a RecursionError in the text of the error, which no caller expects.
    with pytest.raises(ProtocolError, match="a list of too many levels"):
        parse(orjson.loads(b"[" * 1010 + b"]" * 1010), "any")
