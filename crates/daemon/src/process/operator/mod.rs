//! The operators' port: JSON requests that control answers.
//!
//! Handlers here only translate; control decides. The port is apart from the callers' one and,
//! unless it is on loopback, each request must prove the operators' key. Every refusal is one JSON
//! object whose `error` names it.

mod upload;

use crate::process::{
    control::{
        Accept,
        Control,
        Edit,
        GetBurn,
        GetConfig,
        GetConfirmation,
        GetDrains,
        GetHistory,
        GetInstances,
        GetShares,
        GetStatus, //
    },
    settings::Secret,
    shared::Shared, //
};
use actix::{
    dev::ToEnvelope,
    Addr,
    Handler,
    Message, //
};
use actix_web::{
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    error::InternalError,
    guard,
    http::{
        header::{
            AUTHORIZATION,
            CONTENT_TYPE, //
        },
        StatusCode, //
    },
    middleware::Next,
    web,
    HttpRequest,
    HttpResponse, //
};
use base::Version;
use op::{
    AcceptRequest,
    Accepted,
    DrainRequest,
    Refusal,
    TargetRequest,
    WITH_BLOCKS, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    sync::Arc, //
};
use subtle::ConstantTimeEq;

/// Longest request body: a configuration with its block table.
const BODY_LIMIT_BYTES: usize = 256 << 20;
/// Versions in a history whose number was not asked for.
const HISTORY_LIMIT: u64 = 20;

/// Handle of control in the handlers.
type ControlAddr = web::Data<Addr<Control>>;

#[derive(Deserialize)]
struct HistoryQuery {
    limit: Option<u64>,
}

#[derive(Deserialize)]
struct ConfirmedQuery {
    version: Version,
}

/// Routes of the operators' port.
pub(crate) fn routes(control: Addr<Control>) -> impl FnOnce(&mut web::ServiceConfig) {
    move |config: &mut web::ServiceConfig| {
        let json = web::JsonConfig::default()
            .limit(BODY_LIMIT_BYTES)
            .error_handler(|error, _| bad_request(error));
        config
            .app_data(json)
            .app_data(web::QueryConfig::default().error_handler(|error, _| bad_request(error)))
            .app_data(web::PathConfig::default().error_handler(|error, _| bad_request(error)))
            .app_data(web::Data::new(control))
            .service(
                web::resource("/op/v1/accept")
                    .route(
                        web::post()
                            .guard(guard::Header(CONTENT_TYPE.as_str(), WITH_BLOCKS))
                            .to(accept_with_blocks),
                    )
                    .route(web::post().to(accept))
                    .default_service(web::to(wrong_method)),
            )
            .service(
                web::resource("/op/v1/drain")
                    .route(web::post().to(drain))
                    .route(web::get().to(|control| ask(control, GetDrains)))
                    .default_service(web::to(wrong_method)),
            )
            .service(
                web::resource("/op/v1/target")
                    .route(web::post().to(target))
                    .default_service(web::to(wrong_method)),
            )
            .route("/op/v1/config", web::get().to(config_in_force))
            .route("/op/v1/config/{version}", web::get().to(config_of))
            .route("/op/v1/history", web::get().to(history))
            .route("/op/v1/confirmed", web::get().to(confirmed))
            .route(
                "/op/v1/status",
                web::get().to(|control| ask(control, GetStatus)),
            )
            .route(
                "/op/v1/instances",
                web::get().to(|control| ask(control, GetInstances)),
            )
            .route(
                "/op/v1/shares",
                web::get().to(|control| ask(control, GetShares)),
            )
            .route(
                "/op/v1/burn",
                web::get().to(|control| ask(control, GetBurn)),
            )
            .default_service(web::to(no_such_request));
    }
}

/// Lets a request through that proves the operators' key, or any request where none is set.
pub(crate) async fn prove_key(
    shared: web::Data<Arc<Shared>>,
    request: ServiceRequest,
    next: Next<impl actix_web::body::MessageBody + 'static>,
) -> Result<ServiceResponse<impl actix_web::body::MessageBody>, actix_web::Error> {
    let proven = match &shared.settings.operator_key {
        Some(key) => proves(&request, key),
        None => true,
    };
    if proven {
        return next
            .call(request)
            .await
            .map(ServiceResponse::map_into_left_body);
    }
    let response = refuse(&Refusal::Unauthorized);
    Ok(request.into_response(response).map_into_right_body())
}

