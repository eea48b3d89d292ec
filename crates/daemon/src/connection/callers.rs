//! The callers' port: the HTTP library's server, and the handling of requests that it can't parse.
//!
//! The library answers a malformed head itself, with 400 or 431 and without a run outcome, and
//! reports it only as the error that ends the connection. It doesn't answer a body with malformed
//! framing at all. The port is therefore assembled from the library's parts, as `HttpServer` does
//! it, with a wrapper around each connection: [`serve`] waits for its end, counts malformed
//! requests, and adds the run outcome to the response, which the [`CallerStream`] has buffered, or
//! writes a response of its own. docs/design/input.md describes the alternatives.

use crate::{
    connection::stream::{
        CallerStream,
        SharedStream, //
    },
    process::{
        metric,
        shared::Shared, //
    },
    request::{
        self,
        header,
        TrafficThread, //
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

/// Time limit for receiving the head of a request.
///
/// With the library's default of five seconds, a process that is paused for longer finds on
/// resuming that the timers of the requests that arrived meanwhile have expired before their bytes
/// are read, and their callers get 408 without a run outcome. A longer limit tolerates longer
/// pauses; a caller that sends nothing holds a connection for as long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Longest wait for a caller that keeps sending while its connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves callers on the traffic threads.
pub(crate) fn serve_callers(listener: TcpListener, shared: &Arc<Shared>) -> io::Result<Server> {
    let builder = Server::build()
        .workers(shared.settings.traffic_threads)
        .disable_signals();
    let stop = builder.graceful_shutdown_signal();
    let shared = Arc::clone(shared);
    let builder = builder.listen("callers", listener, move || {
        let malformed = Rc::new(MalformedHandler::new(&shared));
        let (stop, stopped) = (stop.clone(), Rc::clone(&malformed));
        let traffic = Rc::new(TrafficThread::new(Arc::clone(&shared)));
        let app = App::new().app_data(traffic).configure(request::routes);
        let app = app
            .into_factory()
            .map_err(|error: Error| error.as_response_error().error_response());
        let app = apply_fn_factory(app, |request: Request, app: &_| {
            let stream = request
                .conn_data::<Rc<RefCell<CallerStream>>>()
                .map(Rc::clone);
            let response = Service::call(app, request);
            async move {
                let set_pending = |pending| {
                    stream
                        .iter()
                        .for_each(|stream| stream.borrow_mut().set_response_pending(pending))
                };
                set_pending(true);
                let response = response.await;
                set_pending(false);
                response
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
            // With `false`, the library closes the connection of a valid request without sending
            // its response when malformed bytes follow it. [`serve`] detects callers that leave.
            .h1_allow_half_closed(true)
            .on_connect_ext(|shared: &SharedStream, data: &mut Extensions| {
                data.insert(Rc::clone(&shared.0));
            })
            .finish(map_config(app, |()| AppConfig::default()));
        apply_fn_factory(http, move |stream: TcpStream, http: &_| {
            // Without it, the end of a response waits for the caller's delayed acknowledgement of
            // earlier segments. A failure to set it only costs latency.
            let _ = stream.set_nodelay(true);
            let caller = stream.peer_addr().ok();
            let stream = Rc::new(RefCell::new(CallerStream::new(stream)));
            let shared = SharedStream(Rc::clone(&stream));
            let connection = Service::call(http, (shared, Protocol::Http1, caller));
            serve(connection, stream, Rc::clone(&malformed))
        })
    })?;
    Ok(builder.run())
}

/// Serves one connection to its end.
///
/// When the caller disconnects, its request is dropped, which cancels it at the upstream.
async fn serve(
    connection: impl Future<Output = Result<(), DispatchError>>,
    stream: Rc<RefCell<CallerStream>>,
    malformed: Rc<MalformedHandler>,
) -> Result<(), DispatchError> {
    let ended = {
        let mut connection = pin!(connection);
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
            let mut stream = stream.borrow_mut();
            if let Err(error) = ready!(stream.poll_send(cx)) {
                return Poll::Ready(Some(Err(error.into())));
            }
            if stream.peer_closed() {
                Poll::Ready(None)
            } else {
                Poll::Pending
            }
        });
        ended.await
    };
    match &ended {
        Some(Err(DispatchError::Parse(error))) => {
            malformed.handle_head(error, &mut stream.borrow_mut())
        }
        // The library drops a connection without shutting it down for one reason only: the framing
        // of a request body can't be parsed.
        Some(Ok(())) if !stream.borrow().is_shut_down() => {
            malformed.handle_body(&mut stream.borrow_mut())
        }
        _ => return ended.unwrap_or(Ok(())),
    }
    // Bounds the wait for a caller that doesn't read its response or never stops sending.
    let _ = timeout(CLOSE_TIMEOUT, lingering_close(&stream)).await;
    ended.unwrap_or(Ok(()))
}

/// Closes the connection so that the caller receives the response.
///
/// After a plain close, unread bytes make the kernel reset the connection, and the caller may lose
/// a response that was already sent, such as that to an oversized head. The sending side is
/// therefore shut down first, and incoming bytes are read and discarded.
async fn lingering_close(stream: &RefCell<CallerStream>) -> io::Result<()> {
    poll_fn(|cx| stream.borrow_mut().poll_shutdown_write(cx)).await?;
    poll_fn(|cx| stream.borrow_mut().poll_discard(cx)).await
}

/// Counts and answers the malformed requests of one traffic thread.
struct MalformedHandler {
    heads: Counter,
    oversized_heads: Counter,
    bodies: Counter,
    /// Header lines of a response whose outcome is `not-run`.
    not_run: String,
    /// Header lines of a response whose outcome is `unknown`.
    unknown: String,
    codec: RefCell<Codec>,
    /// While it stops, the library drops its refusals unsent, so that the error which ends a
    /// connection says nothing about the last bytes written.
    stopping: Cell<bool>,
}

impl MalformedHandler {
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

    /// Counts a head that the library has refused, and adds the outcome to its response.
    ///
    /// The outcome is `not-run`: a request that the library can't parse reaches no handler.
    fn handle_head(&self, error: &ParseError, stream: &mut CallerStream) {
        match error {
            ParseError::TooLarge => self.oversized_heads.increment(1),
            _ => self.heads.increment(1),
        }
        if !self.stopping.get() {
            stream.add_headers(&self.not_run);
        }
    }

    /// Counts a malformed body, and answers its request unless it already has a response.
    ///
    /// Part of the body may have been sent to an upstream, so the outcome is `unknown`.
    fn handle_body(&self, stream: &mut CallerStream) {
        self.bodies.increment(1);
        if !stream.response_pending() {
            return;
        }
        let mut refusal = Response::bad_request().drop_body();
        refusal
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        let refusal = Message::Item((refusal, BodySize::Sized(0)));
        let written = self.codec.borrow_mut().encode(refusal, stream.buffer_mut());
        if written.is_ok() {
            stream.add_headers(&self.unknown);
        }
    }
}
