"""What a client states about its prompt."""

from __future__ import annotations

import msgspec

LONG_PROMPT_TOKENS = 2000
"""Shorter prompts have a short prefill, so their engine is chosen by load."""
LONG_PREFIX_TOKENS = 1000
"""Shorter shared prefixes are not worth a longer wait."""
ROUTING_PART_TOKENS = 500
"""Smaller parts don't choose the engine: a session's few tokens must not separate it from its dossier."""


class PromptMetadata(msgspec.Struct, frozen=True):
    """Structure and size of a prompt; all empty for plain services.

    ``prefix``: the prompt's parts (id, tokens) in order, the last being the request's or session's own.
    ``prompt_tokens``: tokens of the prompt. ``output_tokens``: most tokens of the response.
    """

    prefix: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    def long_prefix(self) -> tuple[str, int]:
        """Return the id that routes the prompt and the tokens up to it, or ``("", 0)`` for short ones.

        It is the last shared part of at least :data:`ROUTING_PART_TOKENS`; since caches are keyed by parts,
        its id identifies everything before it as well.
        """
        if self.prompt_tokens < LONG_PROMPT_TOKENS or len(self.prefix) < 2:
            return "", 0
        tokens = 0
        found = ("", 0)
        for part_id, part_tokens in self.prefix[:-1]:
            tokens += part_tokens
            if part_tokens >= ROUTING_PART_TOKENS:
                found = (part_id, tokens)
        return found if found[1] >= LONG_PREFIX_TOKENS else ("", 0)


NO_PROMPT_METADATA = PromptMetadata()
