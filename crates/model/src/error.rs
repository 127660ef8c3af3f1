use super::*;

/// What is wrong with a piece of text that names or selects something.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// Name that is empty, too long, or holds a character outside of `a-z A-Z 0-9 . _ - /`.
    #[display("invalid name `{name}`: use 1 to 63 letters, digits, `.`, `_`, `-` or `/`")]
    Name { name: String },
    /// Term of a selector that cannot be read.
    #[display("invalid term `{term}` in selector `{selector}`")]
    Term { term: String, selector: String },
    /// Count or percentage that cannot be read.
    #[display("invalid quota `{quota}`: use a count such as `2` or a share such as `25%`")]
    Quota { quota: String },
    /// Label without a value.
    #[display("invalid label `{label}`: use `key=value`")]
    Label { label: String },
    /// Urgency that does not exist.
    #[display("invalid urgency `{urgency}`: use `batch`, `normal` or `urgent`")]
    Urgency { urgency: String },
}
