"""Admission against fleet-wide token buckets, using exchanged counts instead of a round trip per request.

Owns the tokens admitted by each node, its estimate of the fleet's buckets, and the engine loads reported by
the other nodes. Performs no I/O. May import the state machine types, identifiers, the rendezvous hash and
membership views.
"""
