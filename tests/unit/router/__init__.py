"""Tests of the data plane: sequences of events and the effects that they cause."""
