"""Messages between daemons and the links that carry them."""
