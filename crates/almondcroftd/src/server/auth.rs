//! Authentication of customers and their limit of concurrent requests.

use crate::app::App;
use almondcroft_core::config::{Config, Customer, hash_token};
use almondcroft_core::{CustomerId, Verdict};
use almondcroft_proto::Problem;
use std::sync::Arc;
use trillium::Conn;

/// Returns the customer that the request's bearer token belongs to.
pub(crate) fn authenticate<'a>(conn: &Conn, config: &'a Config) -> Result<&'a Customer, Problem> {
    let header = conn.request_headers().get_str("authorization");
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let found = token.and_then(|token| config.customer_by_token(&hash_token(token)));
    found.ok_or_else(|| {
        Problem::new(401, "unknown-customer", Verdict::NotRun)
            .detail("send the customer's token as a bearer token")
            .field("authorization")
    })
}

/// Counts as one concurrent request of a customer until it is dropped.
pub(crate) struct CustomerGuard {
    app: Arc<App>,
    customer: CustomerId,
}

impl CustomerGuard {
    /// Counts one more request, or returns a problem if the customer is at its limit.
    pub(crate) fn acquire(app: &Arc<App>, customer: &Customer) -> Result<Self, Problem> {
        let acquired = app
            .customer_limiter(&customer.id)
            .try_acquire(&customer.id, customer.max_concurrent);
        if acquired {
            return Ok(Self {
                app: Arc::clone(app),
                customer: customer.id.clone(),
            });
        }
        app.metrics.count_refusal("customer-limit");
        Err(Problem::new(429, "customer-limit", Verdict::NotRun)
            .detail("the customer has as many requests in flight as its contract allows")
            .retry_after(1))
    }
}

impl Drop for CustomerGuard {
    fn drop(&mut self) {
        self.app
            .customer_limiter(&self.customer)
            .release(&self.customer);
    }
}
