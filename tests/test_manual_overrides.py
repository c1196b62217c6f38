"""Manual overrides: processes converge to the same state, and share it through a file."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.net.manual_overrides import (
    MAX_ENABLED,
    MAX_DISABLED,
    Calls,
    ManualOverrides,
    OverrideFileError,
    decode,
    encode,
)
from grebeproxy.net.override_file import OverrideFile

ENGINES = st.sampled_from(["s-1", "s-2", "s-3"])
CALLS = st.dictionaries(ENGINES, st.tuples(st.integers(0, 9), st.booleans()))


def merged(*parts: Calls) -> Calls:
    overrides = ManualOverrides()
    for part in parts:
        overrides.merge(part)
    return overrides.calls


@given(CALLS, CALLS, CALLS)
def test_merging_is_commutative_and_idempotent(a: Calls, b: Calls, c: Calls) -> None:
    assert merged(a, b, c) == merged(c, merged(b, a), a, b)


@given(CALLS, st.lists(st.tuples(ENGINES, st.booleans()), max_size=8))
def test_the_last_call_is_in_force_whatever_calls_were_known_before(
    known: Calls, calls: list[tuple[str, bool]]
) -> None:
    overrides = ManualOverrides()
    overrides.merge(known)
    disabled = set(overrides.disabled())
    for engine, wanted in calls:
        assert overrides.set(engine, wanted)
        (disabled.add if wanted else disabled.discard)(engine)
        assert overrides.disabled() == disabled
    assert merged(known, overrides.calls) == overrides.calls  # Merging the known calls again reverts no call.


def test_an_engine_disabled_twice_is_enabled_by_one_call() -> None:
    overrides = ManualOverrides()
    assert all(overrides.set("s-1", disabled) for disabled in (True, True, False))
    assert not overrides.disabled()


def test_the_remembered_calls_are_bounded() -> None:
    overrides = ManualOverrides()
    for number in range(2 * MAX_DISABLED):
        assert overrides.set(f"s-{number}", True) is (number < MAX_DISABLED)
    for number in range(MAX_DISABLED):
        overrides.set(f"s-{number}", False)
    assert list(overrides.calls) == [
        f"s-{number}" for number in range(MAX_DISABLED - MAX_ENABLED, MAX_DISABLED)
    ]


@given(CALLS, st.text(max_size=8))
def test_encoded_calls_decode_to_the_same(calls: Calls, name: str) -> None:
    assert decode(name, encode(name, calls)) == calls


@given(CALLS, st.data())
def test_truncated_or_corrupt_bytes_are_rejected(calls: Calls, data: st.DataObject) -> None:
    whole = encode("n1", calls)
    at = data.draw(st.integers(0, len(whole) - 1))
    changed_byte = bytes([whole[at] ^ data.draw(st.integers(1, 255))])
    for corrupt in (whole[:at], whole[:at] + changed_byte + whole[at + 1 :]):
        with pytest.raises(OverrideFileError):
            decode("n1", corrupt)


def test_the_calls_of_another_router_are_rejected() -> None:
    with pytest.raises(OverrideFileError, match="n2"):
        decode("n1", encode("n2", {"s-1": (0, True)}))


def test_the_file_is_replaced_atomically_and_reported_once(tmp_path: Path) -> None:
    old, new = OverrideFile(tmp_path, "n1"), OverrideFile(tmp_path, "n1")
    assert new.read() is None
    old.write({"s-1": (0, True)})
    assert (old.read(), new.read(), new.read()) == (None, {"s-1": (0, True)}, None)
    new.write({"s-1": (1, False)})
    assert old.read() == {"s-1": (1, False)}
    assert [path.name for path in tmp_path.iterdir()] == [old.path.name]
    old.path.write_bytes(old.path.read_bytes()[:-2])  # truncated
    with pytest.raises(OverrideFileError):
        new.read()
    assert new.read() is None  # reported once


def test_a_failed_write_leaves_the_file_unchanged(tmp_path: Path) -> None:
    file = OverrideFile(tmp_path, "n1")
    file.write({"s-1": (0, True)})
    (tmp_path / f"{file.path.stem}.{os.getpid()}").mkdir()
    with pytest.raises(OSError):
        file.write({"s-1": (1, False)})
    assert OverrideFile(tmp_path, "n1").read() == {"s-1": (0, True)}
