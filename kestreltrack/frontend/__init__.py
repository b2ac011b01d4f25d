"""The frontend for clients: a RESP2 server over TCP.

`server` accepts connections and limits their number and lifetime, `session` holds the state of one connection,
`request_handler` serves its requests, and `resp` parses commands and encodes replies.
"""
