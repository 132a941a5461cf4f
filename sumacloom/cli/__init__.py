"""The operator's command line over the whole fleet."""
