//! What lives as long as a request: look-ups, work, and the answers to them.
//!
//! One [`Traffic`] belongs to each traffic thread. A handler loads the snapshot once, decides from
//! it, and touches nothing else that control writes but atomics, so that it never waits for the
//! platform, for a peer or for control.
//!
//! - [`input`] parses what callers send.
//! - [`lookup`] answers which entries to use.
//! - [`work`] checks a request for work and answers it.
//! - [`place`] asks which region is to do it.
//! - [`carry`] sends it to an upstream here and tries again where that is safe; [`acquire`] finds
//!   the slot for it, [`probe`] sends copies to upstreams that have to prove themselves.
//! - [`filing`] makes work that is not idempotent run at most once.
//! - [`shift`] hands a request to the entry of another region, or to another one of this region;
//!   [`forward`] proves that it did.
//! - [`attempt`] sends once and says whether the request may have run.
//! - [`body`] streams a long answer.

pub(crate) mod acquire;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod carry;
pub(crate) mod counters;
pub(crate) mod deadline;
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
            Answer,
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

/// Retries and copies that serve as probes, in thousandths of the offered work.
const ADDED_PERMILLE: u32 = 90;

/// State of one traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) clients: Clients,
    pub(crate) counters: Counters,
    /// What may be added to the offered work.
    pub(crate) budget: RefCell<RetryBudget>,
    /// One for each service: what a policy remembers is of one service's upstreams.
    choosers: RefCell<FastMap<ServiceId, Chooser>>,
    /// Region to which the last request of a class was shifted.
    previous: RefCell<FastMap<ClassId, usize>>,
    rng: RefCell<SmallRng>,
}

impl Traffic {
    /// Makes the state of one thread.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            clients: Clients::new(shared.settings.terms.connect_timeout),
            counters: Counters::new(Arc::clone(&shared.burn)),
            budget: RefCell::new(RetryBudget::new(ADDED_PERMILLE)),
            choosers: RefCell::default(),
            previous: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            shared,
        }
    }

    /// Seed for one decision.
    pub(crate) fn seed(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Whether a baseline of the measurements chooses upstreams: it owns no slots.
    pub(crate) fn is_baseline(&self) -> bool {
        self.shared.settings.policy != Policy::LeastLoaded
    }

    /// Uses the policy of one service.
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
    pub(crate) fn previous(&self, class: &ClassId) -> Option<usize> {
        self.previous.borrow().get(class).copied()
    }

    /// Notes where the last request of the class went; `None` is this region.
    pub(crate) fn set_previous(&self, class: &ClassId, region: Option<usize>) {
        let mut previous = self.previous.borrow_mut();
        match region {
            Some(region) => previous.insert(class.clone(), region),
            None => previous.remove(class),
        };
    }

    /// Makes a ticket for one filing at `entry`.
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

    /// Random number that tells one request or claim from all others.
    pub(crate) fn random_u128(&self) -> u128 {
        self.rng.borrow_mut().random()
    }

    /// Id for one hop.
    pub(crate) fn request_id(&self) -> String {
        format!("{:032x}", self.random_u128())
    }
}

/// State of the thread that `request` arrived on.
pub(crate) fn traffic(request: &HttpRequest) -> Rc<Traffic> {
    request
        .app_data::<Rc<Traffic>>()
        .map(Rc::clone)
        .expect("set for every traffic thread")
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
        .service(page("/v1/live", reading().to(live)))
        .service(page("/v1/ready", reading().to(ready)))
        .service(page("/metrics", reading().to(metrics)))
        .default_service(web::to(no_such_path));
}

fn page(path: &str, route: Route) -> Resource {
    let page = web::resource(path).route(route);
    page.default_service(web::to(wrong_method))
}

/// Route of a page that a check of health may ask for without its body.
fn reading() -> Route {
    web::route().guard(guard::Any(guard::Get()).or(guard::Head()))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(request: HttpRequest) -> HttpResponse {
    let traffic = traffic(&request);
    if traffic.shared.published.load().ready() {
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
    own(&request, "only GET is served here")
}

async fn no_such_path(request: HttpRequest) -> HttpResponse {
    own(
        &request,
        "no such path; see /v1/entries and /v1/work/<class>/<path>",
    )
}

fn own(request: &HttpRequest, detail: &'static str) -> HttpResponse {
    let answer = Answer::not_run(Reason::BadRequest, detail);
    work::refuse(&traffic(request), request, &answer)
}
