"""The lab's side of the admin interface: a typed client and the operators' orders."""
