"""Names that people and programs outside of the fleet use stay as they are."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from unit.compatibility.outer_names import json_form, outer_names

FROZEN: dict[str, Any] = json.loads(
    Path(__file__).with_name("data").joinpath("outer_names.json").read_text("utf-8")
)


@pytest.mark.parametrize("kind", sorted(FROZEN))
def test_the_names_of_a_kind_stay(kind: str) -> None:
    assert json_form(outer_names()[kind]) == FROZEN[kind]


def test_every_kind_is_frozen() -> None:
    assert sorted(outer_names()) == sorted(FROZEN)
