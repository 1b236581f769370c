//! Failover between several addresses of one log.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{AppendOutcome, Error, Offset, Page, Store};

/// Client of one log at several endpoints. Uses one endpoint until a call to it fails.
///
/// Without it, a failure domain would treat the failure of one address as an outage of the log. An
/// append is retried at the next endpoint only if the record was not written. Otherwise the record
/// could be written twice, which only its writer can detect.
pub struct Failover {
    endpoints: Vec<Rc<dyn Store>>,
    current: Cell<usize>,
}

impl Failover {
    /// Creates a client for `endpoints`, which must not be empty. They are tried in order.
    pub const fn new(endpoints: Vec<Rc<dyn Store>>) -> Self {
        Self { endpoints, current: Cell::new(0) }
    }

    fn endpoint(&self) -> &dyn Store {
        &*self.endpoints[self.current.get()]
    }

    /// Switches to the endpoint after `failed`, unless another call has already done so.
    fn move_on_from(&self, failed: usize) {
        if self.current.get() == failed {
            self.current.set((failed + 1) % self.endpoints.len());
        }
    }

    async fn append_with_failover(&self, stream: &str, payload: Bytes) -> Result<Offset, Error> {
        for _ in 1..self.endpoints.len() {
            let used = self.current.get();
            match self.endpoint().append(stream, payload.clone()).await {
                Err(error) if error.outcome == AppendOutcome::NotWritten => self.move_on_from(used),
                Err(error) => {
                    self.move_on_from(used);
                    return Err(error);
                }
                written => return written,
            }
        }
        let used = self.current.get();
        let last = self.endpoint().append(stream, payload).await;
        last.inspect_err(|_| self.move_on_from(used))
    }

    async fn read_with_failover(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, Error> {
        let used = self.current.get();
        let page = self.endpoint().read(stream, from, wait).await;
        page.inspect_err(|_| self.move_on_from(used))
    }
}

impl Store for Failover {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        self.append_with_failover(stream, payload).boxed_local()
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        self.read_with_failover(stream, from, wait).boxed_local()
    }
}
