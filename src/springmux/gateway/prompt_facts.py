"""What a request states of its prompt."""

from __future__ import annotations

import msgspec

LONG_PROMPT_TOKENS = 2000
"""Shorter prompts are prefilled in less than 40 ms, so their engine is chosen by load."""
LONG_PREFIX_TOKENS = 1000
"""A shared prefix below isn't worth a detour."""
PLACING_PART_TOKENS = 500
"""Smaller parts don't decide the place: a session's few tokens must not part it from its dossier."""


class PromptFacts(msgspec.Struct, frozen=True):
    """A prompt's parts in order (id, tokens), the last being the request's or session's own; all its tokens;
    the most it wants out. All empty for plain services."""

    prefix: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    def long_prefix(self) -> tuple[str, int]:
        """Return the id that places the prompt and the tokens up to it, or ``("", 0)`` for short ones.

        It is the last shared part of some size; the cache is keyed by parts, so the part's id stands for
        all before it.
        """
        if self.prompt_tokens < LONG_PROMPT_TOKENS or len(self.prefix) < 2:
            return "", 0
        tokens = 0
        found = ("", 0)
        for part_id, part_tokens in self.prefix[:-1]:
            tokens += part_tokens
            if part_tokens >= PLACING_PART_TOKENS:
                found = (part_id, tokens)
        return found if found[1] >= LONG_PREFIX_TOKENS else ("", 0)


NO_FACTS = PromptFacts()
