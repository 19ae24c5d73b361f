"""The daemons ``skylarkd`` and ``skylarkd-fleet`` and their roles."""
