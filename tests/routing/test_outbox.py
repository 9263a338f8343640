"""The commands of one batch."""

from dunepulley.routing.commands import CheckHealth, Fail
from dunepulley.routing.outbox import Outbox


def test_each_batch_has_its_own_list_of_commands_in_order():
    outbox = Outbox()
    first = outbox.start_batch()
    outbox.send(Fail("a"))
    outbox.send(CheckHealth("w0"))
    assert first is outbox.commands and first == [Fail("a"), CheckHealth("w0")]
    second = outbox.start_batch()
    outbox.send(Fail("b"))
    assert first == [Fail("a"), CheckHealth("w0")] and second == [Fail("b")]
