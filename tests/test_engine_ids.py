"""An engine is the same one in binary frames, in the configuration and in operators' calls."""

from __future__ import annotations

import struct

import pytest
from exchange import play, to_text

from grebeproxy.net.manual_overrides import ManualOverrides

ENGINE_NUMBER = 0x00C41F7A
UP, DRAINING, GONE = 0, 1, 2
SPELLINGS = pytest.mark.parametrize("spelling", ["s-00c41f7a", "s-00C41F7A", "s-00C41f7a"])
FIRST_ADDRESS, SECOND_ADDRESS = "127.0.0.1:9001", "127.0.0.1:9002"  # of the example configuration


def frame_with_state(state: int) -> str:
    """A frame of the change log that changes the state of the engine at the first address."""
    host = struct.unpack(">I", bytes([127, 0, 0, 1]))[0]
    record = struct.pack(">IIHBBBHIQ", ENGINE_NUMBER, host, 9001, state, 0, 0, 0, 1000, 0)
    return to_text(struct.pack(">IQB", 9 + len(record), 2, 2) + record)


def dialled_after(spelling: str, *lines: str) -> list[str]:
    """The engines that are dialled where one has this id, these lines come, and requests follow."""
    requests = [
        rf"{3000 + number} c1 > \x94\x00{chr(number)}\xa6lookup\x92\x83\xa3txn\xb0{number:016x}"
        r"\xa5limit\xa42000\xa4team\xa4city\xc4\x01x"
        for number in range(48, 58)
    ]
    script = [f'set known.results.0.fleet.endpoints.0.name "{spelling}"', *lines, *requests, "4000 c1 wait"]
    played = play("\n".join(script)).splitlines()
    return sorted({line.split()[-1] for line in played if " dial 127.0.0.1:900" in line})


@SPELLINGS
def test_both_engines_are_used_while_nothing_changes(spelling: str) -> None:
    assert dialled_after(spelling, "10 log up", "11 log wait") == [FIRST_ADDRESS, SECOND_ADDRESS]


@SPELLINGS
@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_change_applies_to_the_engine_however_its_known_id_is_written(spelling: str, state: int) -> None:
    # Guards against the cause of review/9 in the change log: ids were compared by their spelling, and an
    # engine that was known in upper case was used although a frame had ended it.
    lines = ["10 log up", f"11 log > {frame_with_state(state)}"]
    assert dialled_after(spelling, *lines) == [SECOND_ADDRESS]


@SPELLINGS
@pytest.mark.parametrize("known_spelling", ["s-00c41f7a", "s-00C41F7A"])
def test_an_operator_may_write_an_id_in_upper_case(spelling: str, known_spelling: str) -> None:
    # Guards against the same cause in operators' calls, which were answered that there is no such engine.
    lines = [
        f'set known.results.0.fleet.endpoints.0.name "{known_spelling}"',
        rf"10 d1 > maint-on {spelling}\n",
        "11 c1 wait",
    ]
    played = play("\n".join(lines)).splitlines()
    assert r"10 d1 < ACK done\n" in played
    assert '10 file written {"s-00c41f7a":[1,true]}' in played


@SPELLINGS
def test_an_engine_stays_disabled_however_an_older_process_wrote_its_id(spelling: str) -> None:
    # Guards against a ban that is lost in an upgrade: an older process wrote the id as the known list has it.
    assert dialled_after(spelling, f'5 file says {{"{spelling}":[1,true]}}') == [SECOND_ADDRESS]


def test_the_latest_call_is_in_force_among_spellings_of_one_id() -> None:
    overrides = ManualOverrides()
    overrides.merge({"s-00C41F7A": (1, True), "s-00c41f7a": (2, False)})
    assert overrides.calls == {"s-00c41f7a": (2, False)}
    overrides.merge({"s-00C41F7A": (3, True)})
    assert overrides.disabled() == {"s-00c41f7a"}
