//! The callers' port: the HTTP library's server, and what becomes of requests that it can't parse.
//!
//! The library answers a malformed head by itself, with 400 or 431 and without a claim about the
//! run, and tells nobody but its caller, by an error. A body whose framing is malformed it doesn't
//! answer at all. So the port is made of the library's own parts, as its `HttpServer` does it, with
//! one step around each connection: [`serve`] waits for its end, counts what was malformed, and
//! puts the claim into the answer, which the [`Wire`] has kept back, or answers itself.
//! docs/design/input.md says what was weighed.

use crate::{
    connection::wire::{
        Held,
        Wire, //
    },
    process::{
        metric,
        shared::Shared, //
    },
    request::{
        self,
        header,
        Traffic, //
    },
};
use actix_codec::Encoder;
use actix_http::{
    body::BodySize,
    error::{
        DispatchError,
        ParseError, //
    },
    h1::{
        Codec,
        Message, //
    },
    ConnectionType,
    Extensions,
    HttpService,
    Protocol,
    Request,
    Response, //
};
use actix_service::{
    apply_fn_factory,
    map_config,
    IntoServiceFactory,
    Service,
    ServiceFactoryExt, //
};
use actix_web::{
    dev::{
        AppConfig,
        Server, //
    },
    App,
    Error, //
};
use base::RunOutcome;
use metrics::Counter;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::{
        poll_fn,
        Future, //
    },
    io,
    net::TcpListener,
    pin::pin,
    rc::Rc,
    sync::Arc,
    task::{
        ready,
        Poll, //
    },
    time::Duration, //
};
use tokio::{
    net::TcpStream,
    time::timeout, //
};

/// Time that a caller has to send the head of a request.
///
/// What goes wrong with the library's five seconds: the process is paused for longer, requests
/// arrive meanwhile, and on waking their timers have run out before their bytes are read. Their
/// callers get 408 without a claim about the run. A longer time bounds the pause that they can
/// notice in this way; a caller who sends nothing holds a connection for as long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that an idle connection of a caller is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Longest wait for a caller who goes on sending while his connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers on the traffic threads.
pub(crate) fn serve_callers(listener: TcpListener, shared: &Arc<Shared>) -> io::Result<Server> {
    let builder = Server::build()
        .workers(shared.settings.traffic_threads)
        .disable_signals();
    let stop = builder.graceful_shutdown_signal();
    let shared = Arc::clone(shared);
    let builder = builder.listen("callers", listener, move || {
        let refusals = Rc::new(Refusals::new(&shared));
        let (stop, stopped) = (stop.clone(), Rc::clone(&refusals));
        let traffic = Rc::new(Traffic::new(Arc::clone(&shared)));
        let app = App::new().app_data(traffic).configure(request::routes);
        let app = app
            .into_factory()
            .map_err(|error: Error| error.as_response_error().error_response());
        let app = apply_fn_factory(app, |request: Request, app: &_| {
            let wire = request.conn_data::<Rc<RefCell<Wire>>>().map(Rc::clone);
            let answer = Service::call(app, request);
            async move {
                let note = |awaited| {
                    wire.iter()
                        .for_each(|w| w.borrow_mut().set_awaited(awaited))
                };
                note(true);
                let answer = answer.await;
                note(false);
                answer
            }
        });
        let http = HttpService::build()
            .graceful_shutdown_signal(move || {
                let (stop, stopped) = (stop.clone(), Rc::clone(&stopped));
                async move {
                    stop.notified().await;
                    stopped.stopping.set(true);
                }
            })
            .keep_alive(KEEP_ALIVE)
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(CLOSE_TIMEOUT)
            // What goes wrong with `false`: the library ends the connection of a good request, its
            // answer unsent, when what follows it is no HTTP. [`serve`] looks for callers who go.
            .h1_allow_half_closed(true)
            .on_connect_ext(|held: &Held, data: &mut Extensions| {
                data.insert(Rc::clone(&held.0));
            })
            .finish(map_config(app, |()| AppConfig::default()));
        apply_fn_factory(http, move |stream: TcpStream, http: &_| {
            // An answer's end must not wait for the caller's delayed acknowledgement of what came
            // before; failing to set the option only costs time.
            let _ = stream.set_nodelay(true);
            let caller = stream.peer_addr().ok();
            let wire = Rc::new(RefCell::new(Wire::new(stream)));
            let held = Held(Rc::clone(&wire));
            let connection = Service::call(http, (held, Protocol::Http1, caller));
            serve(connection, wire, Rc::clone(&refusals))
        })
    })?;
    Ok(builder.run())
}

