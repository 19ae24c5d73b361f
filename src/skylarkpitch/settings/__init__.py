"""Settings of daemons and fleets, and the models of a deployment."""
