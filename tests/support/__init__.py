"""Fakes and helpers shared by the tests."""
