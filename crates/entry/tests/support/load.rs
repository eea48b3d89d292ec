//! Entries under continuous load.

use crate::support::{
    request_head,
    Caller,
    Entry,
    MemoryStore,
    ReceivedRequest, //
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

/// Names of the entries that [`start_entries`] starts.
pub(crate) const ENTRY_NAMES: [&str; 12] = [
    "entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8",
    "entry-9", "entry-10", "entry-11", "entry-12",
];

/// Starts an entry for each name, with its own handle to the store; `visible` returns the entries that the handle
/// of the entry at this index lists.
pub(crate) fn start_entries(
    store: &MemoryStore,
    visible: impl Fn(usize) -> Vec<&'static str>,
) -> Vec<Entry> {
    let start_one = |index: usize| {
        let handle = store.handle();
        handle.show_only(&visible(index));
        Entry::start(ENTRY_NAMES[index], &handle)
    };
    let entries = (0..ENTRY_NAMES.len()).map(start_one).collect();
    // A process that has just started sends nothing to cold upstreams; wait until that time has passed.
    thread::sleep(Duration::from_millis(1500));
    entries
}

/// Returns the maximum number of requests received within any window of this length.
pub(crate) fn max_within(window: Duration, requests: &[ReceivedRequest]) -> usize {
    let windows = requests.iter().map(|last| {
        let within = requests
            .iter()
            .filter(|request| request.at <= last.at && last.at.duration_since(request.at) < window);
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
    /// Starts callers of `/r/x` that pause for `pause` after each response.
    pub(crate) fn start<'a>(entries: impl IntoIterator<Item = &'a Entry>, pause: Duration) -> Self {
        Self::with_headers(entries, pause, "")
    }

    /// Like [`Self::start`], with additional header lines.
    pub(crate) fn with_headers<'a>(
        entries: impl IntoIterator<Item = &'a Entry>,
        pause: Duration,
        headers: &'static str,
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let callers = entries.into_iter().enumerate().map(|(index, entry)| {
            let mut caller = Caller::connect(entry);
            let ended = ended.clone();
            thread::spawn(move || {
                for number in 0_u32.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{index:x}a{number:x}");
                    caller.send(request_head("GET", "/r/x", &id, headers));
                    caller.read_response().expect("the entry responds");
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
            let result = caller.join();
            assert!(result.is_ok() || thread::panicking(), "a caller failed");
        }
    }
}
