"""Test the listing of a prefix of the store."""

from typing import Any

from result import Err, Ok

from papayadyke_daemon.edge._ports import Page, Record
from papayadyke_daemon.edge._watch import list_prefix
from papayadyke_daemon.edge.tests.fake_store import FakeStore


def make_store(*pages):
    """Return a store that answers with some pages of a list, one after the other."""
    store: Any = FakeStore()
    left = list(pages)
    store.read_prefix = lambda prefix, *, after="": Ok(left.pop(0))
    return store


def make_page(*keys, has_more):
    return Page([Record(key, b"", 1) for key in keys], 7, has_more=has_more)


def test_all_pages_are_listed():
    pages = (make_page("a", has_more=True), make_page("b", has_more=False))
    listing = list_prefix(make_store(*pages), "").unwrap()
    assert [record.key for record in listing.records] == ["a", "b"]


def test_list_that_breaks_off_is_an_error():
    """A decider that loads a part of the jobs would take the others for unknown."""
    pages = (make_page("a", has_more=True), make_page(has_more=True))
    assert isinstance(list_prefix(make_store(*pages), ""), Err)
