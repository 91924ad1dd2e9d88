"""The admin listener: endpoints for operators and engines, orders and their results."""
