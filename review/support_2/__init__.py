"""Stand-ins and a small fleet for the cases 6 to 10."""
