use super::*;

/// Error in the text of a name, label, selector, quota or urgency.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// A name is empty, too long, or contains a character other than `a-z A-Z 0-9 . _ - /`.
    #[display("invalid name `{name}`: use 1 to 63 letters, digits, `.`, `_`, `-` or `/`")]
    Name { name: String },
    /// A term of a selector is invalid.
    #[display("invalid term `{term}` in selector `{selector}`")]
    Term { term: String, selector: String },
    /// A quota is neither a count nor a percentage up to 100.
    #[display("invalid quota `{quota}`: use a count such as `2` or a share such as `25%`")]
    Quota { quota: String },
    /// A label has no value.
    #[display("invalid label `{label}`: use `key=value`")]
    Label { label: String },
    /// An urgency is unknown.
    #[display("invalid urgency `{urgency}`: use `batch`, `normal` or `urgent`")]
    Urgency { urgency: String },
}
