"""Long randomised runs over the deciding cores."""
