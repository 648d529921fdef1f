"""Value types of the job scheduler: jobs, queues, executors and progress."""
