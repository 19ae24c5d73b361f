"""Choice of entry hosts, failure domains and regions."""
