"""Client side of the admin interface: a typed client and the orders of operators."""
