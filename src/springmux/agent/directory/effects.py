"""Effects of the directory beside ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.vocabulary.engines import EnginesView


class EnginesChanged(Effect, frozen=True):
    """The directory or a load hint changed."""

    view: EnginesView
