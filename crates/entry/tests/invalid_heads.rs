//! Responses of upstreams whose heads are invalid.

mod support;

use support::{
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Response,
    Upstream, //
};

/// Head of a response with all that an entry expects, up to its further fields.
const OK: &str = "HTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n";
/// Fields that state a body of two bytes, and that body.
const BODY: &str = "content-length: 2\r\n\r\nok";

/// Sends requests of each kind to an upstream that responds with `response`, and returns what the callers read. No request
/// may reach the upstream twice that must not.
fn responses(response: String) -> [Response; 2] {
    let upstream = Upstream::start(Box::new(move |_, request, connection| {
        connection.write(response.replace("{id}", request.id()));
        true
    }));
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let entry = Entry::start("entry-1", &store);
    let call = |method, path, id| {
        let mut caller = Caller::connect(&entry);
        caller.send(request_head(method, path, id, "content-length: 0\r\n"));
        caller.read_response().expect("the entry responds")
    };
    let responses = [call("POST", "/f/x", "a1"), call("GET", "/r/x", "b1")];
    let requests = upstream.requests();
    let filings = requests.iter().filter(|request| request.id() == "a1");
    assert_eq!(filings.count(), 1);
    responses
}

/// Guards against bytes that are no response and that a caller gets as one, or that pass for the statement that a request
/// did not run.
macro_rules! invalid_head_is_no_response {
    ($($name:ident: $begin:expr, $rest:expr;)*) => {$(
        #[test]
        fn $name() {
            for response in responses(format!("{}{}", $begin, $rest)) {
                assert_eq!(response.status, 502, "{}", response.head);
                assert!(response.header("upstream-id").is_none(), "{}", response.head);
            }
        }
    )*};
}

invalid_head_is_no_response! {
    blank_after_a_name: OK, "x-a : b\r\ncontent-length: 2\r\n\r\nok";
    tab_after_a_name: OK, "x-a\t: b\r\ncontent-length: 2\r\n\r\nok";
    blank_after_the_name_of_the_length: OK, "content-length : 2\r\n\r\nok, and more";
    tab_after_the_name_of_the_length: OK, "content-length\t: 2\r\n\r\nok, and more";
    blank_after_the_name_of_the_transfer_coding: OK, "transfer-encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    blank_after_the_name_of_the_seal:
        "HTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id : s\r\n", BODY;
    blank_after_the_name_of_the_id:
        "HTTP/1.1 200 OK\r\njasmine-request : {id}\r\nupstream-id: s\r\n", BODY;
    blank_after_the_name_of_a_refusal:
        "HTTP/1.1 503 Busy\r\njasmine-request: {id}\r\n", "upstream-refused : 1\r\ncontent-length: 0\r\n\r\n";
    blank_in_a_name: OK, "x a: b\r\ncontent-length: 2\r\n\r\nok";
    blank_before_a_name: OK, " x-a: b\r\ncontent-length: 2\r\n\r\nok";
    blank_before_the_first_name: "HTTP/1.1 200 OK\r\n jasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
    control_byte_in_a_name: OK, "x\u{1}a: b\r\ncontent-length: 2\r\n\r\nok";
    control_byte_before_a_name: OK, "\u{b}x-a: b\r\ncontent-length: 2\r\n\r\nok";
    control_byte_after_a_name: OK, "x-a\u{1f}: b\r\ncontent-length: 2\r\n\r\nok";
    null_in_a_name: OK, "x\0a: b\r\ncontent-length: 2\r\n\r\nok";
    carriage_return_in_a_name: OK, "x\ra: b\r\ncontent-length: 2\r\n\r\nok";
    delete_in_a_name: OK, "x\u{7f}a: b\r\ncontent-length: 2\r\n\r\nok";
    other_letters_in_a_name: OK, "x\u{e9}a: b\r\ncontent-length: 2\r\n\r\nok";
    delimiter_in_a_name: OK, "x(a: b\r\ncontent-length: 2\r\n\r\nok";
    quote_in_a_name: OK, "x\"a: b\r\ncontent-length: 2\r\n\r\nok";
    empty_name: OK, ": b\r\ncontent-length: 2\r\n\r\nok";
    name_alone: OK, "x-a\r\ncontent-length: 2\r\n\r\nok";
    value_on_two_lines: OK, "x-a: b\r\n c\r\ncontent-length: 2\r\n\r\nok";
    control_byte_in_a_value: OK, "x-a: b\u{1}c\r\ncontent-length: 2\r\n\r\nok";
    interim_response_with_a_blank_after_a_name:
        "HTTP/1.1 103 Early Hints\r\nlink : a\r\n\r\nHTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
    response_to_another_request_with_a_blank_after_a_name:
        "HTTP/1.1 200 OK\r\njasmine-request: other\r\ncontent-length : 0\r\n\r\nHTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
}

/// A response with this status line that is complete otherwise.
fn with_status(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\njasmine-request: {{id}}\r\nupstream-id: s\r\n")
}

invalid_head_is_no_response! {
    status_000: with_status("000 Trouble"), BODY;
    status_000_alone: with_status("000"), BODY;
    status_001: with_status("001 Trouble"), BODY;
    status_099: with_status("099 Trouble"), BODY;
    status_600: with_status("600 Trouble"), BODY;
    status_799: with_status("799 Trouble"), BODY;
    status_999: with_status("999 Trouble"), BODY;
    status_of_two_digits: with_status("20 OK"), BODY;
    status_of_four_digits: with_status("2000 OK"), BODY;
    status_with_a_sign: with_status("+20 OK"), BODY;
    status_that_is_no_number: with_status("2OO OK"), BODY;
    status_000_of_a_refusal: with_status("000 Trouble"), "upstream-refused: 1\r\ncontent-length: 0\r\n\r\n";
    status_600_of_a_refusal: with_status("600 Trouble"), "upstream-refused: 1\r\ncontent-length: 0\r\n\r\n";
    status_000_of_an_older_version:
        "HTTP/1.0 000 Trouble\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
    status_600_of_an_older_version:
        "HTTP/1.0 600 Trouble\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
    status_099_of_an_interim_response:
        "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
    status_999_of_a_response_to_another_request:
        "HTTP/1.1 999 OK\r\njasmine-request: other\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY;
}

/// Guards against valid responses that are rejected.
macro_rules! valid_head_is_a_response {
    ($($name:ident: $begin:expr, $rest:expr, $status:expr;)*) => {$(
        #[test]
        fn $name() {
            for response in responses(format!("{}{}", $begin, $rest)) {
                assert_eq!(response.status, $status, "{}", response.head);
                assert_eq!(response.body, b"ok");
            }
        }
    )*};
}

valid_head_is_a_response! {
    blanks_around_a_value: OK, "x-a: \t b \t \r\ncontent-length:2\r\n\r\nok", 200;
    all_bytes_that_a_name_may_hold: OK, "!#$%&'*+-.^_`|~09azAZ: b\r\ncontent-length: 2\r\n\r\nok", 200;
    empty_value: OK, "x-a:\r\ncontent-length: 2\r\n\r\nok", 200;
    other_letters_in_a_value: OK, "x-a: \u{e9}\r\ncontent-length: 2\r\n\r\nok", 200;
    no_reason: with_status("200"), BODY, 200;
    unassigned_status: with_status("599 Other"), BODY, 599;
    interim_responses:
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n", BODY, 200;
}
