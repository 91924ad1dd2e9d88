"""Deterministic simulation of a fleet: virtual time, network, disks and clocks; nodes; faults; checkers."""
