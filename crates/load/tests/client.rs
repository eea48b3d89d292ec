//! Callers against a plain socket: truncated responses are never taken for complete ones.

use load::{
    drive,
    Addresses,
    CallerRegion,
    CallerResult,
    ClassLoad,
    FilingMethod,
    Scene,
    TryEnd,
    Work, //
};
use std::{
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    thread, //
};

/// Responds to look-ups with its own address and to work with `response`, then closes.
fn serve(response: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let own_addr = addr.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let own_addr = own_addr.clone();
            thread::spawn(move || serve_one(stream.unwrap(), &own_addr, response));
        }
    });
    addr
}

fn serve_one(mut stream: TcpStream, own_addr: &str, response: &str) {
    let mut head = String::new();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let text = if head.starts_with("GET /v1/entries") {
        let body = format!("{{\"ttl_ms\":60000,\"entries\":[{{\"addr\":\"{own_addr}\"}}]}}");
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
    } else {
        response.to_owned()
    };
    // The caller may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

fn result_of(work: Work, response: &'static str) -> (CallerResult, TryEnd) {
    let scene = Scene {
        seed: 1,
        duration_ms: 100,
        allowance_ms: 1_000,
        leaving_bound_ms: 3_000,
        threads: 1,
        regions: vec![CallerRegion {
            name: "arusha".into(),
            block: "10.1.0.0/16".into(),
            callers: 1,
            share: 1.0,
            one_way_ms: 0,
        }],
        classes: vec![ClassLoad {
            name: "menu".into(),
            rate_per_s: 50.0,
            deadline_ms: 2_000,
            work,
            bytes: 100,
            filing: FilingMethod::None,
            tries: 1,
            attempt_ms: None,
        }],
        bursts: Vec::new(),
        events: Vec::new(),
    };
    let mut addresses = Addresses::default();
    addresses
        .daemons
        .insert("arusha".into(), vec![serve(response).into()]);
    let load_records = drive(&scene, &addresses);
    let caller = load_records
        .callers
        .first()
        .expect("the seed gives an arrival");
    (caller.result, caller.tries[0].end)
}

macro_rules! cut_responses {
    ($($(#[$doc:meta])* $name:ident: $work:expr, $response:expr => $end:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(result_of($work, $response), (CallerResult::NoAnswer, $end));
        }
    )*};
}

cut_responses! {
    /// A chunked response whose connection closes before the last chunk was taken for complete,
    /// because the library's client treats the end of the stream as the end of the body.
    chunked_response_without_its_last_chunk: Work::Chunked,
        "HTTP/1.1 200 OK\r\njasmine-outcome: done\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"
        => TryEnd::Cut;
    /// The same fault with a declared length.
    response_shorter_than_declared: Work::Bytes,
        "HTTP/1.1 200 OK\r\njasmine-outcome: done\r\ncontent-length: 100\r\n\r\nab"
        => TryEnd::Cut;
    /// A connection that closes before the head of the response must end the try, or the caller
    /// waits for a response that can't arrive.
    no_response: Work::Bytes, "" => TryEnd::Cut;
}
