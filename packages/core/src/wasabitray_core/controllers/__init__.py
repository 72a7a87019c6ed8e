"""The controllers, each the owner of one part of the state."""
