"""Stand-ins for the systems around a node, outside the shipped package."""
