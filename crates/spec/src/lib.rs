//! The operators' configuration: classes, targets, caps, drains; checked whole, versioned, compared.
