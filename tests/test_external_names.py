"""Names that leave the process (wire, settings, stored files, commands, metrics, log events) stay."""

import pytest
from support.external_names import ROOT, listed_names, names_in

LISTED = listed_names()


@pytest.mark.parametrize("module", LISTED)
def test_each_listed_name_stands_in_its_module(module):
    names = names_in((ROOT / module).read_text())
    assert [name for name in LISTED[module] if name not in names] == []


def test_the_list_holds_each_name_of_a_module_once():
    repeated = {module: names for module, names in LISTED.items() if len(set(names)) < len(names)}
    assert repeated == {}


@pytest.mark.parametrize(
    ("source", "name"),
    [
        ('KEY = "old"', "old"),
        ('LINE = f"old={value}"', "old="),
        ("class Message:\n    old: int", "old"),
        ('values.get("old")', "old"),
    ],
)
def test_a_renamed_name_is_found(source, name):
    assert name in names_in(source)
    assert name not in names_in(source.replace("old", "new"))


def test_docstrings_and_variables_are_no_names_that_leave_the_process():
    assert names_in('"""old"""\nold = 1\n\n\ndef old():\n    """old"""\n') == set()
