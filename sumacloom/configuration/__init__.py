"""What both programs share: settings, value types, results, logs, lines, HTTP."""
