//! Routing and authentication of requests to queues.

use std::collections::HashMap;
use std::sync::Arc;

use arbutuspick_dispatch::{AccessError, FrontendPolicy, QueueRoute, SizeLimits};
use arbutuspick_pool::{PoolPolicy, QueueRule};
use yare::parameterized;

fn route(host: &str, prefix: &str, public: bool) -> QueueRoute {
    QueueRoute {
        host: host.into(),
        prefix: prefix.into(),
        public,
        rule: Arc::new(QueueRule {
            name: format!("{host}{prefix}").into(),
            service: "maps".into(),
            priority: 1,
            max_attempts: 1,
            stretch: 1.0,
            allowance_ms: 0,
        }),
    }
}

fn policy() -> FrontendPolicy {
    FrontendPolicy {
        pool: Arc::new(PoolPolicy::default()),
        routes: vec![
            route("a.example", "/q/", false),
            route("a.example", "/q/deep/", false),
            route("b.example", "/open/", true),
        ],
        keys: HashMap::from([("secret".into(), "north".into())]),
        limits: SizeLimits::default(),
    }
}

/// Guards against a request that is routed to the wrong queue or admitted without a valid key.
#[parameterized(
    longest_prefix = { "a.example", "/q/deep/1", Some("secret"), true, Ok("a.example/q/deep/") },
    host_with_port = { "A.example:80", "/q/1", Some("secret"), true, Ok("a.example/q/") },
    no_queue = { "a.example", "/none/1", Some("secret"), true, Err(AccessError::NoQueue) },
    no_key = { "a.example", "/q/1", None, true, Err(AccessError::UnknownKey) },
    revoked_key = { "a.example", "/q/1", Some("old"), true, Err(AccessError::UnknownKey) },
    stale_config = { "a.example", "/q/1", Some("secret"), false, Err(AccessError::StaleKeys) },
    stale_routes = { "a.example", "/none/1", Some("secret"), false, Err(AccessError::StaleKeys) },
    public_queue = { "b.example", "/open/1", None, false, Ok("b.example/open/") },
)]
fn access(host: &str, path: &str, key: Option<&str>, fresh: bool, expected: Result<&str, AccessError>) {
    let found = policy().access(host, path, key, fresh);
    assert_eq!(
        found.map(|access| access.rule.name.to_string()),
        expected.map(str::to_owned)
    );
}
