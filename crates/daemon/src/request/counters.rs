//! Metrics of one traffic thread; the handles are looked up once per class.

use crate::{
    process::{
        burn::{
            Burn,
            ClassBurn, //
        },
        metric, //
    },
    request::answer::Reason,
};
use base::{
    ClassId,
    FastMap,
    RunOutcome, //
};
use metrics::{
    Counter,
    Histogram, //
};
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Metric handles of one class.
pub(crate) struct ClassCounters {
    done: Counter,
    unknown: Counter,
    not_run: Counter,
    latency: Histogram,
    /// Time spent in the queue.
    pub(crate) waited: Histogram,
    pub(crate) retries: Counter,
    pub(crate) shifted: Counter,
    /// Requests handed to another entry of this region.
    pub(crate) handed_over: Counter,
    /// Copies sent as probes.
    pub(crate) copies: Counter,
    broken_streams: Counter,
    /// Error budget counts of callers' requests; `None` for requests that another entry sent.
    ///
    /// Otherwise both entries would count a forwarded request, and a report over all daemons would
    /// show more requests than callers made.
    burn: Option<Arc<ClassBurn>>,
}

impl ClassCounters {
    fn new(class: &ClassId, burn: Option<Arc<ClassBurn>>) -> Self {
        let name = class.to_string();
        let outcome = |outcome: RunOutcome| {
            metrics::counter!(
                metric::REQUESTS,
                "class" => name.clone(),
                "outcome" => outcome.as_str()
            )
        };
        Self {
            done: outcome(RunOutcome::Done),
            unknown: outcome(RunOutcome::Unknown),
            not_run: outcome(RunOutcome::NotRun),
            latency: metrics::histogram!(metric::LATENCY, "class" => name.clone()),
            waited: metrics::histogram!(metric::WAITED, "class" => name.clone()),
            retries: metrics::counter!(metric::RETRIES, "class" => name.clone()),
            shifted: metrics::counter!(metric::SHIFTED, "class" => name.clone()),
            handed_over: metrics::counter!(metric::HANDED_OVER, "class" => name.clone()),
            copies: metrics::counter!(metric::COPIES, "class" => name.clone()),
            broken_streams: metrics::counter!(metric::BROKEN_STREAMS, "class" => name),
            burn,
        }
    }

    /// Records a complete response of an upstream.
    pub(crate) fn record_done(&self, latency: Duration) {
        self.done.increment(1);
        self.latency.record(latency.as_secs_f64());
        self.record_burn(true, latency);
    }

    /// Records an error response of the daemon's own.
    pub(crate) fn record_error(&self, outcome: RunOutcome, latency: Duration) {
        match outcome {
            RunOutcome::NotRun => self.not_run.increment(1),
            RunOutcome::Unknown => self.unknown.increment(1),
            RunOutcome::Done => self.done.increment(1),
        }
        self.record_burn(false, latency);
    }

    fn record_burn(&self, whole: bool, latency: Duration) {
        if let Some(burn) = &self.burn {
            burn.record(whole, latency);
        }
    }

    /// Records the end of a response that streamed.
    pub(crate) fn record_stream_end(&self, whole: bool, latency: Duration) {
        if whole {
            self.record_done(latency);
        } else {
            self.broken_streams.increment(1);
            self.record_burn(false, latency);
        }
    }
}

/// Metrics of one traffic thread.
pub(crate) struct Counters {
    burn: Arc<Burn>,
    /// By class and whether another entry sent the requests.
    by_class: RefCell<FastMap<(ClassId, bool), Rc<ClassCounters>>>,
    pub(crate) lookups_answered: Counter,
    pub(crate) lookups_refused: Counter,
    reasons: Vec<Counter>,
}

impl Counters {
    /// Looks up the metric handles.
    pub(crate) fn new(burn: Arc<Burn>) -> Self {
        let reason =
            |reason: Reason| metrics::counter!(metric::REASONS, "reason" => reason.as_str());
        Self {
            burn,
            by_class: RefCell::default(),
            lookups_answered: metrics::counter!(metric::LOOKUPS, "result" => "answered"),
            lookups_refused: metrics::counter!(metric::LOOKUPS, "result" => "refused"),
            reasons: Reason::ALL.into_iter().map(reason).collect(),
        }
    }

    /// Handles of a configured class; `forwarded` selects those of requests from other entries.
    pub(crate) fn class(&self, class: &ClassId, forwarded: bool) -> Rc<ClassCounters> {
        let mut by_class = self.by_class.borrow_mut();
        let key = (class.clone(), forwarded);
        if let Some(counters) = by_class.get(&key) {
            return Rc::clone(counters);
        }
        let burn = (!forwarded).then(|| self.burn.class(class));
        let counters = Rc::new(ClassCounters::new(class, burn));
        by_class.insert(key, Rc::clone(&counters));
        counters
    }

    /// Counts the reason of an error response.
    pub(crate) fn record_reason(&self, reason: Reason) {
        let index = Reason::ALL.iter().position(|&known| known == reason);
        self.reasons[index.expect("`Reason::ALL` lists every reason")].increment(1);
    }
}
