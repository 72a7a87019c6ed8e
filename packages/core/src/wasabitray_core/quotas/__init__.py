"""Quotas of organisations over all entries."""
