//! Responses of upstreams that break off at any byte, as a caller reads what becomes of them.

mod support;

use std::{
    io::Read as _,
    net::SocketAddr,
    thread,
    time::Duration, //
};
use support::{
    eventually,
    request_head,
    routes,
    upstream_row,
    Caller,
    Connection,
    Cut,
    Entry,
    Links,
    MemoryStore,
    NewConnections,
    OpenConnections,
    ReceivedRequest,
    Upstream, //
};

/// Length of a body that an entry buffers before it forwards it.
const SHORT_BODY_BYTES: usize = 48;
/// Length of a body that an entry streams.
const LONG_BODY_BYTES: usize = 300 << 10;
/// Length of a chunk.
const CHUNK_BYTES: usize = 20 << 10;
/// Distance of the cuts within the data of a long body.
const LONG_BODY_CUTS: usize = 13 << 10;
/// Bytes at the ends of a response, and around its chunks, at which each cut is tried.
const EDGE_BYTES: usize = 160;

/// How a response states where it ends.
#[derive(Clone, Copy)]
enum Form {
    /// By its length.
    Length {
        http: &'static str,
        rest: &'static str,
    },
    /// By its length, which is the first header.
    LengthFirst,
    /// By the last chunk.
    Chunks {
        rest: &'static str,
        trailers: &'static str,
    },
    /// By the end of its connection.
    Connection {
        http: &'static str,
        rest: &'static str,
    },
}

/// How the connection of an upstream ends that breaks off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
}

const LENGTH: Form = Form::Length {
    http: "HTTP/1.1",
    rest: "",
};

/// Requests of one kind, and the response that breaks off.
#[derive(Clone, Copy)]
struct Case {
    method: &'static str,
    prefix: &'static str,
    form: Form,
    body_bytes: usize,
}

const FILING: Case = Case {
    method: "POST",
    prefix: "/f/",
    form: LENGTH,
    body_bytes: SHORT_BODY_BYTES,
};
const DOWNLOAD: Case = Case {
    method: "GET",
    prefix: "/d/",
    form: LENGTH,
    body_bytes: LONG_BODY_BYTES,
};

impl Case {
    fn body(self) -> Vec<u8> {
        (0..self.body_bytes)
            .map(|at| b'a' + (at % 23) as u8)
            .collect()
    }

    /// Returns the whole response, and the length of its head.
    fn response(self, id: &str) -> (Vec<u8>, usize) {
        let body = self.body();
        let length = body.len();
        let named = format!("jasmine-request: {id}\r\nupstream-id: s\r\n");
        let head = match self.form {
            Form::Length { http, rest } => {
                format!("{http} 200 OK\r\n{named}{rest}content-length: {length}\r\n\r\n")
            }
            Form::LengthFirst => {
                format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{named}\r\n")
            }
            Form::Chunks { rest, .. } => {
                format!("HTTP/1.1 200 OK\r\n{named}{rest}transfer-encoding: chunked\r\n\r\n")
            }
            Form::Connection { http, rest } => format!("{http} 200 OK\r\n{named}{rest}\r\n"),
        };
        let head_bytes = head.len();
        let mut response = head.into_bytes();
        let Form::Chunks { trailers, .. } = self.form else {
            response.extend(body);
            return (response, head_bytes);
        };
        let chunk_bytes = CHUNK_BYTES.min(length / 3);
        for chunk in body.chunks(chunk_bytes) {
            response.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            response.extend(chunk);
            response.extend(b"\r\n");
        }
        response.extend(format!("0\r\n{trailers}\r\n").into_bytes());
        (response, head_bytes)
    }

    /// Returns where the response is cut: at each byte of a short one, and of a long one's edges.
    fn cuts(self, id: &str) -> Vec<usize> {
        let (response, head_bytes) = self.response(id);
        let last = response.len() - 1;
        let is_edge = |at: &usize| {
            let in_chunk = at.saturating_sub(head_bytes) % (CHUNK_BYTES + "5000\r\n\r\n".len());
            *at < head_bytes + EDGE_BYTES
                || *at + EDGE_BYTES > last
                || (matches!(self.form, Form::Chunks { .. }) && in_chunk < 16)
                || at % LONG_BODY_CUTS == 0
        };
        (0..=last).filter(is_edge).collect()
    }

    /// Returns whether a cut at this byte differs from the end of a complete response.
    fn is_recognisable(self, cut: usize, end: End, id: &str) -> bool {
        let ends_with_connection = matches!(self.form, Form::Connection { .. });
        !(ends_with_connection && end == End::Close && cut >= self.response(id).1)
    }
}

