"""Trials of the rollout's judge over simulated rollouts."""
