"""The command `wasabitray` for operators and callers."""
