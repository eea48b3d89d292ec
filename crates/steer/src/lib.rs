//! Decisions: which region, which upstream, admit or refuse.
