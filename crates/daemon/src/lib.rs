//! jasmined: the daemon on each entry instance.
