"""How the names in operators' documents are spelled."""

from __future__ import annotations

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"
"""Names go into URLs, headers and metric labels as they are."""
