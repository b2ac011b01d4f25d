"""The clients' side: RESP2 on a socket.

`server` accepts connections and bounds them, `session` is one connection, `request_handler` answers its requests,
and `resp` is the grammar.
"""
