//! The rules that the judge checks.

/// A rule of the protocol that the judge checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at once.
    RanTwice,
    /// A team used more than its quota.
    Quota,
    /// A task started on a machine that its job does not allow.
    WrongPlace,
    /// A task ran after the cancellation deadline of a job that was reported as cancelled.
    RanCancelled,
    /// A request about an accepted job was answered as unknown, was refused, or stayed unanswered while others were
    /// answered.
    Forgotten,
    /// A request about a job that was never submitted was answered as for an existing job.
    Invented,
    /// A job was reported done before all its tasks were.
    NotDone,
    /// A final status changed, or a job was reported as cancelled although no cancellation was requested.
    WentBack,
    /// No task started at all.
    NothingRan,
    /// After all faults were over, no poll of a job was answered for [`UNANSWERED_AFTER`](super::UNANSWERED_AFTER).
    Unanswered,
    /// Replicas of a service were stopped until fewer than required were left.
    Gap,
    /// The stored status of a window contradicts itself, or the window never ended.
    Window,
    /// Jobs that a heat rule prioritizes waited while many others started.
    Vents,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Self; 13] = [
        Self::RanTwice,
        Self::Quota,
        Self::WrongPlace,
        Self::RanCancelled,
        Self::Forgotten,
        Self::Invented,
        Self::NotDone,
        Self::WentBack,
        Self::NothingRan,
        Self::Unanswered,
        Self::Gap,
        Self::Window,
        Self::Vents,
    ];

    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RanTwice => "ran_twice",
            Self::Quota => "quota",
            Self::WrongPlace => "wrong_place",
            Self::RanCancelled => "ran_cancelled",
            Self::Forgotten => "forgotten",
            Self::Invented => "invented",
            Self::NotDone => "not_done",
            Self::WentBack => "went_back",
            Self::NothingRan => "nothing_ran",
            Self::Unanswered => "unanswered",
            Self::Gap => "gap",
            Self::Window => "window",
            Self::Vents => "vents",
        }
    }
}
