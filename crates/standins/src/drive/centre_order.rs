use std::time::Duration;

use arbutuspick_model::{CentreName, ClockTime};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::entry_pool::{EntryCall, EntryPool, json_body};
use super::workload::OutagePlan;
use crate::wall_clock::WallClock;

const CALL_MS: u64 = 3_000;
const RETRY: Duration = Duration::from_millis(500);

/// When a data centre was out, in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct OutageReport {
    /// Data centre.
    pub data_centre: CentreName,
    /// Time at which the order "out" was known to be recorded, if it was.
    pub out_recorded_at: Option<u64>,
    /// Time at which the order "in" was sent for the first time.
    pub in_sent_at: Option<u64>,
    /// Time at which the order "in" was known to be recorded, if it was.
    pub in_recorded_at: Option<u64>,
    /// Answers to the orders.
    pub answers: Vec<String>,
}

/// Takes a data centre out and brings it back.
pub(crate) struct CentreOrder<'a> {
    pub(crate) entries: &'a EntryPool,
    pub(crate) wall: WallClock,
    pub(crate) token: &'a str,
    pub(crate) plan: &'a OutagePlan,
    pub(crate) started_at: ClockTime,
    pub(crate) deadline: ClockTime,
}

impl CentreOrder<'_> {
    pub(crate) async fn run(&self) -> OutageReport {
        let mut report = OutageReport {
            data_centre: self.plan.data_centre.clone(),
            out_recorded_at: None,
            in_sent_at: None,
            in_recorded_at: None,
            answers: Vec::new(),
        };
        let out = json!({"drain_ms": self.plan.drain_ms, "accept_shortfall": true});
        self.sleep_until_s(self.plan.out_at_s).await;
        report.out_recorded_at = self.give("out", &out, &mut report.answers).await;
        self.sleep_until_s(self.plan.in_at_s).await;
        report.in_sent_at = Some(self.wall.now_ms());
        report.in_recorded_at = self.give("in", &json!({}), &mut report.answers).await;
        report
    }

    async fn sleep_until_s(&self, second: u64) {
        let at = self.started_at + second * 1000;
        tokio::time::sleep_until(self.entries.clock.instant(at.min(self.deadline))).await;
    }

    /// Repeats an order on top of the newest one until it is recorded.
    async fn give(&self, order: &str, fields: &Value, answers: &mut Vec<String>) -> Option<u64> {
        let path = format!("/v1/operator/data-centres/{}", self.plan.data_centre);
        while self.entries.clock.now() < self.deadline {
            let mut body = fields.clone();
            body["based_on"] = json!(self.newest_order(&path).await);
            let call = EntryCall::new(Method::POST, &format!("{path}/{order}"), self.token).with_json(&body);
            match self.entries.call(&call, self.entries.clock.now() + CALL_MS).await {
                Ok(answer) => {
                    let now_ms = self.wall.now_ms();
                    answers.push(format!(
                        "{order}: {} {}",
                        answer.status.as_u16(),
                        json_body(&answer)
                    ));
                    if answer.status.is_success() {
                        return Some(now_ms);
                    }
                }
                Err(error) => answers.push(format!("{order}: {error}")),
            }
            sleep(RETRY).await;
        }
        None
    }

    async fn newest_order(&self, path: &str) -> u64 {
        let call = EntryCall::new(Method::GET, path, self.token);
        let Ok(answer) = self.entries.call(&call, self.entries.clock.now() + CALL_MS).await else {
            return 0;
        };
        json_body(&answer)["order"].as_u64().unwrap_or_default()
    }
}
