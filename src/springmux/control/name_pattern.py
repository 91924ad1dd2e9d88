"""The pattern of names in operators' documents."""

from __future__ import annotations

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"
"""Names are used unescaped in URLs, headers and metric labels."""
