"""Instances and data centres: membership, leases, drain and take-out."""
