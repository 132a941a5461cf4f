"""The operator's configuration: its model, its checks, and how it travels; access lists likewise."""
