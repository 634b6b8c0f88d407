use std::time::Duration;

use arbutuspick_model::{CentreName, ClockTime};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::entry_pool::{EntryCall, EntryPool, json_body};
use super::workload::OutagePlan;
use crate::wall_clock::WallClock;

const CALL_TIMEOUT_MS: u64 = 3_000;
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of a planned outage of a data centre; times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct OutageReport {
    /// Data centre.
    pub data_centre: CentreName,
    /// Time of the response that confirmed the order "out" as recorded, if there was one.
    pub out_recorded_at: Option<u64>,
    /// Time at which the order "in" was first sent.
    pub in_sent_at: Option<u64>,
    /// Time of the response that confirmed the order "in" as recorded, if there was one.
    pub in_recorded_at: Option<u64>,
    /// Answers to the orders.
    pub answers: Vec<String>,
}

/// Sends the operator's orders that take a data centre out of service and back in.
pub(crate) struct OutageCall<'a> {
    pub(crate) entry_pool: &'a EntryPool,
    pub(crate) wall_clock: WallClock,
    pub(crate) token: &'a str,
    pub(crate) plan: &'a OutagePlan,
    pub(crate) started_at: ClockTime,
    pub(crate) deadline: ClockTime,
}

impl OutageCall<'_> {
    pub(crate) async fn run(&self) -> OutageReport {
        let mut report = OutageReport {
            data_centre: self.plan.data_centre.clone(),
            out_recorded_at: None,
            in_sent_at: None,
            in_recorded_at: None,
            answers: Vec::new(),
        };
        let out = json!({"drain_ms": self.plan.drain_ms, "accept_shortfall": true});
        self.sleep_until_second(self.plan.out_at_s).await;
        report.out_recorded_at = self.send_until_recorded("out", &out, &mut report.answers).await;
        self.sleep_until_second(self.plan.in_at_s).await;
        report.in_sent_at = Some(self.wall_clock.now_ms());
        report.in_recorded_at = self
            .send_until_recorded("in", &json!({}), &mut report.answers)
            .await;
        report
    }

    async fn sleep_until_second(&self, second: u64) {
        let at = self.started_at + second * 1000;
        tokio::time::sleep_until(self.entry_pool.clock.instant(at.min(self.deadline))).await;
    }

    /// Repeats an order, each time based on the latest recorded one, until it is recorded.
    async fn send_until_recorded(
        &self,
        order: &str,
        fields: &Value,
        answers: &mut Vec<String>,
    ) -> Option<u64> {
        let path = format!("/v1/operator/data-centres/{}", self.plan.data_centre);
        while self.entry_pool.clock.now() < self.deadline {
            let mut body = fields.clone();
            body["based_on"] = json!(self.latest_order(&path).await);
            let call = EntryCall::new(Method::POST, &format!("{path}/{order}"), self.token).with_json(&body);
            match self
                .entry_pool
                .call(&call, self.entry_pool.clock.now() + CALL_TIMEOUT_MS)
                .await
            {
                Ok(response) => {
                    let now_ms = self.wall_clock.now_ms();
                    answers.push(format!(
                        "{order}: {} {}",
                        response.status.as_u16(),
                        json_body(&response)
                    ));
                    if response.status.is_success() {
                        return Some(now_ms);
                    }
                }
                Err(error) => answers.push(format!("{order}: {error}")),
            }
            sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn latest_order(&self, path: &str) -> u64 {
        let call = EntryCall::new(Method::GET, path, self.token);
        let Ok(response) = self
            .entry_pool
            .call(&call, self.entry_pool.clock.now() + CALL_TIMEOUT_MS)
            .await
        else {
            return 0;
        };
        json_body(&response)["order"].as_u64().unwrap_or_default()
    }
}
