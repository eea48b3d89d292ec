//! A test's requests to upstreams: faults and records.

use super::{
    Faults,
    Upstream, //
};
use actix_web::{
    dev::Server,
    web,
    App,
    HttpResponse,
    HttpServer, //
};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::Arc, //
};

/// The upstreams that a request can be about.
type Upstreams = web::Data<Vec<Arc<Upstream>>>;

/// Which of them it is about.
#[derive(Deserialize)]
struct Which {
    /// Its id; needed where there are several.
    id: Option<String>,
}

/// Serves `/fault`, `/record` and `/record/clear` by `?id=` and `/records` for these upstreams, on
/// a thread of its own.
///
/// # Errors
///
/// When the listener can't be used.
pub fn control(listener: TcpListener, upstreams: Vec<Arc<Upstream>>) -> io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(upstreams.clone()))
            .configure(routes)
            .route("/records", web::get().to(records))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Routes that an upstream's own port has, too.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/fault", web::post().to(fault))
        .route("/record", web::get().to(record))
        .route("/record/clear", web::post().to(clear));
}

/// Answers `POST /fault`.
async fn fault(
    all: Upstreams,
    which: web::Query<Which>,
    faults: web::Json<Faults>,
) -> HttpResponse {
    with_one(&all, &which, |upstream| {
        upstream.set_faults(*faults);
        HttpResponse::Ok().finish()
    })
}

/// Answers `GET /record`.
async fn record(all: Upstreams, which: web::Query<Which>) -> HttpResponse {
    with_one(&all, &which, |upstream| {
        HttpResponse::Ok().json(upstream.record())
    })
}

/// Answers `POST /record/clear`.
async fn clear(all: Upstreams, which: web::Query<Which>) -> HttpResponse {
    with_one(&all, &which, |upstream| {
        upstream.clear_record();
        HttpResponse::Ok().finish()
    })
}

/// Answers `GET /records`: the record of each upstream by its id.
async fn records(all: Upstreams) -> HttpResponse {
    let records: BTreeMap<_, _> = all.iter().map(|u| (u.id(), u.record())).collect();
    HttpResponse::Ok().json(records)
}

/// Does something with the one upstream meant.
fn with_one(
    all: &[Arc<Upstream>],
    which: &Which,
    act: impl FnOnce(&Arc<Upstream>) -> HttpResponse,
) -> HttpResponse {
    let meant = |upstream: &&Arc<Upstream>| which.id.as_ref().is_none_or(|id| upstream.id() == id);
    let mut meant = all.iter().filter(meant);
    match (meant.next(), meant.next()) {
        (Some(upstream), None) => act(upstream),
        _ => HttpResponse::NotFound().body("name one upstream by ?id="),
    }
}
