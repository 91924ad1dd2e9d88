"""Adds an example of each encoded type without one to ``data/examples.json``.

Run as ``python -m unit.compatibility.write_examples`` in ``tests/``. Existing examples are never changed,
because nodes of earlier versions send and store exactly these bytes.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from unit.compatibility.encoded_types import encoded_types
from unit.compatibility.shapes import example_of, shape_of

EXAMPLES = Path(__file__).with_name("data") / "examples.json"


def main() -> None:
    """Add the missing examples to the file."""
    examples = json.loads(EXAMPLES.read_text("utf-8")) if EXAMPLES.exists() else {}
    for name, encoded_type in encoded_types().items():
        if name not in examples:
            encoded = msgspec.msgpack.encode(example_of(encoded_type))
            examples[name] = {"shape": shape_of(encoded_type), "bytes": encoded.hex()}
    lines = (f"{json.dumps(name)}: {json.dumps(examples[name])}" for name in sorted(examples))
    EXAMPLES.write_text("{\n" + ",\n".join(lines) + "\n}\n", encoding="utf-8")


if __name__ == "__main__":
    main()
