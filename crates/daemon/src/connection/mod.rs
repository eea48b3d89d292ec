//! Connections: the callers' port, and the HTTP clients of upstreams and other entries.
//!
//! Each traffic thread has one [`Clients`], with one HTTP client per address, so that all
//! connections to an address can be retired together. A connection stays silent for good when a
//! middlebox has dropped its state; other connections to the same address are then probably dead
//! too, while a new one works. A request that times out therefore calls [`Clients::retire`] for its
//! address, and the next request opens a new connection.

mod callers;
mod stream;

pub(crate) use self::callers::serve_callers;

use awc::Client;
use base::FastMap;
use bytestring::ByteString;
use std::{
    cell::RefCell,
    time::Duration, //
};
use strict::{
    tracking_connector,
    ClosingConnections, //
};

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// An HTTP client of one address, and the connections that it gave up.
#[derive(Clone)]
pub(crate) struct Channel {
    pub(crate) client: Client,
    /// Connections given up, until the peer has closed them.
    pub(crate) closing: ClosingConnections,
}

/// HTTP clients of one traffic thread, one per address.
pub(crate) struct Clients {
    connect_timeout: Duration,
    by_addr: RefCell<FastMap<ByteString, Channel>>,
}

impl Clients {
    /// Creates an empty set; connection attempts that exceed `connect_timeout` fail.
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

    /// Client with a connection of its own, which is not pooled.
    ///
    /// For requests that must not run twice: the peer may have just closed a pooled connection,
    /// and then it is unknown whether the request was read.
    pub(crate) fn unpooled(&self) -> Channel {
        Channel::new(self.connect_timeout)
    }

    /// Removes the connections to `addr` from the pool; requests in flight on them continue.
    pub(crate) fn retire(&self, addr: &ByteString) {
        self.by_addr.borrow_mut().remove(addr);
    }
}

impl Channel {
    fn new(connect_timeout: Duration) -> Self {
        let closing = ClosingConnections::default();
        let connector = tracking_connector(closing.clone())
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
