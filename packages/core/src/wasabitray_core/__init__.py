"""Decisions of the proxy fleet, without I/O, codecs or threads.

A front end creates the controllers and the filter chain, provides a clock, a
random source and an outbox, delivers the messages and performs the effects.
"""

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
    Outbox,
)
from wasabitray_core.errors import WasabitrayError
from wasabitray_core.filters import build_chain
from wasabitray_core.filters.chain import Filter, FilterChain, run_effects
from wasabitray_core.requests import Exchange, Request, Response, Target

__all__ = [
    "Context",
    "Controller",
    "Exchange",
    "Filter",
    "FilterChain",
    "Origin",
    "Outbox",
    "Request",
    "Response",
    "Target",
    "WasabitrayError",
    "build_chain",
    "run_effects",
]
