//! Relays a request through another entry when this one reaches no upstream for it.
//!
//! A request that certainly did not run is relayed to one entry after another until one takes it. A response of such an
//! entry ends the request: it has retried by itself what may be sent again.

use crate::{
    metric,
    traffic::{
        attempt::{
            read_buffered,
            Buffered,
            ReceivedBody,
            ReceivedResponse, //
        },
        dispatch::{
            Dispatch,
            Progress, //
        },
        placement::Rejection,
        relayed,
        relays::{
            RelayInFlight,
            RelayQuery, //
        },
        request_log::text,
        response::{
            FinalResponse,
            LastSend, //
        },
        Traffic, //
    },
};
use actix_http::{
    header::RETRY_AFTER,
    StatusCode, //
};
use base::InstanceId;
use event::{
    emit,
    Event,
    Reason, //
};
use relay::{
    Failure,
    Target,
    UpstreamRequest,
    UpstreamResponse, //
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Result of relaying a request to one entry.
enum Relayed {
    /// An upstream's response, passed on by the entry.
    Answered(Box<ReceivedResponse>),
    /// The entry could not serve it, and another one may: it certainly did not run.
    Unavailable { sends: u32, why: String },
    /// The entry rejected it: it certainly did not run.
    Rejected { sends: u32, retry_after: Duration },
    /// It may have run, and there is no response.
    Failed { timeout: bool },
}

impl Dispatch {
    /// Relays the request through other entries. `rejection` is why this entry doesn't send it to an upstream, and is the
    /// final response if no other entry takes it.
    pub(super) async fn relay(
        &mut self,
        mut progress: Progress,
        mut rejection: Rejection,
    ) -> FinalResponse {
        let mut tried = Vec::new();
        // A request is relayed only once, so that entries don't send it to and fro.
        while !self.is_relayed() {
            let Some((target, in_flight)) = self.next_relay(&tried) else {
                break;
            };
            let Some(request) = self.relayed_request(&target.id, progress.sends) else {
                rejection.reason = Reason::BodySpent;
                break;
            };
            tried.push(target.id.clone());
            progress.via = Some(target.id.clone());
            let relayed = send(&self.traffic, &target, in_flight, request).await;
            let label = outcome_label(&relayed);
            metrics::counter!(metric::RELAYED, "outcome" => label).increment(1);
            match relayed {
                Relayed::Answered(response) if self.is_untrue(response.status) => {
                    progress.sends += 1;
                    progress.may_have_run = true;
                    rejection.reason = Reason::SendFailed;
                    break;
                }
                Relayed::Answered(response) => {
                    progress.sends += 1;
                    progress.may_have_run = true;
                    return self.forward_response(&progress, *response);
                }
                Relayed::Unavailable { sends, why } => {
                    self.log_failed_relay(&target.id, true, why);
                    let mut relays = self.traffic.relays.borrow_mut();
                    relays.note_unavailable(&target.id, self.traffic.now());
                    drop(relays);
                    let was_sent = sends > progress.sends;
                    progress.sends = progress.sends.max(sends);
                    if was_sent && !self.may_resend(progress.sends) {
                        break;
                    }
                }
                Relayed::Rejected { sends, retry_after } => {
                    progress.sends = progress.sends.max(sends);
                    rejection = Rejection::new(Reason::RelayRejected, retry_after);
                    break;
                }
                Relayed::Failed { timeout } => {
                    self.log_failed_relay(&target.id, false, label.to_owned());
                    progress.sends += 1;
                    progress.may_have_run = true;
                    progress.last = Some(LastSend::Failed { timeout });
                    rejection.reason = Reason::SendFailed;
                    break;
                }
            }
        }
        self.give_up(progress, &rejection)
    }

    /// Chooses the entry that the request is relayed to next, and counts it as in flight there.
    fn next_relay(&self, tried: &[InstanceId]) -> Option<(Target, RelayInFlight)> {
        let snapshot = self.traffic.shared.published.load();
        let query = RelayQuery {
            key: self.key,
            home_regions: [&self.route.homes, self.organisation_homes()],
            tried,
        };
        let relays = self.traffic.relays.borrow();
        let now = self.traffic.now();
        let view = relays.choose(&snapshot.relays, &query, &snapshot.location, now)?;
        drop(relays);
        let target = Target {
            id: view.instance.clone(),
            addr: view.addr,
        };
        Some((target, RelayInFlight::new(&self.traffic, &view.instance)))
    }

    /// Builds the request for another entry. Returns `None` if its body can't be sent again or the entries' key isn't
    /// known yet.
    fn relayed_request(&mut self, to: &InstanceId, sends: u32) -> Option<UpstreamRequest> {
        let shared = self.traffic.shared.clone();
        let token = shared.channels.relay_key.token(to)?;
        let header =
            relayed::request_header(&token, sends, self.is_counted, &shared.settings.instance)?;
        let body = self.body.next_body()?;
        let mut headers = self.headers.clone();
        headers.remove(&shared.dialect.target);
        headers.insert(shared.dialect.deadline_ms.clone(), self.deadline_header());
        headers.insert(relayed::RELAY, header);
        let mut request = self.encode(&headers, body);
        if let Some(echo) = &mut request.echo {
            // An entry passes on the id of an upstream's response, but states none in its own.
            echo.is_consistent = false;
        }
        Some(request)
    }

    fn log_failed_relay(&self, entry: &InstanceId, not_run: bool, why: String) {
        if self.traffic.log_limiter.try_take(true, self.traffic.now()) {
            emit(&Event::RelayFailed {
                id: text(&self.id),
                entry: entry.clone(),
                not_run,
                why,
            });
        }
    }
}

/// Sends a request to another entry.
async fn send(
    traffic: &Rc<Traffic>,
    target: &Target,
    in_flight: RelayInFlight,
    request: UpstreamRequest,
) -> Relayed {
    let deadline = request.deadline;
    let exchange = traffic.relay_pool.exchange(target, request, || true);
    let response = match exchange.await {
        Ok(response) => response,
        Err(failure) if failure.not_run() => {
            return Relayed::Unavailable {
                sends: 0,
                why: failure.to_string(),
            }
        }
        Err(failure) => {
            return Relayed::Failed {
                timeout: failure == Failure::Timeout,
            }
        }
    };
    if let Some(sends) = relayed::stated_sends(&response.headers) {
        return own_response(response, sends, deadline).await;
    }
    let UpstreamResponse {
        status,
        headers,
        length_bytes,
        mut body,
    } = response;
    let has_seal = headers.contains_key(&traffic.shared.dialect.seal);
    if status.is_success() && !has_seal {
        return Relayed::Failed { timeout: false };
    }
    let body_hold = Rc::new(traffic.body_memory.hold());
    let body = match read_buffered(&mut body, deadline, &body_hold).await {
        Ok(Buffered::Complete(bytes)) => ReceivedBody::Complete(bytes),
        Ok(Buffered::Prefix(prefix)) => ReceivedBody::Partial {
            prefix,
            rest: Box::new(body),
            guard: Box::new(in_flight),
        },
        Err(_truncated) => return Relayed::Failed { timeout: false },
    };
    Relayed::Answered(Box::new(ReceivedResponse {
        status,
        headers,
        length_bytes,
        body,
        body_hold,
    }))
}

/// Interprets a response that the other entry made itself.
async fn own_response(mut response: UpstreamResponse, sends: u32, deadline: Instant) -> Relayed {
    // The connection is reused only if its response has been read.
    let _ = response.body.next(deadline).await;
    match response.status {
        StatusCode::MISDIRECTED_REQUEST => Relayed::Unavailable {
            sends,
            why: "it can't serve the request either".to_owned(),
        },
        StatusCode::SERVICE_UNAVAILABLE => {
            let seconds = response.headers.get(RETRY_AFTER);
            let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
            let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            Relayed::Rejected {
                sends,
                retry_after: retry_after.unwrap_or_default(),
            }
        }
        status => Relayed::Failed {
            timeout: status == StatusCode::GATEWAY_TIMEOUT,
        },
    }
}

/// Returns the metric label of a result.
fn outcome_label(relayed: &Relayed) -> &'static str {
    match relayed {
        Relayed::Answered(_) => "answered",
        Relayed::Unavailable { .. } => "unavailable",
        Relayed::Rejected { .. } => "rejected",
        Relayed::Failed { timeout: true } => "timed out",
        Relayed::Failed { timeout: false } => "failed",
    }
}
