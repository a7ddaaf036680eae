"""Adapter to an external platform: its names, data formats and store API."""
