"""Offline trials of the rollout's judge over simulated rollouts."""
