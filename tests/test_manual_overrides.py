"""What operators set by hand: how two processes come to the same, and the file between them."""

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
def test_merging_is_the_same_in_any_order_and_however_often(a: Calls, b: Calls, c: Calls) -> None:
    assert merged(a, b, c) == merged(c, merged(b, a), a, b)


@given(CALLS, st.lists(st.tuples(ENGINES, st.booleans()), max_size=8))
def test_the_last_call_counts_whatever_was_known_before(known: Calls, calls: list[tuple[str, bool]]) -> None:
    overrides = ManualOverrides()
    overrides.merge(known)
    disabled = set(overrides.disabled())
    for engine, wanted in calls:
        assert overrides.set(engine, wanted)
        (disabled.add if wanted else disabled.discard)(engine)
        assert overrides.disabled() == disabled
    assert merged(known, overrides.calls) == overrides.calls  # what was known before undoes none of it


def test_two_calls_out_need_one_back() -> None:
    overrides = ManualOverrides()
    assert all(overrides.set("s-1", disabled) for disabled in (True, True, False))
    assert not overrides.disabled()


def test_what_is_remembered_is_bounded() -> None:
    overrides = ManualOverrides()
    for number in range(2 * MAX_DISABLED):
        assert overrides.set(f"s-{number}", True) is (number < MAX_DISABLED)
    for number in range(MAX_DISABLED):
        overrides.set(f"s-{number}", False)
    assert list(overrides.calls) == [
        f"s-{number}" for number in range(MAX_DISABLED - MAX_ENABLED, MAX_DISABLED)
    ]


@given(CALLS, st.text(max_size=8))
def test_what_is_written_is_read_again(calls: Calls, name: str) -> None:
    assert decode(name, encode(name, calls)) == calls


@given(CALLS, st.data())
def test_what_is_torn_or_spoilt_is_not_read(calls: Calls, data: st.DataObject) -> None:
    whole = encode("n1", calls)
    at = data.draw(st.integers(0, len(whole) - 1))
    other = bytes([whole[at] ^ data.draw(st.integers(1, 255))])
    for spoilt in (whole[:at], whole[:at] + other + whole[at + 1 :]):
        with pytest.raises(OverrideFileError):
            decode("n1", spoilt)


def test_another_routers_calls_are_not_read() -> None:
    with pytest.raises(OverrideFileError, match="n2"):
        decode("n1", encode("n2", {"s-1": (0, True)}))


def test_the_file_is_whole_or_not_there_and_told_once(tmp_path: Path) -> None:
    old, new = OverrideFile(tmp_path, "n1"), OverrideFile(tmp_path, "n1")
    assert new.read() is None
    old.write({"s-1": (0, True)})
    assert (old.read(), new.read(), new.read()) == (None, {"s-1": (0, True)}, None)
    new.write({"s-1": (1, False)})
    assert old.read() == {"s-1": (1, False)}
    assert [path.name for path in tmp_path.iterdir()] == [old.path.name]
    old.path.write_bytes(old.path.read_bytes()[:-2])  # torn
    with pytest.raises(OverrideFileError):
        new.read()
    assert new.read() is None  # told of once


def test_a_write_that_fails_leaves_the_file_as_it_was(tmp_path: Path) -> None:
    file = OverrideFile(tmp_path, "n1")
    file.write({"s-1": (0, True)})
    (tmp_path / f"{file.path.stem}.{os.getpid()}").mkdir()
    with pytest.raises(OSError):
        file.write({"s-1": (1, False)})
    assert OverrideFile(tmp_path, "n1").read() == {"s-1": (0, True)}
