import base64
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_clients.keys import (
    Authenticator,
    KeyEntry,
    KeyFile,
    KeyFileWatch,
    Keyring,
    ReplayGuard,
    ReplaySettings,
    Seal,
    SealFault,
    Signature,
    Stamp,
    format_seal,
    generate_key_file,
    load_key_file,
    parse_seal,
    reload_keys,
)

NOW = 1_000_000.0


def make_entry(id, **options):
    secret = base64.b64encode(id.encode() * 16).decode()
    return KeyEntry(id=id, secret=secret, **options)


def make_authenticator(sender, keyring, incarnation=1, **options):
    return Authenticator(
        keyring,
        sender=sender,
        incarnation=incarnation,
        started_unix_s=NOW - 100,
        **options,
    )


def test_generated_file_is_private_and_loadable(tmp_path):
    path = tmp_path / "keys.json"
    keys = generate_key_file(path)
    assert path.stat().st_mode & 0o777 == 0o600
    assert load_key_file(path).unwrap() == keys
    with pytest.raises(FileExistsError):
        generate_key_file(path)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"keys": []}',
        '{"keys": [{"id": "a", "secret": "c2hvcnQ="}]}',
        '{"keys": [{"id": "a", "secret": "***"}]}',
        '{"keys": [{"id": "a b", "secret": "MDEyMzQ1Njc4OTAxMjM0NQ=="}]}',
        '{"keys": [{"id": "a", "secret": "MDEyMzQ1Njc4OTAxMjM0NQ==", "x": 1}]}',
    ],
)
def test_error_of_invalid_file_contains_no_secret(tmp_path, text):
    path = tmp_path / "keys.json"
    path.write_text(text)
    error = load_key_file(path).unwrap_err()
    assert "MDEy" not in error.detail
    assert load_key_file(tmp_path / "none").is_err()


def test_key_rotation_while_running():
    old, new = make_entry("old"), make_entry("new", not_before=NOW + 60)
    sender, receiver = Keyring(KeyFile(keys=(old,))), Keyring(KeyFile(keys=(old,)))
    sender.replace(KeyFile(keys=(old, new)))
    assert sender.sign(b"x", unix_s=NOW).key_id == "old"
    receiver.replace(KeyFile(keys=(old, new)))
    later = sender.sign(b"x", unix_s=NOW + 61)
    assert later.key_id == "new"
    assert receiver.verify(b"x", later, unix_s=NOW + 50)
    receiver.replace(KeyFile(keys=(new,)))
    early = sender.sign(b"x", unix_s=NOW)
    assert not receiver.verify(b"x", early, unix_s=NOW)


def test_expired_key_neither_signs_nor_is_accepted():
    keyring = Keyring(KeyFile(keys=(make_entry("a", not_after=NOW),)))
    signature = keyring.sign(b"x", unix_s=NOW - 1)
    assert not keyring.verify(b"x", signature, unix_s=NOW)
    with pytest.raises(LookupError):
        keyring.sign(b"x", unix_s=NOW)


def test_altered_message_or_stamp_is_forged_and_changes_no_state():
    keyring = Keyring(KeyFile(keys=(make_entry("a"),)))
    sender, receiver = (
        make_authenticator("one", keyring),
        make_authenticator("two", keyring),
    )
    seal = sender.seal(b"text", unix_s=NOW)
    stamp = Stamp("one", 2, seal.stamp.sequence, NOW)
    assert receiver.check(b"tex", seal, unix_s=NOW) == SealFault.FORGED
    restamped = Seal(stamp, seal.signature)
    assert receiver.check(b"text", restamped, unix_s=NOW) == SealFault.FORGED
    unknown = Seal(seal.stamp, Signature("b", seal.signature.mac))
    assert receiver.check(b"text", unknown, unix_s=NOW) == SealFault.FORGED
    assert receiver.check(b"text", seal, unix_s=NOW) is None
    assert receiver.check(b"text", seal, unix_s=NOW) == SealFault.REPLAYED


def test_message_before_start_outside_skew_or_of_old_incarnation_is_refused():
    guard = ReplayGuard(ReplaySettings(), started_unix_s=NOW)
    assert not guard.accept(Stamp("a", 1, 1, NOW - 1), unix_s=NOW)
    assert not guard.accept(Stamp("a", 1, 1, NOW + 31), unix_s=NOW)
    assert guard.accept(Stamp("a", 2, 1, NOW), unix_s=NOW)
    assert not guard.accept(Stamp("a", 1, 9, NOW), unix_s=NOW)
    assert not guard.accept(Stamp("a", 2, 2, NOW), unix_s=NOW + 31)


def test_memory_is_bounded_and_only_outdated_senders_are_forgotten():
    guard = ReplayGuard(ReplaySettings(max_senders=2), started_unix_s=NOW)
    assert guard.accept(Stamp("a", 1, 1, NOW), unix_s=NOW)
    assert guard.accept(Stamp("b", 1, 1, NOW + 50), unix_s=NOW + 50)
    assert not guard.accept(Stamp("c", 1, 1, NOW + 50), unix_s=NOW + 50)
    assert guard.accept(Stamp("c", 1, 1, NOW + 61), unix_s=NOW + 61)
    assert len(guard) == 2
    assert not guard.accept(Stamp("a", 1, 1, NOW), unix_s=NOW + 61)


@given(st.lists(st.integers(0, 40), max_size=80))
def test_each_sequence_number_is_accepted_at_most_once(sequences):
    guard = ReplayGuard(ReplaySettings(reorder_window=8), started_unix_s=NOW)
    accepted: list[int] = []
    for sequence in sequences:
        is_new = sequence not in accepted and sequence > max(accepted, default=-9) - 8
        assert guard.accept(Stamp("a", 1, sequence, NOW), unix_s=NOW) == is_new
        if is_new:
            accepted.append(sequence)


def test_seal_text_round_trip():
    keyring = Keyring(KeyFile(keys=(make_entry("a"),)))
    seal = make_authenticator("one", keyring).seal(b"text", unix_s=NOW + 0.1)
    assert parse_seal(format_seal(seal)) == seal


@given(st.text(max_size=60))
def test_arbitrary_text_is_not_a_seal(text):
    assert parse_seal(text) is None


@pytest.mark.parametrize("time_text", ["nan", "inf", "1e400"])
def test_seal_with_non_finite_time_is_refused(time_text):
    keyring = Keyring(KeyFile(keys=(make_entry("a"),)))
    text = f"one;1;1;{time_text};a;{'00' * 32}"
    seal = parse_seal(text)
    receiver = make_authenticator("two", keyring)
    assert seal is None or receiver.check(b"", seal, unix_s=NOW)


def test_reload_of_invalid_file_keeps_current_keys(tmp_path):
    path = tmp_path / "keys.json"
    keyring = Keyring(generate_key_file(path))
    signature = keyring.sign(b"x", unix_s=NOW)
    path.write_text("{")
    assert reload_keys(keyring, path).is_err()
    assert keyring.verify(b"x", signature, unix_s=NOW)


def test_changed_file_is_reloaded(tmp_path):
    path = tmp_path / "keys.json"
    keyring = Keyring(generate_key_file(path))
    watch = KeyFileWatch(keyring, path, period_s=0.01)
    watch.start()
    path.write_text(KeyFile(keys=(make_entry("new"),)).model_dump_json())
    deadline_s = time.monotonic() + 30
    while keyring.sign(b"x", unix_s=NOW).key_id != "new":
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    watch.stop()