/// Writes the response of the case up to the byte that the path states: `/f/CUT/close` or `/f/CUT/reset`.
fn write_cut_response(case: Case, request: &ReceivedRequest, connection: &mut Connection) -> bool {
    let path = request.head.split(' ').nth(1).unwrap_or_default();
    let mut parts = path.rsplit('/');
    let (end, cut) = (parts.next(), parts.next());
    let (response, _) = case.response(request.id());
    let cut = cut
        .and_then(|cut| cut.parse().ok())
        .unwrap_or(response.len());
    let is_whole = cut == response.len();
    connection.write(&response[..cut]);
    if !is_whole && end == Some("reset") {
        // What was written arrives before the reset, which would discard it.
        thread::sleep(Duration::from_millis(1));
        connection.reset();
    }
    is_whole
        && !matches!(
            case.form,
            Form::Connection { .. }
                | Form::Length {
                    rest: "connection: close\r\n",
                    ..
                }
        )
}

/// What a caller reads.
#[derive(Debug, PartialEq)]
enum Read {
    Whole { status: u16, body: Vec<u8> },
    Broken,
}

/// Reads a response by its own framing, as a client of HTTP/1.1 does.
fn read(caller: &mut Caller) -> Read {
    let Some(response) = caller.read_response() else {
        return Read::Broken;
    };
    let is_framed = ["content-length", "transfer-encoding"]
        .into_iter()
        .any(|name| response.header(name).is_some());
    let mut body = response.body;
    if !is_framed && caller.stream.read_to_end(&mut body).is_err() {
        return Read::Broken;
    }
    Read::Whole {
        status: response.status,
        body,
    }
}

/// Sends the requests of a case to `addr`, each on a kept connection if it lives, and checks what is read.
fn check_all_cuts(case: Case, addr: SocketAddr) {
    let connect = || Caller::try_connect_to(addr).expect("the port for callers is open");
    let mut caller = connect();
    let mut number = 0;
    let mut call = |caller: &mut Caller, tail: String| {
        number += 1;
        let id = format!("{number:08x}");
        let length = if case.method == "POST" {
            "content-length: 0\r\n"
        } else {
            ""
        };
        let path = format!("{}{tail}", case.prefix);
        if !caller.try_send(request_head(case.method, &path, &id, length)) {
            return Read::Broken;
        }
        read(caller)
    };
    let whole = Read::Whole {
        status: 200,
        body: case.body(),
    };
    let id = "00000000";
    for end in [End::Close, End::Reset] {
        let name = if end == End::Close { "close" } else { "reset" };
        for cut in case.cuts(id) {
            if !case.is_recognisable(cut, end, id) {
                continue;
            }
            let found = call(&mut caller, format!("{cut}/{name}"));
            let is_failure = matches!(found, Read::Whole { status: 502, .. });
            let is_reported =
                is_failure || (found == Read::Broken && case.body_bytes == LONG_BODY_BYTES);
            assert!(is_reported, "cut at {cut}, {end:?}: {found:?}");
            if found == Read::Broken {
                caller = connect();
            }
        }
        // Nothing of a response that broke off is left for the next one.
        for _ in 0..3 {
            assert_eq!(call(&mut caller, "whole/x".to_owned()), whole);
        }
    }
}

fn start_upstream(case: Case) -> Upstream {
    Upstream::start(Box::new(move |_, request, connection| {
        write_cut_response(case, request, connection)
    }))
}

/// An entry that reaches no upstream, and one that relays its requests.
struct Relayed {
    entries: [Entry; 2],
    _links: [Links; 2],
    _upstream: Upstream,
}

impl Relayed {
    fn start(case: Case) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstream = start_upstream(case);
        let links = [(); 2].map(|()| Links::open([upstream.addr]));
        let start = |name, links: &Links| {
            let grace = Duration::from_secs(6);
            Entry::start_with_rows(name, "region-a", "domain-a", &store, grace, links.rows())
        };
        let entries = [start("entry-1", &links[0]), start("entry-2", &links[1])];
        for entry in &entries {
            entry.wait_ready(true);
        }
        // Sessions between the entries are open by then. A row that is written earlier could reach an entry with the address
        // of the other one's link.
        thread::sleep(Duration::from_millis(2500));
        store.put_upstream(&upstream_row("u-1", upstream.addr));
        thread::sleep(Duration::from_millis(500));
        links[0].cut(Cut {
            open: OpenConnections::Hang,
            new: NewConnections::Hang,
        });
        eventually("a relayed request", || {
            let mut caller = Caller::connect(&entries[0]);
            caller.send(request_head("GET", "/r/whole/x", "aa", ""));
            (caller.read_response()?.status == 200).then_some(())
        });
        Self {
            entries,
            _links: links,
            _upstream: upstream,
        }
    }
}

