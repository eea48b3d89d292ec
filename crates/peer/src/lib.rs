//! Sessions between daemons: CBOR frames over websockets, proved by a shared key.
