"""springmux: a fleet of routers for language models with a release gate in every router."""

__version__ = "0.1.0"
