"""State of an entry process: submissions, service documents, VMs."""
