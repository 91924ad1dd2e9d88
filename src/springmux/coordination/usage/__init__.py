"""Admission against fleet-wide token buckets from exchanged counts, without a round trip per request.

Owns: each node's own admitted tokens, its estimate of the fleet's buckets, and the engine loads reported by
the other nodes. Pure. May import the state machine types, identifiers, rendezvous hash and membership views.
"""
