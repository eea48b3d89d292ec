//! The platform's metadata store: rows, transactions and the feed, as PROTOCOL.md describes them. It loses nothing that
//! it has acknowledged, and its answers are linearizable.

use crate::{
    http::{self, Request},
    json,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Version and value (base64) by table and key; a removed row keeps its version.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

pub struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("binding the store");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            addr: listener.local_addr().expect("address of the store"),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut connection = http::Connection::new(stream);
                    while let Some(request) = connection.read_request() {
                        let (status, body) = store.answer(&request);
                        if !connection.respond(status, &body) {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a row as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(http::base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        state.rows.insert((table.to_owned(), key.to_owned()), (ver, value));
        self.changed.notify_all();
        ver
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(key, _)| *key == name).map(|(_, v)| v).next();
            http::percent_decode(found.unwrap_or(""))
        };
        match path {
            "/v1/rows-get" => self.rows_get(&field("table"), &field("from"), &field("to")),
            "/v1/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait-ms").parse().unwrap_or(0);
                self.rows_feed(&field("table"), after, Duration::from_millis(wait))
            }
            "/v1/rows-tx" => self.rows_tx(&request.body),
            _ => (404, String::new()),
        }
    }

    fn body(&self, ver: u64, rows: &[String], more: &str) -> String {
        let now_s = self.started.elapsed().as_secs_f64();
        format!(
            "{{\"rows\":[{}]{more},\"ver\":{ver},\"now-s\":{now_s:.3}}}",
            rows.join(",")
        )
    }

    fn rows_get(&self, table: &str, from: &str, to: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut more = "";
        for ((of, key), (ver, value)) in &state.rows {
            let in_range = of == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to);
            let Some(value) = value.as_ref().filter(|_| in_range) else {
                continue;
            };
            if rows.len() == 500 {
                more = ",\"has-more\":true";
                break;
            }
            rows.push(row(table, key, *ver, Some(value)));
        }
        (200, self.body(state.ver, &rows, more))
    }

    fn rows_feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let mut changed: Vec<_> = state
                .rows
                .iter()
                .filter(|((of, _), (ver, _))| of == table && *ver > after)
                .collect();
            changed.sort_by_key(|(_, (ver, _))| *ver);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<_> = changed
                    .into_iter()
                    .map(|((_, key), (ver, value))| row(table, key, *ver, value.as_ref()))
                    .collect();
                return (200, self.body(state.ver, &rows, ""));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = json::parse(body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let place = |row: &json::Json| (row.text("table").to_owned(), row.text("key").to_owned());
        let current = |state: &Rows, place: &(String, String)| {
            let row = state.rows.get(place).cloned();
            row.filter(|(_, value)| value.is_some())
        };
        let expected = txn.list("expected-rev");
        let conflict = expected.iter().any(|row| {
            let ver = current(&state, &place(row)).map_or(0, |(ver, _)| ver);
            ver != row.number("ver")
        });
        if conflict {
            let rows: Vec<_> = expected
                .iter()
                .map(|one| {
                    let place = place(one);
                    let (ver, value) = current(&state, &place).unwrap_or((0, None));
                    row(&place.0, &place.1, ver, value.as_ref())
                })
                .collect();
            return (412, self.body(state.ver, &rows, ""));
        }
        let writes = txn.list("put-rows").iter().chain(txn.list("remove"));
        let of_system = |place: &(String, String)| place.0 != "op" && place.0 != "servers";
        if !writes.clone().all(|row| of_system(&place(row))) {
            return (403, String::new());
        }
        state.ver += 1;
        let ver = state.ver;
        for row in txn.list("put-rows") {
            let value = row.text("value").to_owned();
            state.rows.insert(place(row), (ver, Some(value)));
        }
        for row in txn.list("remove") {
            state.rows.insert(place(row), (ver, None));
        }
        self.changed.notify_all();
        (200, self.body(ver, &[], ""))
    }
}

fn row(table: &str, key: &str, ver: u64, value: Option<&String>) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
}
