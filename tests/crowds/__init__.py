"""Crowds of misbehaving clients against one real process. Run one test at a time, without other load."""
