"""The daemon: settings, listeners, peer transport, storage threads and lifecycle.

This package does all network I/O of the daemon.
"""
