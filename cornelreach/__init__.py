"""A serving system for language-model prompts that are resumed after long pauses."""

__version__ = "0.1.0"
