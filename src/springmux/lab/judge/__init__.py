"""Offline trials of the rollout judge on simulated rollouts."""
