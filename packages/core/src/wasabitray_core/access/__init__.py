"""The lease that an entry needs to honour organisations' keys."""
