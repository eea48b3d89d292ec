//! What callers send, as any bytes: each request says something clear or gets one answer.
//!
//! Symptom: a traffic thread dies, and all its connections with it; or a caller is let through with
//! a header that nobody meant. Sequence: a header of odd bytes comes. Cause: a parser that expects
//! what honest callers send.

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
        Query,
        Way,
        KEY_MAX_BYTES, //
    },
    Answer,
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

/// Headers of those values that HTTP lets through.
fn headers(given: &[(&'static str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in given {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.append(HeaderName::from_static(name), value);
        }
    }
    headers
}

/// Checks that an answer is one that its caller can act on.
fn refused(answer: &Answer) {
    let response = answer.respond();
    let status = response.status();
    assert!(status.is_client_error(), "{status}");
    let outcomes: Vec<_> = response.headers().get_all("jasmine-outcome").collect();
    assert_eq!(outcomes, ["not-run"]);
    let body = to_bytes(response.into_body()).now_or_never();
    let body = body.expect("the body is whole").expect("it has no errors");
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
            .expect("good settings")
            .peer_key,
    )
}

/// Reads all that the headers of work can say.
fn read(headers: &HeaderMap) {
    if let Err(answer) = input::protocol(headers) {
        refused(&answer);
    }
    match input::deadline(headers) {
        Ok(None) => assert!(!headers.contains_key(DEADLINE)),
        Ok(Some(left)) => assert!(left >= Duration::from_millis(1)),
        Err(answer) => refused(&answer),
    }
    match Way::of(headers, &ticket_key()) {
        Ok(Way::Ticket(_)) => panic!("nobody made a ticket"),
        Ok(Way::Key(key)) => {
            assert!((1..=KEY_MAX_BYTES).contains(&key.len()));
            assert_eq!(headers.get(IDEMPOTENCY_KEY).expect("given"), &*key);
        }
        Err(answer) => refused(&answer),
    }
}

#[test]
fn any_headers_say_something_or_get_one_answer() {
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
            read(&headers);
            let class = String::from_utf8_lossy(class);
            let forwarder = input::forwarder(&headers, &forward_key, "a-1", &class);
            assert_eq!(forwarder, None, "nobody proved anything");
        });
}

/// As above with headers of digits, signs and spaces, where the number's parser goes deeper.
#[test]
fn any_number_is_a_deadline_or_gets_one_answer() {
    const MARKS: &[u8] = b"0123456789 +-.e\t_";
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<u8>>()
        .for_each(|picks| {
            let pick = |byte: &u8| MARKS[usize::from(*byte) % MARKS.len()];
            let text: Vec<u8> = picks.iter().map(pick).collect();
            read(&headers(&[(DEADLINE, &text)]));
        });
}

/// A key is taken if it has the length that the table's rows are made for.
#[test]
fn any_key_is_taken_whole_or_gets_one_answer() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(u8, u16)>()
        .for_each(|(byte, length)| {
            let length = usize::from(*length) % (3 * KEY_MAX_BYTES);
            let headers = headers(&[(IDEMPOTENCY_KEY, &vec![*byte; length])]);
            read(&headers);
            let visible = byte.is_ascii_graphic() && (1..=KEY_MAX_BYTES).contains(&length);
            assert!(!visible || Way::of(&headers, &ticket_key()).is_ok());
        });
}

/// A ticket is taken as it was made or not at all.
#[test]
fn a_changed_ticket_is_refused() {
    let made = Ticket {
        class: "orders".into(),
        instance: "arusha-0".into(),
        incarnation: 1,
        nonce: 0x1234_5678_9abc_def0,
        expires_at_ms: 1_800_000_000_000,
    };
    let good = made.mint(&ticket_key()).into_bytes();
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<(usize, u8)>, usize)>()
        .for_each(|(changes, cut)| {
            let mut bytes = good.clone();
            for (place, value) in changes {
                let place = place % bytes.len();
                bytes[place] = *value;
            }
            bytes.truncate(good.len() - cut % 4);
            match Way::of(&headers(&[(TICKET, &bytes)]), &ticket_key()) {
                Ok(way) => {
                    assert_eq!(bytes, good);
                    assert_eq!(way, Way::Ticket(made.clone()));
                }
                Err(answer) => {
                    assert_ne!(bytes, good);
                    refused(&answer);
                }
            }
        });
}

/// A query that says the same.
fn written(query: &Query) -> String {
    let escape = |byte| format!("%{byte:02x}");
    let class: String = query.class.bytes().map(escape).collect();
    match query.block {
        Some(block) => format!("class={class}&block={block}"),
        None => format!("class={class}"),
    }
}

/// Pieces make up queries of a look-up, so that some are good.
#[test]
fn any_query_names_a_class_or_gets_one_answer() {
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
                match Query::parse(text) {
                    Ok(query) => assert_eq!(Query::parse(&written(&query)), Ok(query)),
                    Err(answer) => refused(&answer),
                }
            }
        });
}
