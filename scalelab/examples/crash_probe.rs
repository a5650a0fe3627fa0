use scalelab::net::{addr, Kind, Net, MS};
fn main() {
    for seed in 1..=8 {
        let mut net = Net::settled(40, Kind::Average, seed).unwrap();
        net.until(10_000 * MS, |net| net.disagreement(0).is_none());
        let dead: Vec<usize> = (0..13).map(|i| 3 * i).collect();
        for &d in &dead {
            net.kill(d);
        }
        let began = net.now;
        net.downs.clear();
        print!("seed {seed}: ");
        while net.disagreement(0).is_some() {
            net.run(net.now + 500 * MS);
            let holds = |i: usize, d: usize| {
                net.node(i).unwrap().members().directory().alive().any(|x| x.addr == addr(d))
            };
            let live: Vec<usize> = (0..40).filter(|i| !dead.contains(i)).collect();
            let pairs = live.iter().map(|&i| dead.iter().filter(|&&d| holds(i, d)).count()).sum::<usize>();
            let undeclared = dead.iter().filter(|&&d| live.iter().all(|&i| holds(i, d))).count();
            let tight: u64 = net.fronts.iter().map(|f| f.news.bytes_held_back.iter().sum::<u64>()).sum();
            let doubt: u32 = live.iter().map(|&i| net.fronts[i].news.doubt_factor).max().unwrap();
            print!("{}:{pairs}/{undeclared}/{}k/d{doubt} ", (net.now - began) / MS, tight / 1000);
        }
        println!();
    }
}
