//! The platform: a table with optimistic transactions, a store of immutable objects, and the list
//! of instances and upstreams.

use crate::{
    lock,
    wall_ms,
    RatioSampler, //
};
use actix_web::{
    dev::{
        Extensions,
        Server, //
    },
    rt::net::TcpStream,
    web,
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    any::Any,
    collections::BTreeMap,
    future,
    io,
    net::{
        Shutdown,
        TcpListener, //
    },
    os::fd::AsFd,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

/// Maximum size of a request body.
const BODY_LIMIT_BYTES: usize = 256 << 20;

/// Kind of fault of one component of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// No fault.
    #[default]
    None,
    /// Requests are refused immediately with 503, without taking effect.
    Down,
    /// Requests never get a response and take no effect.
    Freeze,
    /// Requests take effect and get their response after a further `delay_ms`.
    Slow,
    /// Requests take effect, but the connection closes without a response.
    LostAnswer,
    /// Reads of the table and the list return their content at the time when the fault was set;
    /// commits and objects are unaffected.
    Stale,
}

/// Fault of one component of the platform.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Delay in milliseconds for [`FaultKind::Slow`].
    pub delay_ms: u64,
    /// Ratio of requests that the fault affects.
    pub ratio: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            kind: FaultKind::None,
            delay_ms: 0,
            ratio: 1.0,
        }
    }
}

/// Body of `POST /fault`; components that are left out keep their fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fault of the table.
    pub table: Option<Fault>,
    /// Fault of the object store.
    pub objects: Option<Fault>,
    /// Fault of the list.
    pub list: Option<Fault>,
}

/// Complete or partial list, as in the response to `GET /list` and in a list file.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListContent {
    /// Time of this snapshot in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Instances, each an object with an `id`.
    pub instances: Vec<Value>,
    /// Upstreams, each an object with an `id`.
    pub upstreams: Vec<Value>,
}

/// Counts of requests since the start, without those that a fault refused or left pending.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions rejected because a check failed.
    pub conflicts: u64,
    /// Objects read or written.
    pub objects: u64,
    /// Reads of the list.
    pub lists: u64,
}

/// A component of the platform whose faults are set separately.
#[derive(Clone, Copy)]
enum Component {
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The list.
    List,
}

/// A row of the table.
#[derive(Clone, Serialize)]
struct Row {
    /// Key.
    key: String,
    /// Version of the commit that last wrote it.
    version: u64,
    /// Value.
    value: String,
}

/// A fault and the sampler that applies its ratio.
#[derive(Default)]
struct ActiveFault {
    /// The fault.
    fault: Fault,
    /// Selects the requests that the fault affects.
    sampler: RatioSampler,
}

/// State of the platform.
#[derive(Default)]
struct State {
    /// Rows by key.
    rows: BTreeMap<String, Row>,
    /// Version of the last commit.
    version: u64,
    /// Objects by name.
    objects: BTreeMap<String, Bytes>,
    /// Listed instances by id.
    instances: BTreeMap<String, Value>,
    /// Listed upstreams by id.
    upstreams: BTreeMap<String, Value>,
    /// List returned by stale reads.
    stale_list: ListContent,
    /// Rows returned by stale reads.
    stale_rows: BTreeMap<String, Row>,
    /// Active faults, indexed by [`Component`].
    active_faults: [ActiveFault; 3],
    /// Request counters.
    counters: Counters,
}

/// The state, shared by the handlers.
type Shared = web::Data<Arc<Mutex<State>>>;

/// A duplicate handle of a connection's socket, used to close it without a response.
struct Socket(std::net::TcpStream);

/// Body of `POST /table/read`.
#[derive(Deserialize)]
struct ReadBody {
    /// Keys to read.
    keys: Vec<String>,
}

/// Body of `POST /table/scan`.
#[derive(Deserialize)]
struct ScanBody {
    /// Prefix of the keys to return.
    prefix: String,
}

/// Body of `POST /table/commit`.
#[derive(Deserialize)]
struct CommitBody {
    /// Conditions that must all hold.
    checks: Vec<CheckBody>,
    /// Writes to apply if they do.
    writes: Vec<WriteBody>,
}

/// A condition on the version of a row.
#[derive(Deserialize)]
struct CheckBody {
    /// Key of the row.
    key: String,
    /// Required version; `None` if the row must be absent.
    version: Option<u64>,
}

/// A write to a row.
#[derive(Deserialize)]
struct WriteBody {
    /// Key of the row.
    key: String,
    /// New value; `None` deletes the row.
    value: Option<String>,
}

