//! Strict decoding of text fields. Without it serde would also decode binary as text, and the index of a variant in
//! place of its name.

use std::fmt;

use serde::de::value::StringDeserializer;
use serde::de::{DeserializeOwned, Error, IntoDeserializer, Visitor};
use serde::{Deserialize, Deserializer};

/// A text, as a value or as a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Text(String);

struct TextVisitor;

impl Visitor<'_> for TextVisitor {
    type Value = Text;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Text, E> {
        Ok(Text(text.to_owned()))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<Text, E> {
        Ok(Text(text))
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

/// A field that holds a text.
pub(crate) fn required<'de, D: Deserializer<'de>, T: From<String>>(deserializer: D) -> Result<T, D::Error> {
    Text::deserialize(deserializer).map(|text| text.0.into())
}

/// A field that holds a text or null.
pub(crate) fn optional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let text = Option::<Text>::deserialize(deserializer)?;
    Ok(text.map(|text| text.0))
}

/// A field that holds a list of texts or null.
pub(crate) fn optional_list<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<String>>, D::Error> {
    let texts = Option::<Vec<Text>>::deserialize(deserializer)?;
    Ok(texts.map(|texts| texts.into_iter().map(|text| text.0).collect()))
}

/// A field that holds the name of one of several variants.
pub(crate) fn variant<'de, D: Deserializer<'de>, T: DeserializeOwned>(deserializer: D) -> Result<T, D::Error> {
    let name: StringDeserializer<D::Error> = Text::deserialize(deserializer)?.0.into_deserializer();
    T::deserialize(name)
}
