"""Placeholders of the page's template, in double braces: a kind, and for most kinds a name after a colon."""

from __future__ import annotations

import re
from typing import NamedTuple

PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")
INCLUDING = ("include", "optional")  # kinds that are replaced by another file


class Placeholder(NamedTuple):
    """One placeholder, such as ``target:routers``; ``name`` is empty where there is no colon."""

    kind: str
    name: str

    @classmethod
    def parse(cls, content: str) -> Placeholder:
        """The placeholder of the text between the braces."""
        kind, _, name = content.strip().partition(":")
        return cls(kind, name)
