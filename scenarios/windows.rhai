// Three windows in a flood of other work. Every controller is away over the whole of one and over an opening and a closing; the
// owner is lost while turns are given. The first job to come has the second turn and waits for the first.
sizes("windows.toml");
let window = |name, opens, closes, jobs, turns| #{ name: name, team: "planning", classes: turns, turns: turns, jobs: jobs,
    opens: opens, closes: closes, cores: 16.0, utc_offset_min: "{offset}" };
let show = |name| operator(["show", "window", name, "--config", "{config}"]);

let declare = |w| operator(["declare", "window", "{spec}", "--config", "{config}"], w);

at(2, declare.call(window.call("morning", "{clock:24}", "{clock:80}", 2, ["roster", "path"])));
at(3, declare.call(window.call("noon", "{clock:42}", "{clock:50}", 1, ["path"])));
at(4, declare.call(window.call("evening", "{clock:52}", "{clock:95}", 2, ["evening", "evening"])));
at(5, exits(2, declare.call(window.call("backwards", "{clock:50}", "{clock:42}", 1, ["path"]))));
at(30, show.call("morning"));
at_random(31, 34, end("owner", 2));
when("the owner has just placed", 36, pause("owner", 5));
at(40, end("all", 14));
at(58, says("missed: unclaimed", show.call("noon")));
when("the owner has just placed", 62, end("owner", 3));
at_random(66, 72, lose_machines(2));
at_random(74, 78, end("owner", 0.2));
at(84, says("met", show.call("morning")));
at(90, operator(["confirm", "window", "noon", "--config", "{config}"]));
at(92, says("met", show.call("evening")));
