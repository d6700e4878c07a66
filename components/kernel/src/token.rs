//! The shared secret that authenticates processes and operators to each other.

use std::{env, fmt, fs};

/// Environment variable that contains the token.
pub const VARIABLE: &str = "MAGPIE_TOKEN";

/// A bearer token. Its `Debug` output hides the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(...)")
    }
}

impl Token {
    /// Creates a token from text; surrounding white space is removed.
    pub fn new(text: &str) -> Self {
        Token(text.trim().to_owned())
    }

    /// The value of the `authorization` header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// True if the header value matches. The comparison takes the same time wherever the values
    /// differ.
    pub fn matches(&self, header: &str) -> bool {
        let expected = self.header();
        let mut difference = expected.len() ^ header.len();
        for (a, b) in expected.bytes().zip(header.bytes()) {
            difference |= usize::from(a ^ b);
        }
        difference == 0
    }
}

/// Reads the token from the file, or from `MAGPIE_TOKEN` if no file is given.
///
/// # Errors
///
/// A description of the expected setting, without the secret, if the file cannot be read or the token
/// is empty.
pub fn load(file: Option<&str>) -> Result<Option<Token>, String> {
    let text = match file {
        Some(path) => {
            fs::read_to_string(path).map_err(|e| format!("a readable file ({path}: {e})"))?
        }
        None => match env::var(VARIABLE) {
            Ok(text) => text,
            Err(_) => return Ok(None),
        },
    };
    let token = Token::new(&text);
    if token.0.is_empty() {
        return Err("a non-empty token".to_owned());
    }
    Ok(Some(token))
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case("Bearer secret", true; "same")]
    #[test_case("Bearer secreT", false; "last letter")]
    #[test_case("Bearer secret1", false; "longer")]
    #[test_case("", false; "empty")]
    fn matches_header(header: &str, expected: bool) {
        assert_eq!(Token::new(" secret\n").matches(header), expected);
    }

    #[test]
    fn debug_hides_secret() {
        assert!(!format!("{:?}", Token::new("secret")).contains("secret"));
    }
}
