//! Names of the reasons for which a step waits.

use derive_more::Display;

/// What a step waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Reason {
    /// The job's queue is not in the configuration.
    #[display("queue_unknown")]
    QueueUnknown,
    /// Its occurrence is not due.
    #[display("not_due")]
    NotDue,
    /// An earlier step of the job has not ended.
    #[display("earlier_step")]
    EarlierStep,
    /// Members of an earlier attempt of the gang have not ended.
    #[display("earlier_attempt")]
    EarlierAttempt,
    /// Its customer is not in the configuration.
    #[display("customer_unknown")]
    CustomerUnknown,
    /// The cap of its customer.
    #[display("cap")]
    Cap,
    /// No listed worker has the service, the label and the size.
    #[display("no_worker")]
    NoWorker,
    /// No query to the policy service has been sent.
    #[display("policy_query")]
    PolicyQuery,
    /// The policy service has not answered.
    #[display("policy_answer")]
    PolicyAnswer,
    /// The policy service allows too few workers.
    #[display("eligible_workers")]
    EligibleWorkers,
    /// Its tickets have expired.
    #[display("tickets")]
    Tickets,
    /// Too little free capacity, which workers that drain would have.
    #[display("leaving_workers")]
    LeavingWorkers,
    /// Too little free capacity, which workers that are unavailable would have.
    #[display("unavailable_workers")]
    UnavailableWorkers,
    /// Workers are being activated.
    #[display("activation")]
    Activation,
    /// Too little free capacity, and its customer is beyond its share.
    #[display("share")]
    Share,
    /// Too little free capacity, and the job has no value left.
    #[display("worthless")]
    Worthless,
    /// Too little free capacity.
    #[display("capacity")]
    Capacity,
    /// Steps that rank before it take the capacity.
    #[display("rank")]
    Rank,
    /// Nothing: the next round places it.
    #[display("next_round")]
    NextRound,
}
