//! The rules that are checked.

/// A rule of the protocol that the judge checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at once.
    RanTwice,
    /// A team used more than its quota.
    Quota,
    /// A task started on a machine that its job does not allow.
    WrongPlace,
    /// A task ran too long after its job was reported cancelled.
    RanCancelled,
    /// An accepted job was answered as unknown, was refused, or was not answered while others were.
    Forgotten,
    /// A job that nobody submitted was answered as known.
    Invented,
    /// A job was reported done before all its tasks were.
    NotDone,
    /// A final status changed, or a job was reported cancelled although nobody asked.
    WentBack,
    /// No task started at all.
    NothingRan,
    /// With all faults over, no request about a job was answered for `SILENT`.
    Unanswered,
    /// Replicas of a service were stopped until fewer than required were left.
    Gap,
    /// The stored status of a window contradicts itself, or the window never ended.
    Window,
    /// Jobs that a heat rule puts first waited while many others started.
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
