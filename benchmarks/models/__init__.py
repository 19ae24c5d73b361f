"""Small specifications of the core protocols."""
