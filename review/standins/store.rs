//! The platform's store: tables with one version counter, as PROTOCOL.md describes them. Nothing is refused or lost.

use crate::{
    http::{Connection, Message},
    json::{base64, quoted, Json},
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Most rows of an answer.
const PAGE_ROWS: usize = 500;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type RowId = (String, String, String);

#[derive(Default)]
struct State {
    ver: u64,
    /// Version and encoded value; a dropped row keeps its version and has no value.
    rows: BTreeMap<RowId, (u64, Option<String>)>,
}

/// Handle of the running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        thread::sleep(CALL_TIME);
                        let (status, body) = store.answer(&request);
                        let start = format!("HTTP/1.1 {status} Answer");
                        let json = [("Content-Type", "application/json")];
                        if connection.write(&start, &json, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as an operator or a server does. Returns when the store has accepted it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let id = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(id, (ver, value));
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decoded(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-tx" => self.transact(&request.body),
            "/v1/rows-get" => self.get(
                &field("table"),
                &field("part"),
                &field("from"),
                &field("to"),
            ),
            "/v1/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait_ms = field("wait-ms").parse().unwrap_or(0);
                self.feed(&field("table"), after, Duration::from_millis(wait_ms))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn tail(&self, ver: u64) -> String {
        format!(
            "\"ver\":{ver},\"now-s\":{:.3}",
            self.started.elapsed().as_secs_f64()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let id = |row: &Json| -> RowId {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let written = call
            .get("put-rows")
            .list()
            .iter()
            .chain(call.get("remove").list());
        if written
            .map(id)
            .any(|(table, ..)| table == "op" || table == "servers")
        {
            return (403, "{}".to_owned());
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let expected = call.get("expected-rev").list();
        let current = |state: &State, id: &RowId| match state.rows.get(id) {
            Some((ver, Some(value))) => (*ver, Some(value.clone())),
            _ => (0, None),
        };
        let holds = expected
            .iter()
            .all(|row| current(&state, &id(row)).0 == row.get("ver").number() as u64);
        if !holds {
            let rows = expected.iter().map(|row| {
                let id = id(row);
                let (ver, value) = current(&state, &id);
                row_json(&id, ver, value.as_deref())
            });
            let rows: Vec<String> = rows.collect();
            return (
                412,
                format!("{{\"rows\":[{}],{}}}", rows.join(","), self.tail(state.ver)),
            );
        }
        state.ver += 1;
        let ver = state.ver;
        for row in call.get("put-rows").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(id(row), (ver, Some(value)));
        }
        for row in call.get("remove").list() {
            if let Some(known) = state.rows.get_mut(&id(row)) {
                *known = (ver, None);
            }
        }
        changed.notify_all();
        (200, format!("{{{}}}", self.tail(ver)))
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((row_table, row_part, key), (_, value))| {
                row_table == table
                    && row_part == part
                    && value.is_some()
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
            });
        let rows: Vec<String> = rows
            .map(|(id, (ver, value))| row_json(id, *ver, value.as_deref()))
            .collect();
        let page = &rows[..rows.len().min(PAGE_ROWS)];
        let has_more = page.len() < rows.len();
        let tail = self.tail(state.ver);
        (
            200,
            format!(
                "{{\"rows\":[{}],\"has-more\":{has_more},{tail}}}",
                page.join(",")
            ),
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let (lock, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        loop {
            let rows = state.rows.iter();
            let mut rows: Vec<_> = rows
                .filter(|((row_table, ..), (ver, _))| row_table == table && *ver > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (ver, _))| *ver);
                let rows: Vec<String> = rows
                    .into_iter()
                    .map(|(id, (ver, value))| row_json(id, *ver, value.as_deref()))
                    .collect();
                return (
                    200,
                    format!("{{\"rows\":[{}],{}}}", rows.join(","), self.tail(state.ver)),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_json((table, part, key): &RowId, ver: u64, value: Option<&str>) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"ver\":{ver}}}")
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
