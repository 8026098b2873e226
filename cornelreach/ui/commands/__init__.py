"""The commands of the command-line tool."""
