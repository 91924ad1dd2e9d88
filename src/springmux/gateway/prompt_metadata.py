"""Metadata that a client states about its prompt."""

from __future__ import annotations

import msgspec

LONG_PROMPT_TOKENS = 2000
"""Smallest long prompt. Shorter ones are prefilled in less than 40 ms, so their engine is chosen by load."""
LONG_PREFIX_TOKENS = 1000
"""Smallest long prefix. For a shorter shared prefix a longer wait doesn't pay off."""
ROUTING_PART_TOKENS = 500
"""Smallest part that determines the engine. The few tokens of a session must not separate it from the engines
that cache its large shared part."""


class PromptMetadata(msgspec.Struct, frozen=True):
    """Structure and size of a prompt; all empty for plain services.

    ``prefix``: the prompt's parts (id, tokens) in order; the last one belongs to the request or session
    alone. ``prompt_tokens``: tokens of the prompt. ``output_tokens``: maximum number of tokens of the
    response.
    """

    prefix: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    def long_prefix(self) -> tuple[str, int]:
        """Return the id of the part that routes the prompt, and the tokens up to its end.

        Return ``("", 0)`` for a short prompt or prefix.

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
