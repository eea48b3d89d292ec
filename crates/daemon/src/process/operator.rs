//! The operators' port: JSON requests that control answers.
//!
//! Handlers here only translate; control decides. The port is apart from the callers' one and,
//! unless it is on loopback, each request must prove the operators' key.

use crate::process::{
    control::{
        Accept,
        AcceptError,
        Control,
        GetStatus, //
    },
    settings::Secret,
    shared::Shared, //
};
use actix::Addr;
use actix_web::{
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    http::header::AUTHORIZATION,
    middleware::Next,
    web,
    HttpResponse, //
};
use serde::Serialize;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Longest request body: a configuration with its block table.
const BODY_LIMIT_BYTES: usize = 256 << 20;

#[derive(Serialize)]
struct Error<'a> {
    error: &'a str,
}

/// Routes of the operators' port.
pub(crate) fn routes(control: Addr<Control>) -> impl FnOnce(&mut web::ServiceConfig) {
    move |config: &mut web::ServiceConfig| {
        config
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT_BYTES))
            .app_data(web::Data::new(control))
            .route("/op/v1/accept", web::post().to(accept))
            .route("/op/v1/status", web::get().to(status));
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
    let response = HttpResponse::Unauthorized().json(Error {
        error: "the operators' key is missing or wrong",
    });
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

async fn accept(control: web::Data<Addr<Control>>, body: web::Json<Accept>) -> HttpResponse {
    match control.send(body.into_inner()).await {
        Ok(Ok(accepted)) => HttpResponse::Ok().json(accepted),
        Ok(Err(AcceptError::Findings { findings })) => {
            HttpResponse::UnprocessableEntity().json(AcceptError::Findings { findings })
        }
        Ok(Err(raced @ AcceptError::Raced { .. })) => HttpResponse::Conflict().json(raced),
        Ok(Err(error)) => HttpResponse::ServiceUnavailable().json(error),
        Err(_) => stopped(),
    }
}

async fn status(control: web::Data<Addr<Control>>) -> HttpResponse {
    match control.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => stopped(),
    }
}

fn stopped() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(Error {
        error: "control has stopped",
    })
}
