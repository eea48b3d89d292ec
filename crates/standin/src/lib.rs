//! Test stand-ins for the platform, upstreams and links; never shipped.
