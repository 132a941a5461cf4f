"""The data plane: sessions, server connections, queues, replica selection, graceful shutdown."""