/// Serves an empty platform on `listener`, on a thread of its own, until the server is stopped.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    serve_with(listener, ListContent::default())
}

/// Like [`serve`], with an initial list.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve_with(listener: TcpListener, list: ListContent) -> io::Result<Server> {
    let state = Arc::new(Mutex::new(State {
        instances: by_id(list.instances),
        upstreams: by_id(list.upstreams),
        ..State::default()
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Arc::clone(&state)))
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT_BYTES))
            .app_data(web::PayloadConfig::default().limit(BODY_LIMIT_BYTES))
            .route("/table/read", web::post().to(read))
            .route("/table/scan", web::post().to(scan))
            .route("/table/commit", web::post().to(commit))
            .route("/objects/{name}", web::get().to(get_object))
            .route("/objects/{name}", web::put().to(put_object))
            .route("/list", web::get().to(get_list))
            .route("/list/{what}/{id}", web::put().to(put_entry))
            .route("/list/{what}/{id}", web::delete().to(delete_entry))
            .route("/fault", web::post().to(set_faults))
            .route("/counters", web::get().to(get_counters))
    })
    .on_connect(keep_socket)
    .workers(1)
    .keep_alive(Duration::from_secs(75))
    .h1_allow_half_closed(false)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Stores a duplicate handle of each connection's socket with the connection.
fn keep_socket(connection: &dyn Any, extensions: &mut Extensions) {
    let socket = connection
        .downcast_ref::<TcpStream>()
        .and_then(|stream| stream.as_fd().try_clone_to_owned().ok());
    if let Some(socket) = socket {
        extensions.insert(Socket(socket.into()));
    }
}

/// Handles `POST /table/read`.
async fn read(state: Shared, request: HttpRequest, body: web::Json<ReadBody>) -> HttpResponse {
    with_fault(&state, &request, Component::Table, |state, kind| {
        state.counters.reads += 1;
        let rows_by_key = state.visible_rows(kind);
        let rows: Vec<_> = body.keys.iter().map(|key| rows_by_key.get(key)).collect();
        HttpResponse::Ok().json(json!({ "rows": rows }))
    })
    .await
}

/// Handles `POST /table/scan`.
async fn scan(state: Shared, request: HttpRequest, body: web::Json<ScanBody>) -> HttpResponse {
    with_fault(&state, &request, Component::Table, |state, kind| {
        state.counters.reads += 1;
        let rows: Vec<_> = state
            .visible_rows(kind)
            .range(body.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&body.prefix))
            .map(|(_, row)| row)
            .collect();
        HttpResponse::Ok().json(json!({ "rows": rows }))
    })
    .await
}

/// Handles `POST /table/commit`.
async fn commit(state: Shared, request: HttpRequest, body: web::Json<CommitBody>) -> HttpResponse {
    with_fault(&state, &request, Component::Table, |state, _| {
        state.commit(body.into_inner())
    })
    .await
}

