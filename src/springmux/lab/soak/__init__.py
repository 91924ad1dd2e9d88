"""Soak test of real gateway processes: signals, restarts and configuration changes that overlap.

Clients keep their connections open until the process at the other end closes them. One seed determines all
random choices; responses, engines and processes are checked against the acknowledged configurations.
"""
