"""Durable storage of a replica: write-ahead log, snapshots, checksums, and the fault-injecting disk.

The only package below ``node`` that accesses files, and only through :mod:`springmux.storage.disk`.
May import ``vocabulary`` and ``coordination``.
"""
