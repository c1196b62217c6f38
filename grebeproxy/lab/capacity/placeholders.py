"""Parses placeholders of the template. A placeholder is a kind and, for most kinds, a colon and a name."""

from __future__ import annotations

import re
from typing import NamedTuple

PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")
INCLUDING = ("include", "optional")  # kinds that insert another file


class Placeholder(NamedTuple):
    """One placeholder, such as ``target:routers``; ``name`` is empty without a colon."""

    kind: str
    name: str

    @classmethod
    def parse(cls, content: str) -> Placeholder:
        """Parse the text between the braces."""
        kind, _, name = content.strip().partition(":")
        return cls(kind, name)
