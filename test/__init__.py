"""Tests of cornelreach; the layout mirrors that of the package."""
