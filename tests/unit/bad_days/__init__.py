"""Bad days of a fleet in virtual time, each with a checker that a mutation of the product proves."""
