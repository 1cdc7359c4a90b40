from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.dispatch._index_set import IndexSet

INDEXES = st.integers(0, 40)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("add"), INDEXES, INDEXES),
        st.tuples(st.just("discard"), INDEXES, INDEXES),
    )
)


@given(st.integers(0, 40), CHANGES)
def test_index_set_equals_a_set(stop, changes):
    """Guards against ranges that are merged or split wrongly."""
    indexes, expected = IndexSet(0, stop), set(range(stop))
    for change, first, last in changes:
        if change == "add":
            indexes.add_range(first, last)
            expected |= set(range(first, last))
        else:
            indexes.discard(first)
            expected.discard(first)
    assert list(indexes) == sorted(expected)
    assert len(indexes) == len(expected)
    assert all((index in indexes) == (index in expected) for index in range(45))
    for index in range(45):
        missing = next(n for n in range(index, 100) if n not in expected)
        assert indexes.find_missing(index) == missing
        assert indexes.count_below(index) == sum(n < index for n in expected)
    copied = IndexSet.from_rows(indexes.list_rows(), 100)
    assert list(copied) == sorted(expected)
    assert len(indexes.list_rows()) <= len(expected)


def test_stored_rows_beyond_the_bound_are_ignored():
    assert list(IndexSet.from_rows([1, (3, 10**12)], 5)) == [1, 3, 4]
