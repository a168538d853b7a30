// All troubles of a day's end, with controllers that are back within a fraction of a second in the midst of elections;
// then nothing goes wrong any more, and every job is asked about by every controller's users.
sizes("nights.toml");
quiet(80);
at_random(6, 10, late_copies(0.5, 1, 20, 14));
at_random(8, 12, deaf(4, 16));
at(14, lone("owner", 9));
at(28, end("owner", 0.05));
when("an election is under way", 15, end(0, 0.3));
when("an election is under way", 28, end("all", 0.2));
when("an election is under way", 36, end("owner", 0.5));
at_random(30, 34, late_copies(0.3, 4, 18, 10));
at_random(32, 36, lone(1, 8));
at(40, end("owner", 0.1));
at(44, outage(5));
at_random(46, 50, lose_machines(3));
when("an election is under way", 52, end(2, 0.05));
at(54, end("owner", 2));
at_random(54, 58, deaf(0.2, 9));
