"""The skylarkd daemon and its roles."""
