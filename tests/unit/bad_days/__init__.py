"""Fault scenarios in virtual time, each with a checker; a mutated product proves that the checker fails."""
