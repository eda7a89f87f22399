"""The entry process, which dispatches the jobs and requests of callers to backend servers."""
