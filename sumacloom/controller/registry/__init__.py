"""Who is there: the poolers in session anywhere, and the backends."""
