use arbutuspick_model::{
    AccountConfig, AccountName, CellGuarantee, CellLevel, CentreName, ConfigChange, ConfigRevision, JobSpec,
    OwnerName,
};
use arbutuspick_sched::{AccountPolicy, PlacementEvent};

use crate::SlopeSeries;
use crate::core_fixture::{CoreFixture, gang_shape};
use crate::deployment_plan::expect_valid;

fn guarantee(index: u64) -> CellGuarantee {
    CellGuarantee {
        data_centre: expect_valid(CentreName::try_from(format!("data-centre-{index}"))),
        cell: CellLevel::Worker,
        count: 12,
    }
}

fn account(index: u64) -> AccountName {
    expect_valid(AccountName::try_from(format!("account-name-{index}")))
}

fn json_bytes<T>(value: &T) -> f64
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len()) as f64
}

/// Measures the encoded size of a configuration change against the guarantees of the account.
fn config_change() -> SlopeSeries {
    let mut series = SlopeSeries::new("configuration change", "guarantees", "bytes");
    for guarantees in [0, 1, 10, 100] {
        let config = AccountConfig {
            owner: expect_valid(OwnerName::try_from("association")),
            weight: 100,
            max_queued_jobs: 1_000,
            guarantees: (0..guarantees).map(guarantee).collect(),
        };
        let change = ConfigChange {
            revision: ConfigRevision(36_000),
            account: account(1),
            config: Some(config),
        };
        series.add(guarantees, [json_bytes(&change)]);
    }
    series
}

/// Measures the encoded size of a pool summary against the accounts with guarantees in the data centre.
fn pool_summary() -> SlopeSeries {
    let mut series = SlopeSeries::new("pool summary", "accounts with guarantees", "bytes");
    for accounts in [1, 4, 22, 220] {
        let mut fixture = CoreFixture::new(800);
        let policy = |index| AccountPolicy {
            account: account(index),
            weight: 1,
            max_queued_jobs: 1_000,
            home: vec![CellGuarantee {
                count: 1,
                ..guarantee(1)
            }],
            displaced: Vec::new(),
        };
        let accounts_changed = PlacementEvent::AccountsChanged {
            accounts: (0..accounts).map(policy).collect(),
        };
        fixture.core.handle(accounts_changed, fixture.now);
        fixture.submit(gang_shape(1, 8), 400);
        fixture.run_until_idle();
        series.add(accounts, [json_bytes(&fixture.core.summary())]);
    }
    series
}

/// Measures the encoded size of a specification and its placement, which make up most of a job row, against
/// the tasks.
fn job_row() -> SlopeSeries {
    let mut series = SlopeSeries::new("job specification and placement", "tasks", "bytes");
    for tasks in [1, 8, 64, 1_024] {
        let mut fixture = CoreFixture::new(1_024);
        let shape = gang_shape(tasks as u32, 8);
        let spec = JobSpec::new(account(1))
            .with_shape(shape)
            .with_declared_run_ms(3_600_000)
            .with_payload("p".repeat(256));
        fixture.submit(shape, 1);
        let placements = fixture.run_until_idle();
        series.add(tasks, [json_bytes(&spec) + json_bytes(&placements)]);
    }
    series
}

/// Measures the encoded sizes of configuration changes, pool summaries and job rows.
pub fn encoded_sizes() -> Vec<SlopeSeries> {
    vec![config_change(), pool_summary(), job_row()]
}
