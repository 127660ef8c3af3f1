use super::*;

/// Operators and their tokens. Without a token file, no token is required, and only this machine
/// can reach the interface.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tokens(Option<Arc<Vec<Token>>>);

/// An operator with a token.
#[derive(Debug)]
struct Token {
    name: Name,
    secret: String,
}

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

impl Tokens {
    /// Reads a token file; the error lists every malformed line.
    pub(crate) fn load(path: &Path) -> eyre::Result<Self> {
        wire::Identity::check_permissions(path)?;
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read tokens `{}`", path.display()))?;
        let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let (mut tokens, mut malformed) = (Vec::new(), Vec::new());
        for (i, line) in lines {
            match line.trim().split_once(' ') {
                Some((name, secret)) if secret.trim().len() >= MIN_TOKEN_BYTES => {
                    tokens.push(Token { name: name.into(), secret: secret.trim().into() });
                }
                _ => malformed.push(format!(
                    "{}:{}: use `NAME TOKEN` with a token of {MIN_TOKEN_BYTES} bytes or more",
                    path.display(),
                    i + 1
                )),
            }
        }
        eyre::ensure!(malformed.is_empty(), "{}", malformed.join("\n"));
        Ok(Self(Some(Arc::new(tokens))))
    }

    /// Whether requests need a token.
    pub(crate) fn required(&self) -> bool {
        self.0.is_some()
    }

    /// The operator whose token the request carries.
    pub(crate) fn operator(&self, request: &tiny_http::Request) -> Option<Name> {
        let given = header::get(request, "Authorization")?.strip_prefix("Bearer ")?;
        let tokens = self.0.as_ref()?;
        tokens.iter().find(|token| equal(&token.secret, given)).map(|token| token.name.clone())
    }
}

/// Compares in time that depends only on the lengths, against timing attacks.
fn equal(a: &str, b: &str) -> bool {
    let differences = a.bytes().zip(b.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
    a.len() == b.len() && std::hint::black_box(differences) == 0
}
