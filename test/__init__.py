"""Tests of cornelreach; the layout mirrors the package."""
