"""Effects of the engine directory in addition to ``Send`` and ``LogLine``."""

from __future__ import annotations

from springmux.coordination.state_machine import Effect
from springmux.vocabulary.engines import EnginesView


class EnginesChanged(Effect, frozen=True):
    """The directory or the load of an engine changed; ``view`` is the new state."""

    view: EnginesView
