"""The daemon of a host: sockets, disks and tasks around the core."""
