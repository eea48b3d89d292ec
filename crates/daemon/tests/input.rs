//! Property tests of the parsers of caller input: any bytes parse to a valid value or are refused.
//!
//! They guard against parsers that assume well-formed headers: unexpected bytes would panic a
//! traffic thread, which closes all its connections, or be accepted with an unintended meaning.

use actix_web::{
    body::to_bytes,
    http::header::{
        HeaderMap,
        HeaderName,
        HeaderValue, //
    },
};
use daemon::{
    input::{
        self,
        FilingToken,
        LookupQuery,
        IDEMPOTENCY_KEY_MAX_BYTES, //
    },
    ErrorResponse,
    ForwardKey,
    Settings, //
};
use filing::{
    Key,
    Ticket, //
};
use futures_util::FutureExt;
use std::time::Duration;

const ITERATIONS: usize = 20_000;
const TICKET: &str = "jasmine-ticket";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DEADLINE: &str = "jasmine-deadline-ms";
const FORWARD: &str = "jasmine-forward";
const REQUEST: &str = "jasmine-request";
const UPGRADE: &str = "upgrade";

/// Builds headers from the values that are valid in HTTP.
fn headers(fields: &[(&'static str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.append(HeaderName::from_static(name), value);
        }
    }
    headers
}

/// Checks that an answer is a well-formed refusal.
fn assert_refusal(answer: &ErrorResponse) {
    let response = answer.respond();
    let status = response.status();
    assert!(status.is_client_error(), "{status}");
    let outcomes: Vec<_> = response.headers().get_all("jasmine-outcome").collect();
    assert_eq!(outcomes, ["not-run"]);
    let body = to_bytes(response.into_body()).now_or_never();
    let body = body
        .expect("the body is buffered")
        .expect("the body has no errors");
    let body: serde_json::Value = serde_json::from_slice(&body).expect("the body is JSON");
    assert_eq!(body["outcome"], "not-run");
    assert!(body["detail"]
        .as_str()
        .is_some_and(|detail| !detail.is_empty()));
}

fn ticket_key() -> Key {
    Key::derive(b"a key for tests only")
}

fn forward_key() -> ForwardKey {
    let text = "instance: a-1\nregion: a\nfailure_domain: a\ncallers_addr: 127.0.0.1:1\n\
                peers_addr: 127.0.0.1:2\noperator_addr: 127.0.0.1:3\n\
                platform_url: http://127.0.0.1:4\npeer_key: a key for tests only\n";
    ForwardKey::derive(
        &Settings::parse("d.yaml", text)
            .expect("valid settings")
            .peer_key,
    )
}

/// Parses all headers of a work request and checks the results.
fn check_headers(headers: &HeaderMap) {
    if let Err(answer) = input::check_upgrade(headers) {
        assert_refusal(&answer);
    }
    match input::parse_deadline(headers) {
        Ok(None) => assert!(!headers.contains_key(DEADLINE)),
        Ok(Some(left)) => assert!(left >= Duration::from_millis(1)),
        Err(answer) => assert_refusal(&answer),
    }
    match FilingToken::from_headers(headers, &ticket_key()) {
        Ok(FilingToken::Ticket(_)) => panic!("accepted a ticket that was not minted"),
        Ok(FilingToken::Key(key)) => {
            assert!((1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&key.len()));
            assert_eq!(
                headers.get(IDEMPOTENCY_KEY).expect("the header is present"),
                &*key
            );
        }
        Err(answer) => assert_refusal(&answer),
    }
}

#[test]
fn any_headers_parse_or_are_refused() {
    let forward_key = forward_key();
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<([Option<Vec<u8>>; 6], Vec<u8>)>()
        .for_each(|(values, class)| {
            let names = [TICKET, IDEMPOTENCY_KEY, DEADLINE, FORWARD, REQUEST, UPGRADE];
            let given: Vec<_> = names
                .into_iter()
                .zip(values)
                .filter_map(|(name, value)| Some((name, value.as_deref()?)))
                .collect();
            let headers = headers(&given);
            check_headers(&headers);
            let class = String::from_utf8_lossy(class);
            let forwarder = input::verified_forwarder(&headers, &forward_key, "a-1", &class);
            assert_eq!(forwarder, None, "no forwarder was authenticated");
        });
}

/// Restricted to digits, signs and spaces, which reach more of the number parser.
#[test]
fn any_deadline_parses_or_is_refused() {
    const CHARS: &[u8] = b"0123456789 +-.e\t_";
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<u8>>()
        .for_each(|picks| {
            let pick = |byte: &u8| CHARS[usize::from(*byte) % CHARS.len()];
            let text: Vec<u8> = picks.iter().map(pick).collect();
            check_headers(&headers(&[(DEADLINE, &text)]));
        });
}

/// A visible ASCII key is accepted exactly up to the length that the table's rows allow.
#[test]
fn any_idempotency_key_is_accepted_unchanged_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(u8, u16)>()
        .for_each(|(byte, length)| {
            let length = usize::from(*length) % (3 * IDEMPOTENCY_KEY_MAX_BYTES);
            let headers = headers(&[(IDEMPOTENCY_KEY, &vec![*byte; length])]);
            check_headers(&headers);
            let is_valid =
                byte.is_ascii_graphic() && (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&length);
            assert!(!is_valid || FilingToken::from_headers(&headers, &ticket_key()).is_ok());
        });
}

/// A ticket is accepted only unchanged.
#[test]
fn a_modified_ticket_is_refused() {
    let ticket = Ticket {
        class: "orders".into(),
        instance: "arusha-0".into(),
        incarnation: 1,
        nonce: 0x1234_5678_9abc_def0,
        expires_at_ms: 1_800_000_000_000,
    };
    let minted = ticket.mint(&ticket_key()).into_bytes();
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<(usize, u8)>, usize)>()
        .for_each(|(changes, cut)| {
            let mut bytes = minted.clone();
            for (index, value) in changes {
                let index = index % bytes.len();
                bytes[index] = *value;
            }
            bytes.truncate(minted.len() - cut % 4);
            match FilingToken::from_headers(&headers(&[(TICKET, &bytes)]), &ticket_key()) {
                Ok(way) => {
                    assert_eq!(bytes, minted);
                    assert_eq!(way, FilingToken::Ticket(ticket.clone()));
                }
                Err(answer) => {
                    assert_ne!(bytes, minted);
                    assert_refusal(&answer);
                }
            }
        });
}

/// Encodes a query so that it parses to the same value.
fn encode(query: &LookupQuery) -> String {
    let escape = |byte| format!("%{byte:02x}");
    let class: String = query.class.bytes().map(escape).collect();
    match query.block {
        Some(block) => format!("class={class}&block={block}"),
        None => format!("class={class}"),
    }
}

/// Look-up queries, random or combined from pieces so that some of them are valid.
#[test]
fn any_query_parses_or_is_refused() {
    const PIECES: [&str; 12] = [
        "class=", "block=", "&", "=", "menu", "10.0.0.1", "::1", "%00", "%f", "%ff", "+", "x",
    ];
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(picks, bytes)| {
            let pick = |byte: &u8| PIECES[usize::from(*byte) % PIECES.len()];
            let pieces: String = picks.iter().map(pick).collect();
            for text in [pieces.as_str(), &String::from_utf8_lossy(bytes)] {
                match LookupQuery::parse(text) {
                    Ok(query) => assert_eq!(LookupQuery::parse(&encode(&query)), Ok(query)),
                    Err(answer) => assert_refusal(&answer),
                }
            }
        });
}
