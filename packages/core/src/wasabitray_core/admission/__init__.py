"""Which requests are served while the targets can't serve all of them."""
