//! How many connections to workers may stand, and which one gives way: no sockets and no clock here.
//!
//! Clients and workers share the descriptors of one process. Workers may be hundreds, and a front end has seldom a call for
//! each; so a connection is kept while descriptors are plenty, and the one idle longest is closed when they run short.

/// Descriptors that a connection takes, a client's or a worker's: one a direction.
const EACH: usize = 2;

/// The bound on worker connections.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// Descriptors for clients and workers together.
    all: usize,
    /// Worker connections that may stand whatever the clients take.
    least: usize,
    /// Connections left free for clients that come meanwhile, and for those that are being closed.
    spare: usize,
}

impl Pool {
    /// From the descriptor limit and what is kept back of it for other use.
    pub fn new(sockets: usize, kept: usize) -> Pool {
        let all = sockets.saturating_sub(kept);
        Pool {
            all,
            least: (sockets / 8 / EACH).max(1),
            spare: sockets / 16 / EACH,
        }
    }

    /// Worker connections that may stand beside so many clients.
    pub fn most(&self, clients: usize) -> usize {
        (self.all / EACH)
            .saturating_sub(clients + self.spare)
            .max(self.least)
    }

    /// How many of the `open` ones are to be closed so that `more` may be opened.
    pub fn over(&self, open: usize, more: usize, clients: usize) -> usize {
        (open + more).saturating_sub(self.most(clients))
    }
}

/// Which connections give way: the places of the `count` ones idle longest, of (place, idle since).
pub fn longest_idle<P, T: Ord>(mut idle: Vec<(P, T)>, count: usize) -> Vec<P> {
    idle.sort_by(|a, b| a.1.cmp(&b.1));
    idle.into_iter()
        .take(count)
        .map(|(place, _)| place)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::plenty(100, 341, 0)]
    #[case::as_clients_come(200, 341, 81)]
    #[case::the_least_stays(64, 492, 0)]
    #[case::beyond_the_least(80, 492, 16)]
    fn connections_give_way_as_descriptors_run_short(
        #[case] open: usize,
        #[case] clients: usize,
        #[case] over: usize,
    ) {
        let pool = Pool::new(1024, 40);
        assert_eq!(pool.over(open, 0, clients), over);
        assert!(
            EACH * (pool.most(341) + 341) + 40 <= 1024,
            "a third of the limit are clients'"
        );
    }

    #[test]
    fn the_one_idle_longest_goes_first() {
        assert_eq!(
            longest_idle(vec![("b", 7), ("a", 3), ("c", 9)], 2),
            ["a", "b"]
        );
        assert!(longest_idle(vec![("a", 3)], 0).is_empty());
        assert!(Pool::new(0, 40).most(1_000) > 0);
    }
}
