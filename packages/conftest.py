"""Settings shared by all tests."""

from hypothesis import settings

# CI has to give the same verdict every time, so examples are not drawn at random.
settings.register_profile("derandomized", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("derandomized")
