//! Services that requests of several ranks lead to.

use admit::{
    contended_ranks,
    Rank, //
};
use org::Quota;
use route::{
    CallerLimits,
    Host,
    Kind,
    Organisation,
    Route,
    Routes,
    ServiceShare, //
};
use std::time::Duration;

/// A route to services with these weights.
fn route(priority: u32, split: &[(&'static str, f64)]) -> Route {
    let shares = split.iter().map(|(service, weight)| ServiceShare {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        id: format!("{priority}").into(),
        prefix: format!("/{priority}/").into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(1),
        priority,
        split: shares.collect(),
        max_attempts: 2,
        sticky: false,
        homes: Vec::new(),
        open: false,
    }
}

fn organisation(priority: Option<u32>) -> Organisation {
    Organisation {
        id: "acme".into(),
        keys: Vec::new(),
        priority,
        quota: Quota::default(),
        homes: Vec::new(),
    }
}

fn routes(routes: Vec<Route>, organisations: Option<Vec<Organisation>>) -> Routes {
    Routes {
        version: 1,
        services: Vec::new(),
        limits: CallerLimits::default(),
        hosts: vec![Host {
            host: "app.example".into(),
            routes,
        }],
        organisations,
    }
}

fn ranks_of(routes: &Routes, service: &str) -> Vec<Rank> {
    let ranks = contended_ranks(routes);
    ranks.get(service).cloned().unwrap_or_default()
}

fn rank(organisation: u32, route: u32) -> Rank {
    Rank {
        organisation,
        route,
    }
}

/// Guards against waits in a deployment whose priorities never meet.
#[test]
fn one_rank_is_not_contended() {
    let of_routes = vec![
        route(0, &[("menu", 1.0)]),
        route(1, &[("orders", 1.0), ("menu", 0.0)]),
    ];
    assert!(contended_ranks(&routes(of_routes.clone(), None)).is_empty());
    for priority in [None, Some(4)] {
        let organisations = vec![organisation(priority), organisation(priority)];
        let routes = routes(of_routes.clone(), Some(organisations));
        assert!(contended_ranks(&routes).is_empty());
    }
}

/// Routes of different priorities that lead to the same service, also by a split.
#[test]
fn routes_of_different_priorities_contend() {
    let of_routes = vec![
        route(3, &[("orders", 1.0), ("menu", 0.1)]),
        route(0, &[("menu", 1.0)]),
    ];
    let routes = routes(of_routes, None);
    assert_eq!(ranks_of(&routes, "menu"), [rank(0, 0), rank(3, 3)]);
    assert!(ranks_of(&routes, "orders").is_empty());
}

/// The priority of an organisation goes before that of the route, and requests without an organisation have that of the
/// route.
#[test]
fn organisations_of_different_priorities_contend() {
    let organisations = vec![organisation(Some(2)), organisation(None)];
    let mut open = route(1, &[("menu", 1.0)]);
    open.open = true;
    let of_routes = vec![open, route(3, &[("menu", 1.0)])];
    let routes = routes(of_routes, Some(organisations));
    let expected = [rank(1, 1), rank(2, 1), rank(2, 3), rank(3, 3)];
    assert_eq!(ranks_of(&routes, "menu"), expected);
    assert!(Rank::new(3, Some(0)) < Rank::new(1, Some(1)));
}
