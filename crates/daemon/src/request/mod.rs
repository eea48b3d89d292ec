//! Handling of one request: lookups, work, and the responses to them.
//!
//! Each traffic thread has one [`TrafficThread`]. A handler loads the snapshot once and decides
//! from it. Of the other state that control writes it accesses only atomics, so that it never waits
//! for the platform, a peer or control.
//!
//! - [`input`] parses what callers send.
//! - [`lookup`] tells callers which entries to use.
//! - [`work`] validates a request for work and answers it.
//! - [`place`] chooses the region for it.
//! - [`dispatch`] sends it to an upstream of this region and retries where that is safe;
//!   [`acquire`] takes a slot for it, [`probe`] sends copies to upstreams that are being probed.
//! - [`filing`] runs work that is not idempotent at most once.
//! - [`shift`] hands a request to an entry of another region, or to another entry of this region;
//!   [`forward`] authenticates the forwarded request.
//! - [`attempt`] sends a request once and determines whether it may have run.
//! - [`body`] streams a long response.

pub(crate) mod acquire;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod counters;
pub(crate) mod deadline;
pub(crate) mod dispatch;
pub(crate) mod filing;
pub(crate) mod forward;
pub(crate) mod header;
pub mod input;
pub(crate) mod lookup;
pub(crate) mod place;
pub(crate) mod probe;
pub(crate) mod shift;
pub(crate) mod work;

use crate::{
    connection::Clients,
    process::shared::Shared,
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        counters::Counters, //
    },
    version::Entry,
};
use ::filing::Ticket;
use actix_web::{
    guard,
    web,
    HttpRequest,
    HttpResponse,
    Resource,
    Route, //
};
use base::{
    ClassId,
    FastMap,
    ServiceId, //
};
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};
use steer::{
    BaselineLimits,
    Chooser,
    Policy,
    RetryBudget, //
};

/// Budget for retries and for copies sent as probes, in thousandths of the offered work.
const RETRY_BUDGET_PERMILLE: u32 = 90;

/// State of one traffic thread.
pub(crate) struct TrafficThread {
    pub(crate) shared: Arc<Shared>,
    pub(crate) clients: Clients,
    pub(crate) counters: Counters,
    /// Budget for retries and probe copies.
    pub(crate) budget: RefCell<RetryBudget>,
    /// One per service: a policy keeps state about the upstreams of one service.
    choosers: RefCell<FastMap<ServiceId, Chooser>>,
    /// Region to which the last request of each class was shifted.
    previous_shifts: RefCell<FastMap<ClassId, usize>>,
    rng: RefCell<SmallRng>,
}

impl TrafficThread {
    /// Creates the state of one thread.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            clients: Clients::new(shared.settings.terms.connect_timeout),
            counters: Counters::new(Arc::clone(&shared.burn)),
            budget: RefCell::new(RetryBudget::new(RETRY_BUDGET_PERMILLE)),
            choosers: RefCell::default(),
            previous_shifts: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            shared,
        }
    }

    /// Random seed for one decision.
    pub(crate) fn seed(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Whether a baseline policy, used only for measurements, chooses upstreams; it owns no slots.
    pub(crate) fn is_baseline(&self) -> bool {
        self.shared.settings.policy != Policy::LeastLoaded
    }

    /// Calls `call` with the chooser of one service.
    pub(crate) fn with_chooser<T>(
        &self,
        service: &ServiceId,
        call: impl FnOnce(&mut Chooser) -> T,
    ) -> T {
        let mut choosers = self.choosers.borrow_mut();
        if let Some(chooser) = choosers.get_mut(service) {
            return call(chooser);
        }
        let policy = self.shared.settings.policy;
        let chooser = policy.chooser(BaselineLimits::None);
        call(choosers.entry(service.clone()).or_insert(chooser))
    }

    /// Region to which the last request of the class was shifted, if it was.
    pub(crate) fn previous_shift(&self, class: &ClassId) -> Option<usize> {
        self.previous_shifts.borrow().get(class).copied()
    }

    /// Records the region that the last request of the class went to; `None` is this region.
    pub(crate) fn set_previous_shift(&self, class: &ClassId, region: Option<usize>) {
        let mut previous = self.previous_shifts.borrow_mut();
        match region {
            Some(region) => previous.insert(class.clone(), region),
            None => previous.remove(class),
        };
    }

    /// Issues a ticket for one filing at `entry`.
    pub(crate) fn mint_ticket(&self, class: &ClassId, entry: &Entry) -> String {
        let shared = &self.shared;
        let life_ms = u64::try_from(shared.settings.terms.ticket.as_millis()).unwrap_or(u64::MAX);
        let ticket = Ticket {
            class: class.clone(),
            instance: entry.instance.clone(),
            incarnation: entry.incarnation,
            nonce: self.random_u128(),
            expires_at_ms: shared.clock.wall_ms(shared.now()).saturating_add(life_ms),
        };
        ticket.mint(&shared.ticket_key)
    }

    /// Random number that identifies one request or claim.
    pub(crate) fn random_u128(&self) -> u128 {
        self.rng.borrow_mut().random()
    }

    /// Random id of a request on one hop.
    pub(crate) fn request_id(&self) -> String {
        format!("{:032x}", self.random_u128())
    }
}

/// State of the thread that `request` arrived on.
pub(crate) fn traffic(request: &HttpRequest) -> Rc<TrafficThread> {
    request
        .app_data::<Rc<TrafficThread>>()
        .map(Rc::clone)
        .expect("app data is set for every traffic thread")
}

/// Routes of the callers' port.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/entries")
                .route(web::get().to(lookup::entries))
                .default_service(web::to(wrong_method)),
        )
        .service(web::resource("/v1/work/{class}").to(work::work))
        .service(web::resource("/v1/work/{class}/{path:.*}").to(work::work))
        .service(page("/v1/live", get_or_head().to(live)))
        .service(page("/v1/ready", get_or_head().to(ready)))
        .service(page("/metrics", get_or_head().to(metrics)))
        .default_service(web::to(no_such_path));
}

fn page(path: &str, route: Route) -> Resource {
    let page = web::resource(path).route(route);
    page.default_service(web::to(wrong_method))
}

/// Route for `GET` and `HEAD`; health checks may ask for a page without its body.
fn get_or_head() -> Route {
    web::route().guard(guard::Any(guard::Get()).or(guard::Head()))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(request: HttpRequest) -> HttpResponse {
    let traffic = traffic(&request);
    if traffic.shared.published.load().is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(request: HttpRequest) -> HttpResponse {
    let traffic = traffic(&request);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(traffic.shared.metrics.render())
}

async fn wrong_method(request: HttpRequest) -> HttpResponse {
    bad_request(&request, "only GET is served here")
}

async fn no_such_path(request: HttpRequest) -> HttpResponse {
    bad_request(
        &request,
        "no such path; see /v1/entries and /v1/work/<class>/<path>",
    )
}

fn bad_request(request: &HttpRequest, detail: &'static str) -> HttpResponse {
    let error = ErrorResponse::not_run(Reason::BadRequest, detail);
    work::refuse(&traffic(request), request, &error)
}
