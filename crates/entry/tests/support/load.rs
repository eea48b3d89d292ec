//! Entries under continuous load.

use crate::support::{
    request,
    Caller,
    Entry,
    MemoryStore,
    Sent, //
};
use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

/// Names of entries.
pub(crate) const NAMES: [&str; 12] = [
    "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8",
    "entry-9", "entry-10", "entry-11", "entry-12",
];

/// Starts entries that each read the store's list of entries through a handle of their own.
pub(crate) fn entries(
    store: &MemoryStore,
    shown: impl Fn(usize) -> Vec<&'static str>,
) -> Vec<Entry> {
    let start = |place: usize| {
        let handle = store.handle();
        handle.show_only(&shown(place));
        Entry::start(NAMES[place], &handle)
    };
    let entries = (0..NAMES.len()).map(start).collect();
    // A process that has just started sends nothing to cold upstreams; wait until that time has passed.
    thread::sleep(Duration::from_millis(1500));
    entries
}

/// Returns the maximum number of requests received within any window of this length.
pub(crate) fn most_within(window: Duration, seen: &[Sent]) -> usize {
    let windows = seen.iter().map(|last| {
        let within = seen
            .iter()
            .filter(|one| one.at <= last.at && last.at.duration_since(one.at) < window);
        within.count()
    });
    windows.max().unwrap_or(0)
}

/// Callers that send requests continuously, one for each entry given, until dropped.
pub(crate) struct Load {
    ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts callers of `/r/x` that pause for `pause` after each answer.
    pub(crate) fn on<'a>(entries: impl IntoIterator<Item = &'a Entry>, pause: Duration) -> Self {
        Self::with_headers(entries, pause, "")
    }

    /// Like [`Self::on`], with additional header lines.
    pub(crate) fn with_headers<'a>(
        entries: impl IntoIterator<Item = &'a Entry>,
        pause: Duration,
        headers: &'static str,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let callers = entries.into_iter().enumerate().map(|(place, entry)| {
            let mut caller = Caller::connect(entry);
            let ended = ended.clone();
            thread::spawn(move || {
                for number in 0_u32.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{place:x}a{number:x}");
                    caller.send(request("GET", "/r/x", &id, headers));
                    caller.answer().expect("an answer");
                    thread::sleep(pause);
                }
            })
        });
        Self {
            callers: callers.collect(),
            ended,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            let ended = caller.join();
            assert!(ended.is_ok() || thread::panicking(), "a caller failed");
        }
    }
}
