"""The gateway's sockets: front listener, forwarding of requests to engines, control interface, process."""
