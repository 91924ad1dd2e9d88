"""Planning of a rollout: templates, plans and their checks, the schedule and the preview."""
