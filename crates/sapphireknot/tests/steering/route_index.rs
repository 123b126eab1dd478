//! Look-up of routes by host name and path.

use sapphireknot::{keys::KeyDigest, steering::plan::RouteRule};

use crate::support::{id, plan, route};

fn found(path: &str) -> Option<String> {
    let mut plan = plan(1);
    plan.add_route(route("report", "/reports/one/"));
    plan.add_route(RouteRule { host_name: "Other.Example".to_owned(), ..route("other", "/") });
    plan.find_route("survey.example:8080", path).map(|it| it.id.to_string())
}

/// The route with the longest matching prefix must win; a shorter one may belong to another service.
#[test]
fn longest_prefix() {
    assert_eq!(found("/reports/one/2").as_deref(), Some("report"));
    assert_eq!(found("/reports/one/").as_deref(), Some("report"));
    assert_eq!(found("/reports/two/2").as_deref(), Some("fetch"));
}

/// A prefix matches whole path segments only, and not the path without its final slash.
#[test]
fn whole_segments() {
    assert_eq!(found("/reports"), None);
    assert_eq!(found("/reportsone/2"), None);
    assert_eq!(found("/"), None);
}

/// Host names are compared without regard to case and port, and routes of other names must not match.
#[test]
fn host_names() {
    let mut plan = plan(1);
    plan.add_route(RouteRule { host_name: "Other.Example".to_owned(), ..route("other", "/") });
    let find = |name: &str| plan.find_route(name, "/x/y").map(|it| it.id.to_string());
    assert_eq!(find("OTHER.example:1").as_deref(), Some("other"));
    assert_eq!(find("survey.example"), None);
    assert_eq!(find("unknown.example"), None);
}

/// A request may be served only in regions that both its route and its organisation allow.
#[test]
fn homes_intersect() {
    let mut plan = plan(1);
    let mut owner = crate::support::organisation(10, 10);
    owner.homes = vec![id("east"), id("north")];
    plan.organisations.insert(id("acme"), owner);
    let homed = RouteRule { homes: vec![id("north"), id("west")], ..route("homed", "/homed/") };
    let homes = plan.homes(&homed, Some(&id("acme"))).unwrap();
    assert_eq!(homes.into_iter().collect::<Vec<_>>(), [id("north")]);
    assert_eq!(plan.homes(&route("fetch", "/reports/"), None), None);
}

/// A key that belongs to no organisation has no owner.
#[test]
fn key_owners() {
    let mut plan = plan(1);
    plan.add_key(KeyDigest::of(b"acme-key"), id("acme"));
    assert_eq!(plan.key_owner(&KeyDigest::of(b"acme-key")), Some(&id("acme")));
    assert_eq!(plan.key_owner(&KeyDigest::of(b"acme-kez")), None);
}
