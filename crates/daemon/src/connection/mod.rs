//! What lives as long as a connection: the callers' port, and the clients that hold connections to
//! upstreams and to the entries of other regions.
//!
//! Each traffic thread has one [`Clients`], with one HTTP client for each address, so that the
//! connections to one address can be retired together. A connection goes silent for good when
//! something between its ends has lost track of it; its siblings are then as likely lost, while a
//! new connection works. Whoever misses a deadline on an address therefore calls
//! [`Clients::retire`], and the next request opens a fresh connection.

mod callers;
mod wire;

pub(crate) use self::callers::serve_callers;

use awc::Client;
use base::FastMap;
use bytestring::ByteString;
use std::{
    cell::RefCell,
    time::Duration, //
};
use strict::{
    watched_connector,
    Closing, //
};

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// An HTTP client of one address, and what became of its connections.
#[derive(Clone)]
pub(crate) struct Channel {
    pub(crate) client: Client,
    /// Connections that were given up, until the other end has closed them.
    pub(crate) closing: Closing,
}

/// HTTP clients of one traffic thread, one for each address.
pub(crate) struct Clients {
    connect_timeout: Duration,
    by_addr: RefCell<FastMap<ByteString, Channel>>,
}

impl Clients {
    /// Makes an empty set; a connect that takes longer than `connect_timeout` fails.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            by_addr: RefCell::default(),
        }
    }

    /// Client for `addr`, with its pooled connections.
    pub(crate) fn get(&self, addr: &ByteString) -> Channel {
        self.by_addr
            .borrow_mut()
            .entry(addr.clone())
            .or_insert_with(|| Channel::new(self.connect_timeout))
            .clone()
    }

    /// Client whose connection nothing used before, and nothing uses after.
    ///
    /// For work that must not run twice: a pooled connection may have been closed by the other
    /// end a moment ago, and then nobody can tell whether the request was read.
    pub(crate) fn fresh(&self) -> Channel {
        Channel::new(self.connect_timeout)
    }

    /// Forgets the connections to `addr`; requests on them go on.
    pub(crate) fn retire(&self, addr: &ByteString) {
        self.by_addr.borrow_mut().remove(addr);
    }
}

impl Channel {
    fn new(connect_timeout: Duration) -> Self {
        let closing = Closing::default();
        let connector = watched_connector(closing.clone())
            .timeout(connect_timeout)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, closing }
    }
}
