"""What a controller serves over HTTP: heartbeats of backends, orders of operators, the admin API."""
