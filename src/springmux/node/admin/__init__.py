"""The admin listener: endpoints for operators and back ends, orders and their answers."""
