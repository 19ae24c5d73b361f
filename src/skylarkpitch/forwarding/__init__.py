"""Forward requests to upstreams that announce themselves to control."""
