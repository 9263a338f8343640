"""The acceptor's file: truncated, changed, of another agent or epoch, and failing writes."""

import pytest

from dunepulley.agent import acceptor_store
from dunepulley.control.caspaxos import AcceptorState, Ballot

STATE = AcceptorState(Ballot(3, "h2"), Ballot(2, "h1"), b'{"number":1}')


def created_store(tmp_path, name="h1", epoch=1):
    store = acceptor_store.AcceptorStore(str(tmp_path / "votes.db"), name, epoch)
    store.create()
    return store


def test_saved_state_is_read_back(tmp_path):
    store = created_store(tmp_path)
    store.save(STATE)
    store.close()
    reopened = acceptor_store.AcceptorStore(store.path, "h1", 1)
    reopened.open()
    assert reopened.state == STATE
    reopened.close()


def test_truncated_file_is_rejected_at_any_length(tmp_path):
    # Guards against an acceptor that forgets a promise: no state but the last one may be read.
    store = created_store(tmp_path)
    store.save(STATE)
    store.close()
    content = (tmp_path / "votes.db").read_bytes()
    refused = 0
    for length in [*range(200), *range(200, len(content), 61)]:
        (tmp_path / "votes.db").write_bytes(content[:length])
        reopened = acceptor_store.AcceptorStore(store.path, "h1", 1)
        with pytest.raises(acceptor_store.AcceptorStoreError) as raised:
            reopened.open()
        assert store.path in str(raised.value) and "\n" not in str(raised.value)
        refused += 1
    assert refused > 200


def test_file_with_a_changed_byte_is_as_saved_or_rejected(tmp_path):
    store = created_store(tmp_path)
    store.save(STATE)
    store.close()
    content = (tmp_path / "votes.db").read_bytes()
    refused = 0
    for index in [*range(120), *range(120, len(content), 37)]:
        (tmp_path / "votes.db").write_bytes(
            content[:index] + bytes((content[index] ^ 0x5A,)) + content[index + 1 :]
        )
        reopened = acceptor_store.AcceptorStore(store.path, "h1", 1)
        try:
            reopened.open()
        except acceptor_store.AcceptorStoreError:
            refused += 1
            continue
        assert reopened.state == STATE
        reopened.close()
    assert refused > 10


def test_missing_file_and_file_of_another_agent_or_epoch_are_rejected(tmp_path):
    store = acceptor_store.AcceptorStore(str(tmp_path / "votes.db"), "h1", 1)
    with pytest.raises(acceptor_store.AcceptorStoreError, match="is missing"):
        store.open()
    created_store(tmp_path).close()
    for name, epoch, message in (("h2", 1, "belongs to another agent"), ("h1", 2, "of epoch 1")):
        with pytest.raises(acceptor_store.AcceptorStoreError, match=message):
            acceptor_store.AcceptorStore(store.path, name, epoch).open()
    with pytest.raises(acceptor_store.AcceptorStoreError, match="exists already"):
        created_store(tmp_path)
    # A new epoch starts with an empty state, and keeps the old file for inspection.
    next_epoch = created_store(tmp_path, epoch=2)
    assert next_epoch.state == AcceptorState()
    next_epoch.close()
    assert (tmp_path / "votes.db.epoch-before-2").exists()


def test_write_error_closes_the_file(tmp_path):
    store = created_store(tmp_path)
    store.connection.execute("pragma query_only=on")
    with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
        store.save(STATE)
    # The content of the disk is unknown now: nothing more is saved until it has been read again.
    with pytest.raises(acceptor_store.AcceptorStoreError, match="not open"):
        store.save(STATE)
    with pytest.raises(acceptor_store.AcceptorStoreError, match="cannot write"):
        acceptor_store.AcceptorStore(str(tmp_path / "nowhere" / "votes.db"), "h1", 1).create()
