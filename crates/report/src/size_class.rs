use super::*;

/// Upper bounds of the classes but the last, in processor seconds of declared work.
const BOUNDS: [u64; 5] = [10, 30, 100, 300, 1000];

/// A class of jobs by their declared work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub struct SizeClass(usize);

impl SizeClass {
    /// Class of a job with this work, in processor milliseconds.
    pub fn of(work: u64) -> Self {
        Self(BOUNDS.iter().filter(|bound| work > **bound * 1000).count())
    }
}

impl std::fmt::Display for SizeClass {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match BOUNDS.get(self.0) {
            Some(bound) => write!(f, "up to {bound} core s"),
            None => write!(f, "more"),
        }
    }
}

impl From<SizeClass> for String {
    fn from(class: SizeClass) -> Self {
        class.to_string()
    }
}