fn proves(request: &ServiceRequest, key: &Secret) -> bool {
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    // Comparing byte by byte until the first difference would tell a guesser how far he got.
    given.is_some_and(|given| given.as_bytes().ct_eq(key.expose().as_bytes()).into())
}

async fn accept(control: ControlAddr, body: web::Json<AcceptRequest>) -> HttpResponse {
    let accept = Accept {
        request: body.into_inner(),
        blocks: None,
    };
    change(control, accept).await
}

async fn accept_with_blocks(control: ControlAddr, payload: web::Payload) -> HttpResponse {
    match upload::read(payload).await {
        Ok((accept, permit)) => {
            let answer = change(control, accept).await;
            drop(permit);
            answer
        }
        Err(refusal) => refuse(&refusal),
    }
}

async fn drain(control: ControlAddr, body: web::Json<DrainRequest>) -> HttpResponse {
    change(control, Edit::from(body.into_inner())).await
}

async fn target(control: ControlAddr, body: web::Json<TargetRequest>) -> HttpResponse {
    change(control, Edit::from(body.into_inner())).await
}

async fn config_in_force(control: ControlAddr) -> HttpResponse {
    try_ask(control, GetConfig(None), stopped()).await
}

async fn config_of(control: ControlAddr, version: web::Path<Version>) -> HttpResponse {
    try_ask(control, GetConfig(Some(version.into_inner())), stopped()).await
}

async fn history(control: ControlAddr, query: web::Query<HistoryQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(HISTORY_LIMIT);
    try_ask(control, GetHistory { limit }, stopped()).await
}

async fn confirmed(control: ControlAddr, query: web::Query<ConfirmedQuery>) -> HttpResponse {
    ask(control, GetConfirmation(query.version)).await
}

/// Answers with what control says.
async fn ask<M, T>(control: ControlAddr, message: M) -> HttpResponse
where
    M: Message<Result = T> + Send + 'static,
    T: Send + Serialize + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    match control.send(message).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => refuse(&stopped()),
    }
}

/// Answers with what control says, if it does; with `on_stop` when control went before that.
async fn try_ask<M, T>(control: ControlAddr, message: M, on_stop: Refusal) -> HttpResponse
where
    M: Message<Result = Result<T, Refusal>> + Send + 'static,
    T: Send + Serialize + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    match control.send(message).await {
        Ok(Ok(answer)) => HttpResponse::Ok().json(answer),
        Ok(Err(refusal)) => refuse(&refusal),
        Err(_) => refuse(&on_stop),
    }
}

/// Answers a request that changes something.
async fn change<M>(control: ControlAddr, message: M) -> HttpResponse
where
    M: Message<Result = Result<Accepted, Refusal>> + Send + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    // Control may have taken it and gone before it answered: the commit may be on its way.
    let on_stop = Refusal::Unknown {
        detail: "this daemon stopped meanwhile".to_owned(),
    };
    try_ask(control, message, on_stop).await
}

async fn wrong_method(request: HttpRequest) -> HttpResponse {
    refuse(&Refusal::BadRequest {
        detail: format!("{} has no {}", request.path(), request.method()),
    })
}

async fn no_such_request(request: HttpRequest) -> HttpResponse {
    refuse(&Refusal::NotFound {
        detail: format!("the operators' port has no {}", request.path()),
    })
}

fn bad_request(error: impl fmt::Display) -> actix_web::Error {
    let response = refuse(&Refusal::BadRequest {
        detail: error.to_string(),
    });
    InternalError::from_response(String::new(), response).into()
}

fn refuse(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.status());
    HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)).json(refusal)
}

fn stopped() -> Refusal {
    Refusal::NotDone {
        detail: "this daemon stops".to_owned(),
    }
}
