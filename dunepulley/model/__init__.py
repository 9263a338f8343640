"""A fleet in simulated time round the decision module, to try designs at sizes that sockets do not reach."""
