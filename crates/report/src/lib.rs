//! jasmine-report: service-level burn over all daemons.
