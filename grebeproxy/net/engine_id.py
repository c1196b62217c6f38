"""The ids of engines: ``s-`` and the engine's number as eight hex digits in lower case.

Binary frames hold the number. Where the id stands in text, its digits may be in upper case as well.
"""

from __future__ import annotations

import re

ENGINE_ID = re.compile(r"s-[0-9a-fA-F]{8}")


def engine_id_from_number(number: int) -> str:
    """The id of the engine with this number."""
    return f"s-{number:08x}"


def engine_id_from_text(text: str) -> str:
    """The id that a text stands for; text that is no engine's id is returned unchanged."""
    return text.lower() if ENGINE_ID.fullmatch(text) else text
