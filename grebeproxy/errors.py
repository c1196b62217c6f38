"""The common base of the errors that grebeproxy raises on purpose.

Each package defines its own exception classes under `GrebeproxyError`, so that a caller can catch
everything the project raises with one clause, or one package's errors by their own class, without
catching programming mistakes (`TypeError`, `KeyError`, ...) along with them.
"""


class GrebeproxyError(Exception):
    """Base class of every error that grebeproxy raises on purpose."""
