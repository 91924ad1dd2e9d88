"""The ``springmux`` command line: thin typer commands that hold no logic of their own."""
