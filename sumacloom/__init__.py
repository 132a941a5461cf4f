"""sumacloom: a database pooler with failover, made of poolers and controllers."""

__version__ = "0.2.0"