impl State {
    /// Applies all writes if all checks hold.
    fn commit(&mut self, body: CommitBody) -> HttpResponse {
        let rows: Vec<_> = body.checks.iter().map(|c| self.rows.get(&c.key)).collect();
        let versions = rows.iter().map(|row| row.map(|row| row.version));
        if !versions.eq(body.checks.iter().map(|check| check.version)) {
            let conflict = json!({ "committed": false, "rows": rows });
            self.counters.conflicts += 1;
            return HttpResponse::Conflict().json(conflict);
        }
        self.counters.commits += 1;
        self.version += 1;
        let version = self.version;
        for WriteBody { key, value } in body.writes {
            match value {
                Some(value) => {
                    let row = Row {
                        key: key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        HttpResponse::Ok().json(json!({ "committed": true, "version": version }))
    }

    /// Returns the current list.
    fn list(&self) -> ListContent {
        ListContent {
            as_of_ms: wall_ms(),
            instances: self.instances.values().cloned().collect(),
            upstreams: self.upstreams.values().cloned().collect(),
        }
    }

    /// Returns the rows that a read sees under a fault.
    fn visible_rows(&self, kind: FaultKind) -> &BTreeMap<String, Row> {
        match kind {
            FaultKind::Stale => &self.stale_rows,
            _ => &self.rows,
        }
    }

    /// Returns the list entries of a collection: `instances` or `upstreams`.
    fn entries_mut(&mut self, collection: &str) -> Option<&mut BTreeMap<String, Value>> {
        match collection {
            "instances" => Some(&mut self.instances),
            "upstreams" => Some(&mut self.upstreams),
            _ => None,
        }
    }

    /// Returns the fault that affects the next request to a component.
    fn next_fault(&mut self, component: Component) -> Fault {
        let active = &mut self.active_faults[component as usize];
        if active.sampler.select(active.fault.ratio) {
            active.fault
        } else {
            Fault::default()
        }
    }
}

/// Handles `GET /objects/<name>`.
async fn get_object(state: Shared, request: HttpRequest, name: web::Path<String>) -> HttpResponse {
    with_fault(&state, &request, Component::Objects, |state, _| {
        state.counters.objects += 1;
        match state.objects.get(name.as_str()) {
            Some(body) => HttpResponse::Ok().body(body.clone()),
            None => HttpResponse::NotFound().finish(),
        }
    })
    .await
}

/// Handles `PUT /objects/<name>`.
async fn put_object(
    state: Shared,
    request: HttpRequest,
    name: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    with_fault(&state, &request, Component::Objects, |state, _| {
        state.counters.objects += 1;
        let stored = state.objects.entry(name.into_inner());
        if *stored.or_insert_with(|| body.clone()) == body {
            HttpResponse::Ok().finish()
        } else {
            HttpResponse::Conflict().finish()
        }
    })
    .await
}

/// Handles `GET /list`.
async fn get_list(state: Shared, request: HttpRequest) -> HttpResponse {
    with_fault(&state, &request, Component::List, |state, kind| {
        state.counters.lists += 1;
        let list = if kind == FaultKind::Stale {
            state.stale_list.clone()
        } else {
            state.list()
        };
        HttpResponse::Ok().json(list)
    })
    .await
}

/// Handles `PUT /list/<collection>/<id>`.
async fn put_entry(
    state: Shared,
    path: web::Path<(String, String)>,
    body: web::Json<Value>,
) -> HttpResponse {
    let (collection, id) = path.into_inner();
    match lock(&state).entries_mut(&collection) {
        Some(entries) if body["id"] == id.as_str() => {
            entries.insert(id, body.into_inner());
            HttpResponse::Ok().finish()
        }
        Some(_) => HttpResponse::BadRequest().body("the ids in path and body differ"),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Handles `DELETE /list/<collection>/<id>`.
async fn delete_entry(state: Shared, path: web::Path<(String, String)>) -> HttpResponse {
    let (collection, id) = path.into_inner();
    match lock(&state)
        .entries_mut(&collection)
        .and_then(|entries| entries.remove(&id))
    {
        Some(_) => HttpResponse::Ok().finish(),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Handles `POST /fault`.
async fn set_faults(state: Shared, faults: web::Json<Faults>) -> HttpResponse {
    let mut state = lock(&state);
    if faults.list.is_some() {
        state.stale_list = state.list();
    }
    if faults.table.is_some() {
        state.stale_rows = state.rows.clone();
    }
    let new_faults = [faults.table, faults.objects, faults.list];
    for (active, fault) in state.active_faults.iter_mut().zip(new_faults) {
        if let Some(fault) = fault {
            *active = ActiveFault {
                fault,
                sampler: RatioSampler::default(),
            };
        }
    }
    HttpResponse::Ok().finish()
}

/// Handles `GET /counters`.
async fn get_counters(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).counters)
}

/// Applies the effect of a request, subject to the current fault of the component.
async fn with_fault(
    state: &Shared,
    request: &HttpRequest,
    component: Component,
    effect: impl FnOnce(&mut State, FaultKind) -> HttpResponse,
) -> HttpResponse {
    let fault = lock(state).next_fault(component);
    match fault.kind {
        FaultKind::None | FaultKind::Stale => {}
        FaultKind::Down => return HttpResponse::ServiceUnavailable().finish(),
        FaultKind::Freeze => return future::pending().await,
        FaultKind::Slow => actix_web::rt::time::sleep(Duration::from_millis(fault.delay_ms)).await,
        FaultKind::LostAnswer => {
            effect(&mut lock(state), fault.kind);
            if let Some(Socket(socket)) = request.conn_data() {
                // Fails only if the caller has already closed the connection.
                let _ = socket.shutdown(Shutdown::Both);
            }
            return future::pending().await;
        }
    }
    effect(&mut lock(state), fault.kind)
}

/// Returns entries by id, without those that have no id.
fn by_id(entries: Vec<Value>) -> BTreeMap<String, Value> {
    let with_id = |entry: Value| Some((entry["id"].as_str()?.to_owned(), entry));
    entries.into_iter().filter_map(with_id).collect()
}
