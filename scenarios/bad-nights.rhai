// The owner stands still beyond its lease while guests flood and bad jobs fail, and users ask eight times as often.
sizes("nights.toml");
ask_often(8);
quiet(20);
for n in 0..3 { at_random(10, 40, lose_machines(1)); }
at(18, pause("owner", 12));
at_random(24, 34, sick(3, 8));
at_random(34, 38, reset("all", "peers", 4));
at(42, pause("owner", 9));
at_random(46, 52, end("owner", 2));
