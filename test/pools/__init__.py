"""Tests of the owners of pools."""
