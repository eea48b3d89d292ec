//! jasmine-load: an open-loop load and look-up driver with a judge.
