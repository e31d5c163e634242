"""Journal of jobs: durable records in the platform's store."""
