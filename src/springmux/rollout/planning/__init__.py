"""What a rollout is to do: templates, plans, their checks, schedule and preview."""
