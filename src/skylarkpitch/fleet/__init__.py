"""Keep one configuration and one list of hosts for a whole fleet."""
