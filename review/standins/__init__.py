"""Stand-ins of the review: platform store, servers, clients, node control."""
