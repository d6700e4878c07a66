//! The secret that processes and operators show to each other.

use std::{env, fmt, fs};

/// The variable that holds the token.
pub const VARIABLE: &str = "MAGPIE_TOKEN";

/// A secret; it prints as dots.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(...)")
    }
}

impl Token {
    /// A token from its text; white space around it is dropped.
    pub fn new(text: &str) -> Self {
        Token(text.trim().to_owned())
    }

    /// The value of the `authorization` header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Compares a header's value in a time that does not depend on where it differs.
    pub fn matches(&self, header: &str) -> bool {
        let expected = self.header();
        let mut difference = expected.len() ^ header.len();
        for (a, b) in expected.bytes().zip(header.bytes()) {
            difference |= usize::from(a ^ b);
        }
        difference == 0
    }
}

/// Reads the token from the file, or from `MAGPIE_TOKEN` when no file is named.
///
/// # Errors
///
/// The file cannot be read or is empty, as a sentence that does not hold the secret.
pub fn load(file: Option<&str>) -> Result<Option<Token>, String> {
    let text = match file {
        Some(path) => {
            fs::read_to_string(path).map_err(|e| format!("{path} cannot be read: {e}"))?
        }
        None => match env::var(VARIABLE) {
            Ok(text) => text,
            Err(_) => return Ok(None),
        },
    };
    let token = Token::new(&text);
    if token.0.is_empty() {
        return Err("the token is empty".to_owned());
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
    fn admits_header(header: &str, admitted: bool) {
        assert_eq!(Token::new(" secret\n").matches(header), admitted);
    }

    #[test]
    fn debug_hides_secret() {
        assert!(!format!("{:?}", Token::new("secret")).contains("secret"));
    }
}
