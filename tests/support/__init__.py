"""Fakes and helpers that tests share."""
