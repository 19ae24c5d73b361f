"""Distribution of the replicated control state to every host."""
