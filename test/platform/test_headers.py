"""Tests of the decoding and forwarding of headers."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import calls
from cornelreach.platform import headers

FIELDS = (
    (b"host", b"Pool.example:80"),
    (b"x-cornelreach-request-id", b"9c41"),
    (b"x-cornelreach-token-counts", b"1460,80"),
    (b"x-cornelreach-prompt-prefix", b"5c1e:800,91bd:410"),
    (b"x-cornelreach-deadline-ms", b"5000"),
)


class Requests(unittest.TestCase):
    """Headers of requests."""

    def test_request_headers_are_decoded(self):
        call = headers.read_call(FIELDS)
        self.assertEqual(call.deadline_ms, 5_000)
        self.assertEqual((call.prompt_tokens, call.output_tokens), (1_460, 80))
        self.assertEqual(call.parts[1], calls.Part("91bd", 410))
        self.assertIsNone(call.api_key)
        self.assertEqual(headers.request_host(FIELDS), "pool.example")

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=40))
    def test_no_header_value_raises(self, value):
        headers.read_call(tuple((name, value) for name, _ in FIELDS))
        headers.read_reply(
            200, ((headers.SERVER_LOAD, value), (headers.COLD_REMAINING, value))
        )

    def test_metadata_replaces_reserved_headers_of_callers(self):
        received = (*FIELDS, (b"x-cornelreach-kv-source", b"evil:1"))
        metadata = calls.RequestMetadata(
            "i-1", 812.7, "t1", 1, "v2.", 2, ("a:1", None), (None, None), "4"
        )
        found = dict(headers.request_headers(received, metadata))
        self.assertEqual(found[b"x-cornelreach-kv-source"], b"a:1,-")
        self.assertNotIn(b"x-cornelreach-kv-target", found)
        self.assertEqual(found[b"x-cornelreach-deadline-ms"], b"812")
        self.assertEqual(found[b"x-cornelreach-expected-version"], b"2")
        self.assertEqual(found[b"last-event-id"], b"4")

    def test_connection_header_cannot_remove_the_request_id(self):
        received = (*FIELDS, (b"connection", b"X-Cornelreach-Request-Id"))
        found = dict(headers.request_headers(received, calls.RequestMetadata("i-1", 1)))
        self.assertEqual(found[b"x-cornelreach-request-id"], b"9c41")


class Responses(unittest.TestCase):
    """Headers of responses."""

    def test_response_headers_are_decoded(self):
        fields = (
            (b"x-cornelreach-not-executed", b"1"),
            (b"x-cornelreach-server-load", b"3,0,8"),
        )
        reply = headers.read_reply(503, fields)
        self.assertTrue(reply.not_run)
        self.assertEqual(reply.load, calls.Load(3, 0, 8))
        self.assertTrue(headers.read_reply(421, ()).moved)
        for text, wait_ms in (
            (b"3", 3_000.0),
            (b" 0.25 ", 250.0),
            (b"9" * 400, float("inf")),
            (b"-1", None),
            (b"1e3", None),
            (b"nan", None),
            (b"Fri, 04 Dec 2026 08:00:00 GMT", None),
        ):
            fields = ((headers.RETRY_AFTER, text),)
            self.assertEqual(headers.read_reply(503, fields).rest_ms, wait_ms, text)
            self.assertIsNone(headers.read_reply(429, fields).rest_ms)
        for text, leaving in ((b"1", True), (b"0", False), (b"yes", False)):
            fields = ((headers.SERVER_LEAVING, text),)
            self.assertEqual(headers.read_reply(200, fields).leaving, leaving)
        for text, per_s in ((b"1.3", 1.3), (b" 0 ", 0.0), (b"-1", None), (b"x", None)):
            fields = ((headers.SERVER_LIMIT, text),)
            self.assertEqual(headers.read_reply(200, fields).limit_per_s, per_s, text)
            self.assertEqual(headers.response_headers(fields), ())
        self.assertIsNone(
            headers.read_reply(200, ((headers.SERVER_LOAD, b"3,x,8"),)).load
        )

    # Guards against a load report that is dropped, or fails a decision, because of its
    # fourth or a later field.
    def test_a_load_report_is_read_as_far_as_it_is_known(self):
        usual = calls.Load(3, 1, 8)
        for text, load in (
            (b"3,1,8,100", usual),
            (b"3, 1, 8, 250.5", usual._replace(pace=2.505)),
            (b"3,1,8,250,7", usual._replace(pace=2.5)),
            (b"3,1,8,1", usual._replace(pace=0.1)),
            (b"3,1,8," + b"9" * 400, usual._replace(pace=20.0)),
            (b"3,1,8,0", usual),
            (b"3,1,8,-50", usual),
            (b"3,1,8,nan", usual),
            (b"3,1,8,1e3", usual),
            (b"3,1,8,", usual),
            (b"3,1,8,x,5", usual),
            (b"3,-1,8,100", None),
            (b"nan,1,8,100", None),
            (b"9" * 400 + b",1,8,100", None),
            (b"3,1", None),
        ):
            reply = headers.read_reply(200, ((headers.SERVER_LOAD, text),))
            self.assertEqual(reply.load, load, text)

    def test_responses_are_matched_by_request_id(self):
        matches = headers.response_matcher("9c41")
        self.assertTrue(matches(((headers.REQUEST_ID, b"9c41"),)))
        self.assertTrue(matches(()))
        self.assertFalse(matches(((headers.REQUEST_ID, b"other"),)))
