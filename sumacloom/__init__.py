"""sumacloom: a database pooler with failover, made of counters and registrars."""

__version__ = "0.1.0"
