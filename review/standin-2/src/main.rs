//! Runs one case of the review: `standin-2 CASE FOLDER`. The exit status is 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod gang;
mod http;
mod idle_work;
mod sick_machines;
mod state;
mod users;
mod value;
mod withdrawals;
mod world;

use std::fs::File;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// What a case has found.
pub enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// A case that takes longer than this could not run.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let run = match case.as_str() {
        "gang" => gang::run_beside_guest,
        "gang-zone" => gang::run_in_full_zone,
        "idle-work" => idle_work::run,
        "sick-machines" => sick_machines::run,
        "withdrawals" => withdrawals::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let temp = PathBuf::from(std::env::var("CASE_TEMP").unwrap_or_else(|_| std::env::temp_dir().display().to_string()));
    let record = match File::create(PathBuf::from(folder).join("record.txt")) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let mut sizes = match case.as_str() {
        "sick-machines" | "gang-zone" => world::Sizes::fa_lima(),
        _ => world::Sizes::deti_klima(),
    };
    if case == "gang-zone" && trouble {
        sizes.capacity = vec![("trocha", "costa", 1), ("cumbre", "costa", 0)];
    }
    let world = world::World::new(sizes, record, temp);
    world.note(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" }
    ));
    let watched = world.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.note("the case took too long");
        watched.end_controllers();
        exit(2);
    });
    let outcome = run(&world, trouble);
    let ended = world.ended_controllers();
    if ended > 0 {
        world.note(&format!("{ended} controllers have ended by themselves"));
    }
    world.end_controllers();
    let (status, text) = match outcome {
        Outcome::Held(text) => (0, format!("the rule held: {text}")),
        Outcome::Broken(text) => (1, format!("the rule was broken: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("the case could not run: {text}")),
    };
    world.note(&text);
    println!("{case}: {text}");
    exit(status);
}
