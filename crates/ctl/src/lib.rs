//! jasminectl: the operators' client.
