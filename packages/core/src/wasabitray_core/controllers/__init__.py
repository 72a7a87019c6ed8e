"""The controllers, each of which owns one part of the state."""
