"""The names that people and programs outside of the fleet use are unchanged."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from unit.compatibility.outer_names import json_form, outer_names

EXPECTED_NAMES: dict[str, Any] = json.loads(
    Path(__file__).with_name("data").joinpath("outer_names.json").read_text("utf-8")
)


@pytest.mark.parametrize("kind", sorted(EXPECTED_NAMES))
def test_the_names_of_a_kind_are_unchanged(kind: str) -> None:
    assert json_form(outer_names()[kind]) == EXPECTED_NAMES[kind]


def test_every_kind_of_names_is_checked() -> None:
    assert sorted(outer_names()) == sorted(EXPECTED_NAMES)
