"""The durable record of jobs, kept on the platform's store."""
