"""Settings shared by all tests."""

from hypothesis import settings

# Examples are derandomized so that CI gives the same verdict in every run.
settings.register_profile("derandomized", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("derandomized")
