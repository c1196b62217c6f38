"""grebeproxy: a query router that keeps short and long queries apart on shared engines."""

from grebeproxy.policy import Choice
from grebeproxy.policy.interface import Settings

__all__ = ["Choice", "Settings"]
__version__ = "0.2.0"
