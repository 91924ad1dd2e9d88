"""Entry point of ``python -m springmux``, the same as the ``springmux`` command."""

from springmux.cli.main import main

if __name__ == "__main__":
    main()
