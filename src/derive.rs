//! Macros that add the project's common derives to type definitions.
//!
//! `record!` is for values that are sent or stored, `key!` for small `Copy` identifiers, and
//! `name!` for shared names that are cheap to clone.

/// Adds the derives of values that are sent between processes or stored.
#[macro_export]
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

/// Adds the derives of small `Copy` identifiers and enums.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

/// Declares name types that are cheap to clone, ordered, and serialized as plain strings.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl Default for $name {
                fn default() -> Self {
                    Self::from("")
                }
            }

            impl<T> From<T> for $name
            where
                T: Into<::std::sync::Arc<str>>,
            {
                fn from(text: T) -> Self {
                    Self(text.into())
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}
