/// A random mix of jobs and disruptions, to look for faults; no case of the review by itself.
fn soak(deployment: &mut Deployment, queues: &[Queue]) -> Verdict {
    let mut seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut pick = move |limit: u64| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % limit.max(1)
    };
    let begun = std::time::Instant::now();
    let mut accepted: Vec<(usize, String, bool)> = Vec::new();
    let mut number = 0u64;
    let mut heal: Vec<(std::time::Instant, usize, u8)> = Vec::new();
    while begun.elapsed() < Duration::from_secs(55) {
        std::thread::sleep(Duration::from_millis(120));
        let now = std::time::Instant::now();
        heal.retain(|(at, target, kind)| {
            if now < *at {
                return true;
            }
            match kind {
                0 => deployment.edges[*target].start(),
                1 => deployment.edges[*target].signal("CONT"),
                2 => deployment.fleet.lock().minions[*target].cut = false,
                _ => deployment.store.set_hook(|_| store::Fate::Normal),
            }
            false
        });
        if pick(2) == 0 {
            number += 1;
            let queue = pick(3) as usize;
            let id = format!("{number:016x}");
            let gpu = [0, 0, 1, 2, 4][pick(5) as usize];
            let count = 1 + pick(4) as usize;
            let mut step = Step {
                count,
                cpu: 1_000 + pick(20) * 1_000,
                mem_mb: 1_000,
                gpu,
                ms: 300 + pick(3_000),
                gang: pick(3) == 0,
                checkpointable: pick(2) == 0,
                ..Step::default()
            };
            let endless = pick(40) == 0;
            step.long_running = endless;
            if endless {
                step.gpu = gpu.min(1);
                step.gang = false;
            }
            if !step.gang && pick(4) == 0 {
                step.anti_affinity = 1;
            }
            let mut steps = vec![step.clone()];
            if !endless && pick(4) == 0 {
                let after = Step { after: vec![0], gang: pick(2) == 0, ..step };
                steps.push(after);
            }
            let repeats = if !endless && pick(8) == 0 { 3 } else { 0 };
            for index in 0..count {
                if pick(12) == 0 {
                    let run = 1 + pick(2);
                    deployment.fleet.lock().failures.insert((format!("{id}.0.0.{index}"), run), 50 + pick(1_500));
                }
            }
            if deployment.submit(&queues[queue], &id, steps, repeats) {
                accepted.push((queue, id, endless));
            }
        }
        if pick(14) == 0 && !accepted.is_empty() {
            let (queue, id, _) = accepted[pick(accepted.len() as u64) as usize].clone();
            let path = format!("/{}/{id}", queues[queue].name);
            if deployment.client("DELETE", &path, "").is_some_and(|(status, _)| status == 200) {
                if let Some(job) = deployment.fleet.lock().jobs.get_mut(&id) {
                    job.cancelled_at.get_or_insert(std::time::Instant::now());
                }
            }
        }
        if begun.elapsed() > Duration::from_secs(42) || heal.len() > 1 || pick(10) != 0 {
            continue;
        }
        let minion = pick(8) as usize;
        match pick(8) {
            0 | 1 => {
                if let Some(leader) = deployment.leader().filter(|leader| deployment.edges[*leader].is_up()) {
                    deployment.note(format!("{} is killed", deployment.edges[leader].name));
                    deployment.edges[leader].kill();
                    heal.push((now + Duration::from_millis(400 + pick(2_500)), leader, 0));
                }
            }
            2 => {
                if let Some(leader) = deployment.leader().filter(|leader| deployment.edges[*leader].is_up()) {
                    deployment.note(format!("{} freezes", deployment.edges[leader].name));
                    deployment.edges[leader].signal("STOP");
                    heal.push((now + Duration::from_millis(500 + pick(3_500)), leader, 1));
                }
            }
            3 => {
                deployment.note(format!("minion {minion} is cut off"));
                deployment.fleet.lock().minions[minion].cut = true;
                heal.push((now + Duration::from_millis(500 + pick(8_000)), minion, 2));
            }
            4 | 5 => deployment.fleet.crash(minion, true),
            6 => {
                deployment.note("answers of the store are lost".into());
                let mut turn = 0u64;
                deployment.store.set_hook(move |_| {
                    turn += 1;
                    if turn % 3 == 0 { store::Fate::Late(1_000 + turn * 397 % 5_000) } else { store::Fate::Normal }
                });
                heal.push((now + Duration::from_millis(3_000), 0, 3));
            }
            _ => {
                if let Some(leader) = deployment.leader().filter(|leader| deployment.edges[*leader].is_up()) {
                    deployment.note(format!("{} is told to stop", deployment.edges[leader].name));
                    deployment.edges[leader].signal("TERM");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        for edge in 0..deployment.edges.len() {
            if deployment.edges[edge].has_ended() {
                deployment.edges[edge].kill();
                heal.push((now + Duration::from_millis(300), edge, 0));
            }
        }
    }
    for (_, target, kind) in heal {
        match kind {
            0 => deployment.edges[target].start(),
            1 => deployment.edges[target].signal("CONT"),
            2 => deployment.fleet.lock().minions[target].cut = false,
            _ => deployment.store.set_hook(|_| store::Fate::Normal),
        }
    }
    for edge in 0..deployment.edges.len() {
        if deployment.edges[edge].has_ended() {
            deployment.edges[edge].kill();
        }
        if !deployment.edges[edge].is_up() {
            deployment.edges[edge].start();
        }
    }
    let mut open = accepted.clone();
    deployment.wait(45_000, |deployment| {
        open.retain(|(queue, id, endless)| {
            let state = deployment.state(&queues[*queue], id);
            let cancelled = deployment.fleet.lock().jobs[id].cancelled_at.is_some();
            let ended = match state.as_str() {
                "completed" => {
                    let world = deployment.fleet.lock();
                    let job = &world.jobs[id];
                    for occurrence in 0..job.repeats.max(1) {
                        for (number, step) in job.steps.iter().enumerate() {
                            for index in 0..step.count {
                                let name = format!("{id}.{occurrence}.{number}.{index}");
                                if !world.tasks.get(&name).is_some_and(|task| task.ever_done) {
                                    println!("MIXED {name} is not done in a completed job");
                                }
                            }
                        }
                    }
                    true
                }
                "failed" => {
                    let world = deployment.fleet.lock();
                    let limit = queues[*queue].max_attempts;
                    let prefix = format!("{id}.");
                    // The failed runs of a gang count together.
                    let mut steps: std::collections::BTreeMap<String, std::collections::BTreeSet<u64>> = Default::default();
                    for (task, seen) in world.tasks.iter().filter(|(task, _)| task.starts_with(&prefix)) {
                        let step = &world.jobs[id].steps[task.split('.').nth(2).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0)];
                        let name = if step.gang { task.rsplit_once('.').map_or("", |(group, _)| group) } else { task };
                        steps.entry(name.to_string()).or_default().extend(seen.failed_runs.iter());
                    }
                    if !steps.values().any(|runs| runs.len() >= limit) {
                        println!("LOST {id} is failed without cause");
                    }
                    true
                }
                "cancelled" => {
                    if !cancelled {
                        println!("LOST {id} is cancelled without a confirmed cancel");
                    }
                    true
                }
                "410" => {
                    println!("LOST {id} is not known");
                    true
                }
                _ => *endless && !cancelled,
            };
            !ended
        });
        open.is_empty()
    });
    for (queue, id, _) in &open {
        let state = deployment.state(&queues[*queue], id);
        println!("OPEN {id} on {} {state:?} {:?}", queues[*queue].name, deployment.fleet.lock().jobs[id].steps);
    }
    if !open.is_empty() {
        for line in deployment.fleet.lock().load() {
            println!("LOAD {line}");
        }
    }
    // A task that lasts has to run again after its last run.
    std::thread::sleep(Duration::from_millis(200));
    {
        let world = deployment.fleet.lock();
        for (_, id, endless) in accepted.iter().filter(|(_, _, endless)| *endless) {
            let _ = endless;
            let job = &world.jobs[id];
            if job.cancelled_at.is_some() {
                continue;
            }
            for index in 0..job.steps[0].count {
                let name = format!("{id}.0.0.{index}");
                if !world.is_running(&name) {
                    println!("ENDLESS {name} does not run");
                }
            }
        }
    }
    let broken = deployment.fleet.lock().broken.clone();
    if broken.is_empty() && open.is_empty() { Verdict::Held } else { Verdict::Broken(format!("{broken:?} open {open:?}")) }
}
