//! What proxies tell their operators.

use std::net::SocketAddr;
use std::time::Duration;

use dyketally_proxy::admin::NodeStatus;

use super::plan::Plan;

/// Time that a proxy has to answer; a frozen one doesn't.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Asks the admin addresses of the proxies.
#[derive(Clone, Debug)]
pub struct AdminClient {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
}

impl AdminClient {
    /// A client for the proxies of a plan.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn new(plan: &Plan) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(ANSWER_LIMIT)
            .build()?;
        let addresses = plan.proxies.iter().map(|proxy| proxy.admin).collect();
        Ok(Self { http, addresses })
    }

    /// The status of the proxy with this number.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn status(&self, proxy: usize) -> reqwest::Result<NodeStatus> {
        let url = format!("http://{}/status", self.addresses[proxy]);
        let response = self.http.get(url).send().await?;
        response.error_for_status()?.json().await
    }

    /// True when the proxy with this number takes callers.
    pub async fn is_ready(&self, proxy: usize) -> bool {
        let url = format!("http://{}/readyz", self.addresses[proxy]);
        let response = self.http.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// The counters and gauges of the proxy with this number.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn metrics(&self, proxy: usize) -> reqwest::Result<MetricsText> {
        let url = format!("http://{}/metrics", self.addresses[proxy]);
        let response = self.http.get(url).send().await?;
        let text = response.error_for_status()?.text().await?;
        Ok(MetricsText(text))
    }

    /// The sum of one counter over all proxies that answer.
    pub async fn sum(&self, counter: &str) -> f64 {
        let mut sum = 0.0;
        for proxy in 0..self.addresses.len() {
            if let Ok(metrics) = self.metrics(proxy).await {
                sum += metrics.sum(counter);
            }
        }
        sum
    }

    /// The numbers of the proxies that are home to a database.
    pub async fn homes_of(&self, database: &str) -> Vec<usize> {
        let mut homes = Vec::new();
        for proxy in 0..self.addresses.len() {
            let Ok(status) = self.status(proxy).await else {
                continue;
            };
            let is_home = status
                .homes
                .iter()
                .any(|home| home.database.as_str() == database);
            if is_home {
                homes.push(proxy);
            }
        }
        homes
    }
}

/// Metrics in the text format of Prometheus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsText(pub String);

impl MetricsText {
    /// The sum of the values of one metric over all its labels.
    pub fn sum(&self, metric: &str) -> f64 {
        let lines = self.0.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            let name = name.split('{').next()?;
            (name == metric).then(|| value.parse::<f64>().ok())?
        });
        values.sum()
    }
}
