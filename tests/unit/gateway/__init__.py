"""Tests of the gateway's decisions: transcripts in virtual time."""
