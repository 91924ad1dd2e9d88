"""Admission against fleet-wide token buckets from exchanged counts, without a question on a request's way.

Owns: each node's own admitted tokens, its picture of the fleet's buckets, and the engine loads told by the
other nodes. Pure. May import the kernel, identifiers, rendezvous hash and membership views.
"""
