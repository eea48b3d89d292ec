//! Non-idempotent work: tickets, claims and outcome records that make it run at most once.
