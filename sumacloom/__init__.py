"""sumacloom: a database pooler with failover, made of poolers and controllers."""

__version__ = "0.1.0"
