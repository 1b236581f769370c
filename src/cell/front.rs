//! Callers' calls on their way to the owner of their cell.

use std::rc::Rc;
use std::time::Duration;

use super::Id;
use super::job;
use super::machine::{Answer, Call};
use super::node::Node;
use super::peer::{CALL, Envelope, Reply};
use super::timings::{ANSWER_MARGIN, OWNERLESS_HOLD};

/// Rest between two tries while no owner answers.
const RETRY_REST: Duration = Duration::from_millis(30);

/// Time for one try. Longer than an append on a slow store takes; shorter than a caller waits, so
/// that an owner that has gone silent leaves time to try its successor.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The owner's answer.
    Answer(Answer),
    /// Surely not carried out.
    NotDone,
    /// May have been carried out.
    Unknown,
}

/// Passes calls to owners.
#[derive(Clone)]
pub struct Front {
    node: Rc<Node>,
}

impl Front {
    /// Passes calls on in the name of `node`.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    /// The cell of a job.
    pub fn cell_of(&self, job: &job::Id) -> Id {
        let hash = xxhash_rust::xxh3::xxh3_64(job.to_string().as_bytes());
        Id((hash % u64::from(self.node.cells)) as u32)
    }

    /// Counts the waiting jobs of a queue over all cells.
    pub async fn waiting(&self, queue: &str, patience: Duration) -> Outcome {
        let mut total = 0;
        for cell in 0..self.node.cells {
            match self.call(Id(cell), Call::Waiting(queue.to_owned()), patience).await {
                Outcome::Answer(Answer::Waiting(waiting)) => total += waiting,
                other => return other,
            }
        }
        Outcome::Answer(Answer::Waiting(total))
    }

    /// Passes `call` to the owner of `cell` within `patience`.
    ///
    /// Every call is idempotent by the job's identity, so that it is repeated at the next owner
    /// when the one before has gone silent. Whether one of the tries may have been carried out
    /// decides between the two ways to say no.
    pub async fn call(&self, cell: Id, call: Call, patience: Duration) -> Outcome {
        let clock = self.node.borders.clock.clone();
        let begin = clock.now();
        let deadline = begin.after(patience).before(ANSWER_MARGIN);
        let hold = begin.after(OWNERLESS_HOLD);
        let changes = matches!(call, Call::Submit(_) | Call::Cancel(_));
        let mut doubtful = false;
        loop {
            let now = clock.now();
            if now >= deadline || (now >= hold && !doubtful) {
                return if doubtful && changes { Outcome::Unknown } else { Outcome::NotDone };
            }
            let left = deadline.since(now).min(TRY_TIMEOUT);
            match self.attempt(cell, &call, left).await {
                Try::Answer(Answer::Unavailable) | Try::Untaken => {}
                Try::Answer(answer) => return Outcome::Answer(answer),
                Try::Doubtful => doubtful = true,
            }
            clock.sleep(RETRY_REST).await;
        }
    }

    async fn attempt(&self, cell: Id, call: &Call, left: Duration) -> Try {
        if let Some(owning) = self.node.owning(cell) {
            return match monoio::time::timeout(left, owning.call(call.clone())).await {
                Ok(Some(answer)) => Try::Answer(answer),
                Ok(None) | Err(_) => Try::Doubtful,
            };
        }
        let Some(owner) = self.node.owner(cell).filter(|owner| *owner != self.node.me) else {
            return Try::Untaken;
        };
        let envelope = Envelope { cell, call: call.clone() };
        let reply: Result<Reply, _> =
            self.node.borders.peers.call(owner, CALL, &envelope, left).await;
        match reply {
            Ok(Reply::Answer(answer)) => Try::Answer(answer),
            Ok(Reply::Elsewhere(_)) => Try::Untaken,
            Ok(Reply::Cut) => Try::Doubtful,
            Err(error) if error.sent => Try::Doubtful,
            Err(_) => Try::Untaken,
        }
    }
}

/// How one try to reach the owner ended.
enum Try {
    Answer(Answer),
    Untaken,
    Doubtful,
}
