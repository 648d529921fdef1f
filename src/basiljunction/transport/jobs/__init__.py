"""Process of the job scheduler: HTTP servers, cell task and store access."""
