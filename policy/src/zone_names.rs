//! Positions of zone names. The endpoint list may name zones that the settings do not; each of them gets a position of
//! its own.

/// Zones beyond this number count as unknown: the names come from outside, so the memory for them must be bounded.
const MAX_ZONES: usize = 1024;

/// Maps each zone's name to a position.
#[derive(Clone, Debug, Default)]
pub struct ZoneNames {
    known: Vec<String>,
}

impl ZoneNames {
    /// The zones that the settings name, in their order: they keep their positions.
    pub fn new(known_zones: &[String]) -> Self {
        ZoneNames {
            known: known_zones.to_vec(),
        }
    }

    /// The position of a zone; a new name gets the next free one. `None` for an empty name, and for a new one beyond
    /// the limit of 1,024 zones: the zone is then unknown. Workers of unknown zones do not count as sharing a zone.
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