/// Serves one connection to its end.
///
/// A caller who goes away ends its request, which cancels it at the upstream.
async fn serve(
    connection: impl Future<Output = Result<(), DispatchError>>,
    wire: Rc<RefCell<Wire>>,
    refusals: Rc<Refusals>,
) -> Result<(), DispatchError> {
    let ended = {
        let mut connection = pin!(connection);
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            let mut wire = wire.borrow_mut();
            if let Err(error) = ready!(wire.poll_send(cx)) {
                return Poll::Ready(Some(Err(error.into())));
            }
            if wire.other_ended() {
                Poll::Ready(None)
            } else {
                Poll::Pending
            }
        });
        ended.await
    };
    match &ended {
        Some(Err(DispatchError::Parse(error))) => refusals.head(error, &mut wire.borrow_mut()),
        // The library drops a connection without ending it for one reason: the framing of a
        // request's body can't be parsed.
        Some(Ok(())) if !wire.borrow().ended() => refusals.body(&mut wire.borrow_mut()),
        _ => return ended.unwrap_or(Ok(())),
    }
    // A caller who doesn't read his answer, or sends for ever, isn't waited for.
    let _ = timeout(CLOSE_TIMEOUT, close(&wire)).await;
    ended.unwrap_or(Ok(()))
}

/// Ends the connection so that the caller gets the answer.
///
/// What goes wrong with a plain close: bytes that were not read make the kernel reset the
/// connection, and the caller may lose the answer that was sent. It would show as a caller with no
/// answer to an oversized head. Here the sending side ends first, and what still comes is read.
async fn close(wire: &RefCell<Wire>) -> io::Result<()> {
    poll_fn(|cx| wire.borrow_mut().poll_end(cx)).await?;
    poll_fn(|cx| wire.borrow_mut().poll_discard(cx)).await
}

/// What one traffic thread does with requests that are no HTTP.
struct Refusals {
    heads: Counter,
    oversized_heads: Counter,
    bodies: Counter,
    /// Header lines of the system's own.
    not_run: String,
    unknown: String,
    codec: RefCell<Codec>,
    /// The library drops refusals unsent while it stops, and then the end of the connection says
    /// nothing about what was written last.
    stopping: Cell<bool>,
}

impl Refusals {
    fn new(shared: &Shared) -> Self {
        let counter =
            |reason: &'static str| metrics::counter!(metric::MALFORMED, "reason" => reason);
        let settings = &shared.settings;
        let lines = |outcome: RunOutcome| {
            let lines = [
                (header::OUTCOME, outcome.as_str()),
                (header::INSTANCE, &settings.instance),
                (header::REGION, &settings.region),
            ];
            lines
                .map(|(name, value)| format!("{name}: {value}\r\n"))
                .concat()
        };
        Self {
            heads: counter("head"),
            oversized_heads: counter("oversized-head"),
            bodies: counter("body"),
            not_run: lines(RunOutcome::NotRun),
            unknown: lines(RunOutcome::Unknown),
            codec: RefCell::default(),
            stopping: Cell::new(false),
        }
    }

    /// Counts a head that the library has refused, and puts the claim into its answer.
    ///
    /// The claim is true: what the library could not parse has reached nothing behind it.
    fn head(&self, error: &ParseError, wire: &mut Wire) {
        match error {
            ParseError::TooLarge => self.oversized_heads.increment(1),
            _ => self.heads.increment(1),
        }
        if !self.stopping.get() {
            wire.add_headers(&self.not_run);
        }
    }

    /// Counts a body that the library gave up, and answers its request unless it has an answer.
    ///
    /// Part of the body may have gone to an upstream, so nothing is known of the run.
    fn body(&self, wire: &mut Wire) {
        self.bodies.increment(1);
        if !wire.awaited() {
            return;
        }
        let mut refusal = Response::bad_request().drop_body();
        refusal
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        let refusal = Message::Item((refusal, BodySize::Sized(0)));
        let written = self.codec.borrow_mut().encode(refusal, wire.held());
        if written.is_ok() {
            wire.add_headers(&self.unknown);
        }
    }
}
