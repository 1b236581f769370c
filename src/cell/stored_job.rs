//! A job in the form of the journal, of snapshots and of calls between instances.
//!
//! The customer stands in the field of the queue, after a separator. Versions that know no
//! customers read such a job as one of a queue that is not configured: they keep it and start none
//! of its tasks, so that no cap is exceeded while instances are replaced one after another.

use std::borrow::Cow;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::job::{Id, Job, Schedule, Step};

/// Separates queue and customer. Names of customers contain no control characters.
const SEPARATOR: char = '\u{1f}';

#[derive(Serialize)]
struct StoredJobRef<'a> {
    id: Id,
    queue: Cow<'a, str>,
    payload: &'a str,
    steps: &'a [Step],
    schedule: Option<Schedule>,
}

#[derive(Deserialize)]
struct StoredJob {
    id: Id,
    queue: String,
    payload: String,
    steps: Vec<Step>,
    schedule: Option<Schedule>,
}

impl<'a> From<&'a Job> for StoredJobRef<'a> {
    fn from(job: &'a Job) -> Self {
        let queue = match &job.customer {
            Some(customer) => Cow::Owned(format!("{}{SEPARATOR}{customer}", job.queue)),
            None => Cow::Borrowed(job.queue.as_str()),
        };
        Self { id: job.id, queue, payload: &job.payload, steps: &job.steps, schedule: job.schedule }
    }
}

impl From<StoredJob> for Job {
    fn from(stored: StoredJob) -> Self {
        let StoredJob { id, queue, payload, steps, schedule } = stored;
        let (queue, customer) = match queue.rsplit_once(SEPARATOR) {
            Some((queue, customer)) => (queue.to_owned(), Some(customer.into())),
            None => (queue, None),
        };
        Self { id, queue, customer, payload, steps, schedule }
    }
}

impl Serialize for Job {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        StoredJobRef::from(self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Job {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        StoredJob::deserialize(deserializer).map(Self::from)
    }
}
