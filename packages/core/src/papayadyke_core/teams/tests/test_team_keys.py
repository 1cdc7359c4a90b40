"""Test the digest table of keys, and the team in stored records."""

import msgspec

from papayadyke_core.dispatch import (
    StagedJob,
    StagedJobSpec,
    StepSpec,
    decode_progress,
    encode_progress,
)
from papayadyke_core.teams import TeamKeys, make_team_keys

SECRET = bytes(range(32))


def test_a_key_identifies_its_team_only():
    """A key that no team has, or that is empty, must not pass as one of a team's.

    Nor may jobs change hands because a second team lists the key as well.
    """
    rows = [("k1", "red"), ("k2", "blue"), ("", "red"), ("k2", "red")]
    keys = make_team_keys(rows, secret=SECRET)
    assert keys.find_team("k1") == "red"
    assert keys.find_team("k2") == "blue"
    assert [keys.find_team(key) for key in ("", "k", "k11", "K1", "\udcff")] == [
        None
    ] * 5
    assert len(keys) == 2


def test_keys_are_neither_held_nor_shown():
    """A log line, a traceback or the encoded table must not reveal a key."""
    keys = make_team_keys([("a-long-key", "red")], secret=SECRET)
    assert repr(keys) == str(keys) == "TeamKeys(1 keys)"
    encoded = msgspec.msgpack.encode(keys)
    assert b"a-long-key" not in encoded
    decoded = msgspec.msgpack.decode(encoded, type=TeamKeys)
    assert decoded.find_team("a-long-key") == "red"


def test_records_of_the_build_before_have_no_team():
    """A rolling change must not make stored jobs unreadable in either direction."""
    spec = StagedJobSpec("5c0e7a21d94b36f8", "h/q/", "", (StepSpec(1),), team="red")
    stored = msgspec.json.decode(msgspec.json.encode(spec))
    assert stored.pop("team") == "red"
    assert msgspec.convert(stored, StagedJobSpec).team == ""
    progress = StagedJob(spec, now=0.0).snapshot_progress()
    assert decode_progress(encode_progress(progress)).team == "red"
    assert decode_progress(b'{"state":"complete","ended_s":1.0}').team == ""
