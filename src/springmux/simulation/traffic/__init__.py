"""Hollow backends and clients, which use the real request flows of hollow nodes in virtual time."""
