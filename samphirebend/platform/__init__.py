"""Adapter to an external platform: its names, formats and store API.

The adapter only translates; all decisions are made in `gateway`.
"""
