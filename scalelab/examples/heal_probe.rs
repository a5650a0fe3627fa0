use scalelab::net::{Kind, Net, MS};
fn main() {
    let n: usize = std::env::args().nth(1).map_or(40, |a| a.parse().unwrap());
    let mut net = Net::settled(n, Kind::Average, 2).unwrap();
    net.fronts.iter_mut().enumerate().for_each(|(i, f)| f.side = u8::from(i % 2 == 1));
    net.run(net.now + 10_000 * MS);
    net.fronts.iter_mut().for_each(|f| f.side = 0);
    let began = net.now;
    let held = |net: &Net| -> Vec<u64> {
        (0..7).map(|k| net.fronts.iter().map(|f| f.news.bytes_held_back[k]).sum::<u64>()).collect()
    };
    let sent = |net: &Net| -> Vec<u64> {
        (0..7).map(|k| net.fronts.iter().map(|f| f.news.bytes_sent[k]).sum::<u64>()).collect()
    };
    let (h0, s0) = (held(&net), sent(&net));
    for _ in 0..14 {
        net.run(net.now + 1000 * MS);
        let truth: Vec<_> = (0..n).map(|i| net.node(i).unwrap().members().directory().own().id()).collect();
        let renewed = (0..n)
            .filter(|&i| {
                truth[i].incarnation > 1_790_000_000_000_000
                    && net.node(i).unwrap().members().directory().own().stamp.version >= 1
            })
            .count();
        let mut wrong = 0;
        let mut alive = 0;
        let mut stale = 0;
        for i in 0..n {
            let d = net.node(i).unwrap().members().directory();
            let a: std::collections::BTreeMap<_, _> = d.alive().map(|id| (id.addr, id.incarnation)).collect();
            alive += a.len();
            for (j, id) in truth.iter().enumerate() {
                if j != i {
                    match a.get(&id.addr) {
                        None => wrong += 1,
                        Some(x) if *x != id.incarnation => stale += 1,
                        _ => {}
                    }
                }
            }
        }
        let d = |a: Vec<u64>, b: &Vec<u64>| a.iter().zip(b).map(|(x, y)| x - y).collect::<Vec<_>>();
        println!("{} ms: missing {wrong} stale {stale} alive {alive} renewed {renewed} digest {:?} sent {:?} held {:?}", (net.now-began)/MS, net.disagreement(0).map(|s| s.chars().take(40).collect::<String>()), d(sent(&net),&s0), d(held(&net),&h0));
        if net.disagreement(0).is_none() {
            break;
        }
    }
}
