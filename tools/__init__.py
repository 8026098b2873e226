"""Tools for measuring and maintaining the project."""
