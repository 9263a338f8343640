"""dunepulley: a dispatcher that pushes work items to workers."""
