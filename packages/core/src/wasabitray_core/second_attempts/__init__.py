"""Second attempts: a slow request is also sent to another target."""
