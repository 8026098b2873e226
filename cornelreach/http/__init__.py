"""HTTP/1.1 server and client shells over h11."""
