"""The gateway's sockets: client connections, connections to endpoints, discovery."""
