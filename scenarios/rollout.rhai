// A version rolled out in steps and another that is bad, while controllers end at every step and a zone is lost.
sizes("rollout.toml");
quiet(20);
capacity("run-000001", "run-000003", 4);
capacity("run-000002", "run-000004", 3);
let of = ["--config", "{config}"];
at(8, exits(2, says("surge", operator(["declare", "rollout", "{spec}"] + of,
    #{name: "serve", old: "run-000001", "new": "run-000003", replicas: 4, hold_s: 4, surge: 0}))));
at(10, operator(["declare", "rollout", "{spec}"] + of,
    #{name: "serve", old: "run-000001", "new": "run-000003", replicas: 4, steps: [1, 0.5], hold_s: 4, ready_s: 2, surge: 1}));
at(12, operator(["declare", "rollout", "{spec}"] + of,
    #{name: "chat", old: "run-000002", "new": "run-000004", replicas: 3, hold_s: 4, ready_s: 2, surge: 1,
      bad: #{failures: 3, restarts: 8, not_running_s: 30}}));
at(14, operator(["declare", "rollout", "{spec}"] + of,
    #{name: "third", old: "run-000003", "new": "run-000009", replicas: 4, hold_s: 4, surge: 1}));
at(16, says("third: refused", operator(["show", "rollout", "third"] + of)));
// Every controller that leads on the way ends, some in the middle of an election.
for n in 0..6 { at_random(18 + n * 9, 24 + n * 9, end("owner", if n % 2 == 0 { 0.2 } else { 2 })); }
at(30, operator(["rollout", "pause", "serve"] + of));
at(36, operator(["rollout", "resume", "serve"] + of));
at_random(44, 56, lose_zone("north"));
at(62, pause("owner", 6));
at(90, says("chat: back", operator(["show", "rollout", "chat"] + of)));
at(125, says("serve: done", operator(["show", "rollout", "serve"] + of)));
at(146, will_withdraw("run-000001"));
at(147, says("finished", operator(["rollout", "finish", "serve"] + of)));
at(150, end("owner", 0.1));
