"""The lease on the control state."""
