"""A soak of real gateway processes: signals, restarts and configuration changes in series that overlap.

Callers keep their connections open until the process at the other end is gone. Everything is drawn from one
seed; answers, engines and processes are judged by what the acknowledged configurations allow.
"""
