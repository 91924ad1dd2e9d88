"""Developer tool that runs a fleet as processes on loopback. The only package that starts processes."""
