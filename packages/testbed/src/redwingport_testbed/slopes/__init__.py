"""Slopes: what control, starts and state cost as their number grows."""
