//! The platform's table, object store and list behind traits, with deadlines and three-valued outcomes.
