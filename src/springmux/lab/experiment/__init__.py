"""One experiment: its plan, deployment, script and records."""
