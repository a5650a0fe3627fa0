//! Positions for zone names: the endpoint list may name zones that the settings do not, and two of those are not one.

/// Zones beyond this many count as not known: names come from outside.
const MAX_ZONES: usize = 1024;

/// Gives each zone's name a position of its own.
#[derive(Clone, Debug, Default)]
pub struct ZoneNames {
    known: Vec<String>,
}

impl ZoneNames {
    /// The zones that the settings name have their positions there.
    pub fn new(settings: &[String]) -> Self {
        ZoneNames {
            known: settings.to_vec(),
        }
    }

    /// The position of a zone; a new name gets the next one. `None` for a name that is empty or one too many: workers
    /// without a known zone share none.
    pub fn position(&mut self, name: &str) -> Option<usize> {
        if name.is_empty() {
            return None;
        }
        if let Some(position) = self.known.iter().position(|known| known == name) {
            return Some(position);
        }
        if self.known.len() >= MAX_ZONES {
            return None;
        }
        self.known.push(name.to_owned());
        Some(self.known.len() - 1)
    }
}
