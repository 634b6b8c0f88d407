//! An in-memory platform, upstreams and entry daemons in the test process, on loopback.
#![allow(dead_code, unused_imports, reason = "no test file uses all of it")]

mod fake_platform;
mod fake_upstream;
mod test_entry;

pub(crate) use fake_platform::{FakePlatform, worker_vm};
pub(crate) use fake_upstream::{FakeUpstream, UpstreamMode};
pub(crate) use test_entry::{TestClient, TestEntry, TestResponse, settings_yaml, unused_address, wait_until};
