"""A seeded soak: real router processes under faults, checked against the rules of the platform's protocol."""
