"""cedarhub: decisions of a gateway that keeps short and long queries apart on shared engines."""

from cedarhub.choice import Choice
from cedarhub.interface import Settings

__all__ = ["Choice", "Settings"]
__version__ = "0.1.0"
