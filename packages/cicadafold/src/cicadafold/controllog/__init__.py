"""The system's own stream on the platform's log: records and their fold."""
