"""Membership of instances, reachability of data centres and operators' directives."""
