"""The admin listener: endpoints for operators and engines, and the submission of orders."""
