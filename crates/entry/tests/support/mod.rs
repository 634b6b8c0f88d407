//! A small platform, upstreams and entry daemons on loopback.
#![allow(dead_code, unused_imports, reason = "every test file uses a part of it")]

mod fake_platform;
mod fake_upstream;
mod test_entry;

pub(crate) use fake_platform::{FakePlatform, worker_vm};
pub(crate) use fake_upstream::{FakeUpstream, UpstreamMode};
pub(crate) use test_entry::{Reply, TestClient, TestEntry, closed_address, settings_yaml, until};