/// Guards against a relayed response that broke off on its way to either entry and looks whole to the caller.
macro_rules! cut_relayed_response_is_not_whole {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let case = $case;
            let relayed = Relayed::start(case);
            check_all_cuts(case, relayed.entries[0].callers);
        }
    )*};
}

cut_relayed_response_is_not_whole! {
    cut_relayed_filing_with_a_length: FILING;
    cut_relayed_filing_in_chunks: Case { form: Form::Chunks { rest: "", trailers: "x-check: 7\r\n" }, ..FILING };
    cut_relayed_filing_that_ends_with_its_connection: Case {
        form: Form::Connection { http: "HTTP/1.1", rest: "" },
        ..FILING
    };
    cut_relayed_download_with_a_length: DOWNLOAD;
    cut_relayed_download_in_chunks: Case { form: Form::Chunks { rest: "", trailers: "" }, ..DOWNLOAD };
}

/// Guards against a response that broke off and looks whole to the caller.
macro_rules! cut_response_is_not_whole {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let case = $case;
            let upstream = start_upstream(case);
            let store = MemoryStore::default();
            store.put_routes(&routes(1));
            store.put_upstream(&upstream_row("u-1", upstream.addr));
            let entry = Entry::start("entry-1", &store);
            check_all_cuts(case, entry.callers);
        }
    )*};
}

cut_response_is_not_whole! {
    cut_filing_with_a_length: FILING;
    cut_filing_with_a_length_first: Case { form: Form::LengthFirst, ..FILING };
    cut_filing_that_closes: Case {
        form: Form::Length { http: "HTTP/1.1", rest: "connection: close\r\n" },
        ..FILING
    };
    cut_filing_of_an_older_version: Case {
        form: Form::Length { http: "HTTP/1.0", rest: "connection: close\r\n" },
        ..FILING
    };
    cut_filing_in_chunks: Case { form: Form::Chunks { rest: "", trailers: "" }, ..FILING };
    cut_filing_in_chunks_with_trailers: Case {
        form: Form::Chunks { rest: "", trailers: "x-check: 7\r\nx-more: 8\r\n" },
        ..FILING
    };
    cut_filing_that_ends_with_its_connection: Case {
        form: Form::Connection { http: "HTTP/1.1", rest: "connection: close\r\n" },
        ..FILING
    };
    cut_filing_of_an_older_version_that_ends_with_its_connection: Case {
        form: Form::Connection { http: "HTTP/1.0", rest: "" },
        ..FILING
    };
    cut_empty_response_of_an_older_version: Case {
        form: Form::Length { http: "HTTP/1.0", rest: "" },
        body_bytes: 0,
        ..FILING
    };
    cut_filing_without_a_transfer_coding: Case {
        form: Form::Connection { http: "HTTP/1.1", rest: "transfer-encoding: identity\r\n" },
        ..FILING
    };
    cut_read_with_a_length: Case { method: "GET", prefix: "/r/", ..FILING };
    cut_read_in_chunks: Case {
        method: "GET",
        prefix: "/r/",
        form: Form::Chunks { rest: "", trailers: "" },
        ..FILING
    };
    cut_filing_in_chunks_with_a_shorter_length: Case {
        form: Form::Chunks { rest: "content-length: 7\r\n", trailers: "" },
        ..FILING
    };
    cut_download_in_chunks_with_a_shorter_length: Case {
        form: Form::Chunks { rest: "content-length: 290000\r\n", trailers: "" },
        ..DOWNLOAD
    };
    cut_download_in_chunks_with_a_longer_length: Case {
        form: Form::Chunks { rest: "content-length: 400000\r\n", trailers: "" },
        ..DOWNLOAD
    };
    cut_download_in_chunks_with_a_length_of_zero: Case {
        form: Form::Chunks { rest: "content-length: 0\r\n", trailers: "" },
        ..DOWNLOAD
    };
    cut_download_with_a_length: DOWNLOAD;
    cut_download_in_chunks: Case { form: Form::Chunks { rest: "", trailers: "x-check: 7\r\n" }, ..DOWNLOAD };
    cut_download_that_ends_with_its_connection: Case {
        form: Form::Connection { http: "HTTP/1.1", rest: "connection: close\r\n" },
        ..DOWNLOAD
    };
}
