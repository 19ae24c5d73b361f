"""Distribution of the replicated state to every host."""
